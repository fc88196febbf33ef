//! Requests between instances for the records of primaries, and the responses.

use super::heartbeat::fetch_copy_if_behind;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::lead::{LeaderEpoch, is_quorum};
use crate::peers::{
    PeerExchange, PeerMessage, RecordCopy, RecordException, RecordSample, RecordTiming,
    RecordsDigest, RecordsRequest, RecordsSubscriber, RecordsSummary, RequestOffset, SampleCopy,
    fetch_records,
};
use crate::records_view::{RecordTimes, RecordsView};
use rudder_core::{FreshSample, ServiceName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of records that a response holds, so that it fits a datagram. Others are fetched
/// over a connection.
const INLINE_RECORDS_MAX: usize = 64;

/// Requests the records that other instances know.
pub(super) async fn request_records(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    receivers: &[SocketAddr],
    subscribes: bool,
) {
    send_records_request(engine, exchange, receivers, rand::random(), subscribes).await;
}

/// Sends a request, or repeats it under the same id; the responses to one id are counted together.
pub(super) async fn send_records_request(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    receivers: &[SocketAddr],
    request_id: u64,
    subscribes: bool,
) {
    engine.membership().requests().record_request(request_id, boot_time());
    let instance = engine.identity().name.clone();
    let digest = engine.records_digest();
    let request = RecordsRequest { instance, request_id, digest, subscribes };
    exchange.send_all(&PeerMessage::FetchRecords(request), receivers).await;
}

/// Responds to a peer's request, and registers the peer as a subscriber if it asks for that.
pub(super) async fn handle_request(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    request: RecordsRequest,
    from: SocketAddr,
) {
    // The requesting instance's callers also wait for log positions of the primaries.
    engine.request_missing_positions();
    let subscriber = RecordsSubscriber {
        address: from,
        instance: request.instance,
        request_id: request.request_id,
        received_at: boot_time(),
        digest: request.digest,
    };
    let response = compose_response(engine, &engine.records_view(), &subscriber);
    if request.subscribes {
        engine.membership().subscribers().subscribe(subscriber);
    }
    exchange.send(&PeerMessage::RecordsSummary(Box::new(response)), from).await;
}

/// Sends the current records to all subscribers.
pub(super) async fn notify_subscribers(engine: &ProxyEngine, exchange: &PeerExchange) {
    let subscribers = engine.membership().subscribers().live(boot_time());
    let view = engine.records_view();
    for subscriber in subscribers {
        let response = compose_response(engine, &view, &subscriber);
        exchange.send(&PeerMessage::RecordsSummary(Box::new(response)), subscriber.address).await;
    }
}

/// Composes a response from what this instance knows, with all times relative to the receipt of
/// the subscriber's request.
fn compose_response(
    engine: &ProxyEngine,
    view: &RecordsView,
    subscriber: &RecordsSubscriber,
) -> RecordsSummary {
    let received_at = subscriber.received_at;
    let offset = |moment: Option<Duration>| RequestOffset::of(moment?, received_at);
    let (entries, entries_at) = engine.membership().entries_version();
    let status = engine.records_status();
    let timing = |times: RecordTimes| timing_of(times, received_at);
    let exception = |(index, times): &(usize, RecordTimes)| RecordException {
        index: position(*index),
        timing: timing(*times),
    };
    let samples = if engine.watch_plan().is_close() { &view.samples[..] } else { &[] };
    let sample = |(index, sample): &(usize, FreshSample)| RecordSample {
        index: position(*index),
        sample: SampleCopy { stamp: sample.stamp, sent: offset(Some(sample.sent_at)) },
    };
    let is_lacking = view.digest != subscriber.digest && view.count <= INLINE_RECORDS_MAX;
    RecordsSummary {
        instance: engine.identity().name.clone(),
        request_id: subscriber.request_id,
        listed: offset(engine.membership().listed_at(&subscriber.instance)),
        read: offset(status.latest_read_at()),
        complete: offset(status.complete_at()),
        version: engine.copy_version(),
        current: offset(engine.copy_confirmed_at()),
        entries,
        entries_read: offset(Some(entries_at)),
        // A restarted process no longer knows whether it had stopped responding for the previous
        // primary, so it must not confirm a version before it knows all records as they were after
        // its registration.
        confirms: engine.has_read_records(),
        digest: view.digest,
        count: position(view.count),
        common: timing(view.common),
        exceptions: view.exceptions.iter().map(exception).collect(),
        samples: samples.iter().map(sample).collect(),
        records: is_lacking.then(|| engine.known_records()),
    }
}

fn position(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

fn timing_of(times: RecordTimes, received_at: Duration) -> RecordTiming {
    RecordTiming {
        confirmed: RequestOffset::of(times.confirmed_at, received_at),
        valid_from: RequestOffset::of(times.valid_from, received_at),
    }
}

/// Applies the response to a request of this instance and notifies subscribers of newer content.
pub(super) async fn handle_response(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    response: RecordsSummary,
    from: SocketAddr,
) {
    if apply_response(engine, &response, from) {
        notify_subscribers(engine, exchange).await;
    }
}

/// Applies a response. Returns whether it confirms the records for a later time than was known.
/// Two instances that subscribe to each other stop notifying by this rule, as no response is newer
/// than the information it was composed from.
fn apply_response(engine: &Arc<ProxyEngine>, response: &RecordsSummary, from: SocketAddr) -> bool {
    let request_id = response.request_id;
    let Some(requested_at) = engine.membership().requests().sent_at(request_id) else {
        return false;
    };
    let moment = |offset: RequestOffset| offset.to_moment(requested_at);
    let first = engine.membership().requests().record_response(request_id, &response.instance);
    if let Some(listed) = response.listed {
        engine.renew_registration(moment(listed));
    }
    let mut renewed =
        response.read.is_some_and(|read| engine.record_peer_records_read(moment(read)));
    engine.record_peer_confirmation(response.version, response.current.map(moment));
    let entries_read_at = response.entries_read.map(moment);
    let has_newer_list =
        entries_read_at.is_some_and(|at| engine.membership().renew_entries(response.entries, at));
    fetch_copy_if_behind(engine, response.version, has_newer_list.then_some(from));
    let times = |index: usize| {
        let RecordTiming { confirmed, valid_from } = response.timing(index);
        RecordTimes {
            confirmed_at: confirmed.map_or(Duration::ZERO, moment),
            valid_from: valid_from.map_or(Duration::ZERO, moment),
        }
    };
    // An instance that has not seen the whole list could take a minority for a majority, so
    // confirmations count only while its own entry is in the list.
    let counts = first
        && response.confirms
        && engine.has_read_records()
        && engine.membership().has_entry(&engine.identity().name);
    if let Some(records) = &response.records {
        if digest_of(records) != response.digest {
            log::warn!(
                instance:% = response.instance, records = records.len();
                "a peer's response is inconsistent: its records are not those that it summarizes"
            );
            return renewed;
        }
        renewed |= apply_records(engine, records, times);
    }
    let digest = engine.records_digest();
    if digest == response.digest {
        if let Some(complete) = response.complete {
            engine.record_complete_records(moment(complete));
        }
        renewed |= engine.confirm_records(times);
        if counts {
            engine.membership().requests().count_all(request_id, digest);
        }
    } else if let Some(records) = response.records.as_ref().filter(|_| counts) {
        let mut requests = engine.membership().requests();
        for copy in records {
            requests.count_record(request_id, &copy.service, copy.record.epoch);
        }
    } else if response.records.is_none() && response.count as usize > INLINE_RECORDS_MAX {
        fetch_records_if_due(engine, from);
    }
    if counts {
        renewed |= confirm_by_quorum(engine, request_id, digest, requested_at);
    }
    apply_samples(engine, response, digest, moment);
    renewed
}

fn digest_of(records: &[RecordCopy]) -> RecordsDigest {
    let digests =
        records.iter().map(|copy| RecordsDigest::of_record(&copy.service, copy.record.epoch));
    digests.fold(RecordsDigest::default(), RecordsDigest::and)
}

/// Applies the records of a response with the times at which they were known to be in place.
fn apply_records(
    engine: &ProxyEngine,
    records: &[RecordCopy],
    times: impl Fn(usize) -> RecordTimes,
) -> bool {
    let mut renewed = false;
    for (index, copy) in records.iter().enumerate() {
        let RecordTimes { confirmed_at, valid_from } = times(index);
        renewed |= engine.observe_record(&copy.service, &copy.record, confirmed_at);
        renewed |= engine.confirm_by_majority(&copy.service, copy.record.epoch, valid_from);
    }
    renewed
}

/// Extends the leases on the records that a majority of instances confirmed in response to a
/// request that was sent at `requested_at`. Returns whether there are any.
fn confirm_by_quorum(
    engine: &ProxyEngine,
    request_id: u64,
    digest: RecordsDigest,
    requested_at: Duration,
) -> bool {
    let instances = engine.membership().known_count();
    let unanimous = engine.membership().requests().unanimous_confirmations(request_id, digest);
    if let Some(count) = unanimous {
        // Later responses to the same request confirm nothing more.
        let is_applied = !is_quorum(count, instances)
            || !engine.membership().requests().mark_applied(request_id, digest);
        if is_applied {
            return false;
        }
    }
    let mut renewed = false;
    for group in engine.groups().iter() {
        let epoch = group.with_leases(|leases| leases.epoch());
        let count = unanimous.unwrap_or_else(|| {
            let requests = engine.membership().requests();
            requests.confirmations(request_id, digest, group.service(), epoch)
        });
        if is_quorum(count, instances) {
            renewed |= engine.confirm_by_majority(group.service(), epoch, requested_at);
        }
    }
    renewed
}

/// Applies the positions of the primaries in a response.
fn apply_samples(
    engine: &ProxyEngine,
    response: &RecordsSummary,
    digest: RecordsDigest,
    moment: impl Fn(RequestOffset) -> Duration,
) {
    if response.samples.is_empty() {
        return;
    }
    let services: Vec<(ServiceName, LeaderEpoch)> = match &response.records {
        Some(records) => {
            records.iter().map(|copy| (copy.service.clone(), copy.record.epoch)).collect()
        }
        None if digest == response.digest => {
            let known = engine.known_records().into_iter();
            known.map(|copy| (copy.service, copy.record.epoch)).collect()
        }
        None => return,
    };
    for RecordSample { index, sample } in &response.samples {
        if let Some((service, epoch)) = services.get(*index as usize)
            && let Some(sent) = sample.sent
        {
            engine.group(service).record_peer_sample(*epoch, moment(sent), sample.stamp);
        }
    }
}

/// Fetches all records from a peer that knows others, unless they were fetched a moment ago.
fn fetch_records_if_due(engine: &Arc<ProxyEngine>, peer: SocketAddr) {
    if !engine.try_start_records_fetch() {
        return;
    }
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let Some(records) = fetch_records(peer).await else { return };
        log::info!(
            peer:% = peer, records = records.len();
            "received the records of the primaries from a peer"
        );
        for copy in &records {
            // The copy has no age; the next response confirms the records.
            engine.observe_record(&copy.service, &copy.record, Duration::ZERO);
        }
        engine.request_records();
    });
}
