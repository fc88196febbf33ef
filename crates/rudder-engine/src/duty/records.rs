//! Keeps the records of all services current, and with them the leases.

use super::answers::{notify_subscribers, request_records};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::lead::{LeadRecord, LeaseTable, StoredRecord};
use crate::peers::PeerExchange;
use rudder_core::ServiceName;
use rudder_store::{ObjectKind, StoreError, StoredObject};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reads. A lease lasts 1.5 s, so one read and one datagram may fail without
/// losing it.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one read. The store responds within milliseconds, and within several hundred
/// milliseconds when it is slow.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Age of the records above which a reader sends another request, and then reads the store itself:
/// the fleet reader's interval, its read and the transfer.
const READER_RECORDS_MAX_AGE: Duration = Duration::from_millis(650);

/// Age of the records above which the other instances do the same. By then their reader has read
/// the store.
const FOLLOWER_RECORDS_MAX_AGE: Duration = Duration::from_millis(850);

/// Maximum time to wait for a response: the longest round trip between regions.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which a subscriber renews its subscription.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(900);

/// Time for which a source that timed out is not the first choice. A failed reader is no longer
/// among the sources by then. Not longer, because traffic over long links has a price.
const SOURCE_RETRY_DELAY: Duration = Duration::from_millis(3000);

/// Maximum time a starting instance waits for its registration before it reads the records, as
/// records read before that grant no lease: three store calls and their round trips between
/// regions.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a starting instance that is no hub waits for the records of its peers before it
/// reads the store itself. A fleet that starts at once knows its readers within about a second.
const PEER_RECORDS_TIMEOUT: Duration = Duration::from_millis(3000);

/// Minimum interval between requests that waiting callers trigger.
const REQUEST_MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Selects the peers from which an instance requests the records.
#[derive(Debug, Default)]
pub(super) struct SourceSelector {
    requested_at: Option<Duration>,
    /// Number of consecutive requests without a response in time.
    timeouts: usize,
    /// Time of the last of these timeouts.
    timed_out_at: Duration,
}

impl SourceSelector {
    /// Records that the last request had no response by `now`.
    pub(super) fn record_timeout(&mut self, now: Duration) {
        self.timeouts += 1;
        self.timed_out_at = now;
    }

    /// Returns the receivers of the next request: the best source, or two others for some time
    /// after a timeout.
    pub(super) fn receivers(&mut self, sources: &[SocketAddr], now: Duration) -> Vec<SocketAddr> {
        if now >= self.timed_out_at + SOURCE_RETRY_DELAY {
            self.timeouts = 0;
        }
        let count = if self.timeouts == 0 { 1 } else { 2 };
        let start = self.timeouts.checked_rem(sources.len()).unwrap_or(0);
        sources.iter().cycle().skip(start).take(count.min(sources.len())).copied().collect()
    }
}

/// Keeps the records current: the fleet reader reads the store and notifies the other readers,
/// which notify their failure domains. An instance that is not notified in time reads the store
/// itself. `peers::readers` describes how the readers are chosen.
pub(crate) async fn follow(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    // After a timeout the records are read again as soon as this instance is registered.
    let _ = tokio::time::timeout(REGISTRATION_TIMEOUT, engine.wait_registered()).await;
    let mut selector = SourceSelector::default();
    let mut reachable = true;
    let started_at = boot_time();
    loop {
        metrics::gauge!("rudder_records_age_seconds").set(records_age(&engine).as_secs_f64());
        // If each instance read the records at its start, the calls to the store and the bytes that
        // it sends would grow with instances times services.
        let waits_for_peers = !engine.has_read_records()
            && !engine.membership().is_hub()
            && boot_time() < started_at + PEER_RECORDS_TIMEOUT;
        let follows = (engine.has_read_records() || waits_for_peers)
            && !engine.membership().is_fleet_reader();
        if follows && (follow_peers(&engine, &exchange, &mut selector).await || waits_for_peers) {
            continue;
        }
        let sent_at = boot_time();
        let result = read_records(&engine).await;
        engine.membership().record_store_response(result.is_ok(), boot_time());
        match &result {
            Ok(records) => apply_records(&engine, records, sent_at),
            // Responses of a majority of instances renew leases without the store.
            Err(_) if engine.membership().is_fleet_reader() => poll_all(&engine, &exchange).await,
            Err(_) => {}
        }
        notify_subscribers(&engine, &exchange).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            let reason = result.err().map_or_else(|| "answered".to_owned(), |e| e.to_string());
            log::warn!(
                reachable = reachable, reason:% = reason;
                "the reachability of the primaries' records in the store changed"
            );
        }
        let gap = if reachable { READ_INTERVAL } else { READ_INTERVAL / 2 };
        wait_next_read(&engine, &exchange, gap.saturating_sub(boot_time().saturating_sub(sent_at)))
            .await;
    }
}

