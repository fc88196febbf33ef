//! Follows the records of all services, and with them the leases.

use super::answers::{notify_subscribers, request_records};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::lead::{LeadRecord, LeaseTable};
use crate::peers::PeerExchange;
use rudder_core::ServiceName;
use rudder_store::{ObjectKind, StoreError, StoredObject};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two reads. A lease lives for 1.5 s, so that a read and a datagram may fail.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The most time for one read. The store answers in milliseconds, and in some hundred when slow.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The age of the records from which on a reader asks again, and then the store itself: a pause of
/// the first reader, its read and the way.
const READER_RECORDS_MAX_AGE: Duration = Duration::from_millis(650);

/// The same for the others, by when their reader has asked the store.
const FOLLOWER_RECORDS_MAX_AGE: Duration = Duration::from_millis(850);

/// How long an answer is awaited: the longest way between regions and back.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// How often an instance that is told of the records asks to be told on.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(900);

/// How long a source that was silent is not the first to be asked. A reader that is gone is not among
/// the sources by then, and what comes over long links is paid for.
const SOURCE_RETRY_DELAY: Duration = Duration::from_millis(3000);

/// How long an instance that starts waits for its entry in the list before it reads the records: what
/// was read before gives no lease. Three calls to the store and their round trips between regions.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(400);

/// The least pause between two questions that callers cause.
const REQUEST_MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Where an instance that is told of the records stands with its questions.
#[derive(Debug, Default)]
pub(super) struct SourceSelector {
    requested_at: Option<Duration>,
    /// How many times in a row nobody answered in time, and when last.
    timeouts: usize,
    timed_out_at: Duration,
}

impl SourceSelector {
    /// Takes in that those who were asked last had not answered by `now`.
    pub(super) fn record_timeout(&mut self, now: Duration) {
        self.timeouts += 1;
        self.timed_out_at = now;
    }

    /// Those to ask next: the best source, or for a while two others if it was silent.
    pub(super) fn receivers(&mut self, sources: &[SocketAddr], now: Duration) -> Vec<SocketAddr> {
        if now >= self.timed_out_at + SOURCE_RETRY_DELAY {
            self.timeouts = 0;
        }
        let count = if self.timeouts == 0 { 1 } else { 2 };
        let start = self.timeouts.checked_rem(sources.len()).unwrap_or(0);
        sources.iter().cycle().skip(start).take(count.min(sources.len())).copied().collect()
    }
}

/// Keeps the records current: the first reader asks the store and tells the other readers, and these
/// tell their failure domains. Whoever is not told in time asks the store itself.
pub(crate) async fn follow(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    // Over means that the entry takes longer; the records are read again when it is there.
    let _ = tokio::time::timeout(REGISTRATION_TIMEOUT, engine.wait_registered()).await;
    let mut selector = SourceSelector::default();
    let mut reachable = true;
    loop {
        metrics::gauge!("rudder_records_age_seconds").set(records_age(&engine).as_secs_f64());
        let follows = engine.has_read_records() && !engine.membership().is_first_reader();
        if follows && follow_peers(&engine, &exchange, &mut selector).await {
            continue;
        }
        let sent_at = boot_time();
        let result = read_records(&engine).await;
        engine.membership().note_store_answer(result.is_ok(), boot_time());
        match &result {
            Ok(records) => apply_records(&engine, records, sent_at),
            // Most instances' word renews leases.
            Err(_) if engine.membership().is_first_reader() => poll_all(&engine, &exchange).await,
            Err(_) => {}
        }
        notify_subscribers(&engine, &exchange).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            let reason = result.err().map_or_else(|| "answered".to_owned(), |e| e.to_string());
            log::warn!(reachable = reachable, reason:% = reason; "the store's records");
        }
        let gap = if reachable { READ_INTERVAL } else { READ_INTERVAL / 2 };
        wait_next_read(&engine, &exchange, gap.saturating_sub(boot_time().saturating_sub(sent_at)))
            .await;
    }
}

/// Waits for `time`, or until this instance has entered the list: only what is read from then on
/// lets it lead. Callers who wait for positions of the primaries have the readers asked at once.
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

/// Has itself told of the records; returns whether it is told in time.
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
    engine.note_records_read(&services, sent_at);
    for (service, record) in records {
        engine.observe(service, record, sent_at);
    }
}

async fn read_records(engine: &ProxyEngine) -> Result<Vec<(ServiceName, LeadRecord)>, StoreError> {
    let list = engine.borders().store.list(ObjectKind::PrimaryRecord);
    let objects = match tokio::time::timeout(READ_TIMEOUT, list).await {
        Ok(objects) => objects?,
        Err(_) => return Err(StoreError::Unavailable),
    };
    Ok(objects.iter().filter_map(read_record).collect())
}

/// Reads one record; one that cannot be read is none.
pub(super) fn read_record(object: &StoredObject) -> Option<(ServiceName, LeadRecord)> {
    let service = object.name.parse::<ServiceName>();
    let record = serde_json::from_value::<LeadRecord>(object.spec.clone());
    match (service, record) {
        (Ok(service), Ok(record)) => Some((service, record)),
        (service, record) => {
            let reason = record.err().map(|error| error.to_string());
            let reason = reason.or_else(|| service.err().map(|error| error.to_string()));
            log::error!(
                object:% = object.name, reason:% = reason.unwrap_or_default();
                "a record of a primary cannot be parsed"
            );
            None
        }
    }
}

/// The age of what is known of the records. Of a service without one it is the age of the last read
/// that showed none.
pub(super) fn records_age(engine: &ProxyEngine) -> Duration {
    oldest_age(engine, LeaseTable::anchor)
}

/// The same, but a version that has just been announced counts from then: whoever wrote it tells the
/// readers when, and these pass it on.
pub(super) fn time_since_update(engine: &ProxyEngine) -> Duration {
    oldest_age(engine, |leases| leases.anchor().max(leases.seen_at()))
}

fn oldest_age(engine: &ProxyEngine, moment: impl Fn(&LeaseTable) -> Duration) -> Duration {
    let now = boot_time();
    let age_of = |at: Duration| now.saturating_sub(at);
    let read_age = engine.records_status().latest_read_at().map_or(Duration::MAX, age_of);
    let ages = engine.groups().into_iter().map(|group| {
        group.with_leases(|leases| leases.record().map_or(read_age, |_| age_of(moment(leases))))
    });
    ages.max().unwrap_or(read_age)
}

async fn poll_all(engine: &ProxyEngine, exchange: &PeerExchange) {
    request_records(engine, exchange, &engine.membership().addresses(), false).await;
}