/// Waits for `time`, or until this instance is registered, as only records read from then on grant
/// leases. Sends a request at once when callers wait for the primaries' positions.
async fn wait_next_read(engine: &ProxyEngine, exchange: &PeerExchange, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(until) => return,
            () = engine.wait_registered() => return,
            () = engine.wait_records_request() => {
                if let Some(source) = engine.membership().sources().first() {
                    request_records(engine, exchange, &[*source], true).await;
                }
                tokio::time::sleep(REQUEST_MIN_INTERVAL).await;
            }
        }
    }
}

/// Subscribes to the records of peers. Returns whether the records are recent enough that the store
/// need not be read.
async fn follow_peers(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    selector: &mut SourceSelector,
) -> bool {
    let is_reader = engine.membership().is_reader();
    let max_age = if is_reader { READER_RECORDS_MAX_AGE } else { FOLLOWER_RECORDS_MAX_AGE };
    let age = time_since_update(engine);
    let since_request = selector.requested_at.map(|at| boot_time().saturating_sub(at));
    let due = since_request.is_none_or(|since| since >= SUBSCRIBE_INTERVAL);
    if age >= max_age || due {
        let sources = selector.receivers(&engine.membership().sources(), boot_time());
        request_records(engine, exchange, &sources, true).await;
        selector.requested_at = Some(boot_time());
    }
    if age >= max_age {
        tokio::time::sleep(RESPONSE_TIMEOUT).await;
        let updated = time_since_update(engine) < max_age;
        if !updated {
            selector.record_timeout(boot_time());
        }
        return updated;
    }
    let next_request = SUBSCRIBE_INTERVAL.saturating_sub(since_request.unwrap_or_default());
    let pause = if due { max_age - age } else { (max_age - age).min(next_request) };
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = engine.wait_registered() => selector.requested_at = None,
        () = engine.wait_records_request() => {
            selector.requested_at = None;
            tokio::time::sleep(REQUEST_MIN_INTERVAL).await;
        }
    }
    true
}

fn apply_records(engine: &ProxyEngine, records: &[(ServiceName, LeadRecord)], sent_at: Duration) {
    let services: Vec<_> = records.iter().map(|(service, _)| service.clone()).collect();
    engine.record_store_read(&services, sent_at);
    let observe = |(service, record): &&(ServiceName, LeadRecord)| {
        engine.observe_record(service, record, sent_at)
    };
    let changed = records.iter().filter(observe).count();
    if changed > 0 {
        log::info!(
            records = records.len(), changed = changed; "read the records of the primaries"
        );
    }
}

async fn read_records(engine: &ProxyEngine) -> Result<Vec<(ServiceName, LeadRecord)>, StoreError> {
    let list = engine.dependencies().store.list(ObjectKind::PrimaryRecord);
    let objects = match tokio::time::timeout(READ_TIMEOUT, list).await {
        Ok(objects) => objects?,
        Err(_) => return Err(StoreError::Unavailable),
    };
    Ok(objects.iter().filter_map(|object| read_record(engine, object)).collect())
}

/// Parses the part of one record that all instances know. Returns none, and logs the reason once, if
/// the record is invalid.
pub(super) fn read_record(
    engine: &ProxyEngine,
    object: &StoredObject,
) -> Option<(ServiceName, LeadRecord)> {
    parse_record(engine, object)
}

/// The same for the whole record.
pub(super) fn read_stored_record(
    engine: &ProxyEngine,
    object: &StoredObject,
) -> Option<StoredRecord> {
    parse_record(engine, object).map(|(_, record)| record)
}

fn parse_record<T: DeserializeOwned>(
    engine: &ProxyEngine,
    object: &StoredObject,
) -> Option<(ServiceName, T)> {
    let service = object.name.parse::<ServiceName>().map_err(|error| error.to_string());
    let record = T::deserialize(&object.spec).map_err(|error| error.to_string());
    let parsed = service.and_then(|service| Ok((service, record?)));
    engine.report_invalid(ObjectKind::PrimaryRecord, &object.name, parsed)
}

/// Returns the age of the oldest confirmation of a record. For a service without a record, that is
/// the age of the last read that showed none.
pub(super) fn records_age(engine: &ProxyEngine) -> Duration {
    oldest_age(engine, LeaseTable::valid_from)
}

/// Returns the time since the least recent update of a record. Unlike [`records_age`], it counts an
/// announced version from its arrival: the instance that wrote it sends the confirmation to the
/// readers, which pass it on.
pub(super) fn time_since_update(engine: &ProxyEngine) -> Duration {
    oldest_age(engine, |leases| leases.valid_from().max(leases.seen_at()))
}

fn oldest_age(engine: &ProxyEngine, moment: impl Fn(&LeaseTable) -> Duration) -> Duration {
    let now = boot_time();
    let age_of = |at: Duration| now.saturating_sub(at);
    let read_age = engine.records_status().latest_read_at().map_or(Duration::MAX, age_of);
    let groups = engine.groups();
    let ages = groups.iter().map(|group| {
        group.with_leases(|leases| leases.record().map_or(read_age, |_| age_of(moment(leases))))
    });
    ages.max().unwrap_or(read_age)
}

async fn poll_all(engine: &ProxyEngine, exchange: &PeerExchange) {
    request_records(engine, exchange, &engine.membership().addresses(), false).await;
}
