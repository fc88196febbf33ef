//! Requests between instances for the records of primaries, and the responses.

use super::heartbeat::fetch_copy_if_behind;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::ServiceGroup;
use crate::lead::is_quorum;
use crate::peers::{
    AuthorityTrailer, PeerExchange, PeerMessage, RecordCopy, RecordTiming, RecordsDigest,
    RecordsRequest, RecordsResponse, RecordsSubscriber, RequestOffset, SampleCopy,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
    let digest = digest_of(&engine.known_records());
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
    if engine.groups().iter().any(|group| group.newest_sample().is_none()) {
        // The requesting instance's callers also wait for log positions of the primaries.
        engine.request_position();
    }
    let received_at = boot_time();
    let subscriber = RecordsSubscriber {
        address: from,
        instance: request.instance,
        request_id: request.request_id,
        received_at,
        digest: request.digest,
    };
    let response = compose_response(engine, &subscriber);
    if request.subscribes {
        engine.membership().subscribers().subscribe(subscriber);
    }
    let trailer = engine.authority_trailer(received_at);
    exchange.send_records(response, trailer.as_ref(), from).await;
}

/// Sends the current records to all subscribers.
pub(super) async fn notify_subscribers(engine: &ProxyEngine, exchange: &PeerExchange) {
    let subscribers = engine.membership().subscribers().live(boot_time());
    for subscriber in subscribers {
        let response = compose_response(engine, &subscriber);
        let trailer = engine.authority_trailer(subscriber.received_at);
        exchange.send_records(response, trailer.as_ref(), subscriber.address).await;
    }
}

/// Composes a response from what this instance knows, with all times relative to the receipt of
/// the subscriber's request.
fn compose_response(engine: &ProxyEngine, subscriber: &RecordsSubscriber) -> RecordsResponse {
    let received_at = subscriber.received_at;
    let offset = |moment: Option<Duration>| RequestOffset::of(moment?, received_at);
    let groups = engine.groups();
    let known: Vec<(RecordCopy, RecordTiming)> =
        groups.iter().filter_map(|group| record_with_timing(group, received_at)).collect();
    let (records, timings): (Vec<_>, _) = known.into_iter().unzip();
    let digest = digest_of(&records);
    let (entries, entries_at) = engine.membership().entries_version();
    RecordsResponse {
        instance: engine.identity().name.clone(),
        request_id: subscriber.request_id,
        listed: offset(engine.membership().listed_at(&subscriber.instance)),
        read: offset(engine.records_status().latest_read_at()),
        version: engine.copy_version(),
        current: offset(engine.copy_confirmed_at()),
        entries,
        entries_read: offset(Some(entries_at)),
        // A restarted process no longer knows whether it had stopped responding for the previous
        // primary, so it must not confirm a version before it has read the store itself.
        confirms: engine.has_read_records(),
        digest,
        timings,
        records: (digest != subscriber.digest).then_some(records),
    }
}

fn digest_of(records: &[RecordCopy]) -> RecordsDigest {
    RecordsDigest::of(records.iter().map(|copy| (&copy.service, copy.record.epoch)))
}

fn record_with_timing(
    group: &ServiceGroup,
    received_at: Duration,
) -> Option<(RecordCopy, RecordTiming)> {
    let (leases, newest) = group.leases_and_newest_sample();
    let record = leases.record()?.clone();
    let offset = |moment| RequestOffset::of(moment, received_at);
    let sample =
        newest.map(|sample| SampleCopy { stamp: sample.stamp, sent: offset(sample.sent_at) });
    let timing = RecordTiming {
        confirmed: offset(leases.confirmed_at()),
        valid_from: offset(leases.valid_from()),
        sample,
    };
    Some((RecordCopy { service: group.service().clone(), record }, timing))
}

/// Applies the response to a request of this instance and notifies subscribers of newer content.
pub(super) async fn handle_response(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    response: RecordsResponse,
    trailer: Option<AuthorityTrailer>,
    from: SocketAddr,
) {
    if apply_response(engine, response, trailer, from) {
        notify_subscribers(engine, exchange).await;
    }
}

/// Applies a response. Returns whether it confirms the records for a later time than was known.
/// Two instances that subscribe to each other stop notifying by this rule, as no response is newer
/// than the information it was composed from.
fn apply_response(
    engine: &Arc<ProxyEngine>,
    response: RecordsResponse,
    trailer: Option<AuthorityTrailer>,
    from: SocketAddr,
) -> bool {
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
    renewed |= engine.observe_authority(trailer, request_id, requested_at, first);
    engine.record_peer_confirmation(response.version, response.current.map(moment));
    let entries_read_at = response.entries_read.map(moment);
    let has_newer_list =
        entries_read_at.is_some_and(|at| engine.membership().renew_entries(response.entries, at));
    fetch_copy_if_behind(engine, response.version, has_newer_list.then_some(from));
    let records = response.records.unwrap_or_else(|| engine.known_records());
    if digest_of(&records) != response.digest {
        // The versions known here have changed since the request; the next request names them.
        return renewed;
    }
    if records.len() != response.timings.len() {
        log::warn!(
            instance:% = response.instance;
            "a peer's response is incomplete: it has different numbers of records and timings"
        );
        return renewed;
    }
    // An instance that has not seen the whole list could take a minority for a majority, so
    // confirmations count only while its own entry is in the list.
    let counts = first
        && response.confirms
        && engine.has_read_records()
        && engine.membership().has_entry(&engine.identity().name);
    let instances = if counts { engine.membership().known_count() } else { 0 };
    for (copy, timing) in records.iter().zip(&response.timings) {
        let confirmed_at = timing.confirmed.map_or(Duration::ZERO, moment);
        renewed |= engine.observe_record(&copy.service, &copy.record, confirmed_at);
        let epoch = copy.record.epoch;
        if let Some(valid_from) = timing.valid_from {
            renewed |= engine.confirm_by_majority(&copy.service, epoch, moment(valid_from));
        }
        if counts {
            let mut requests = engine.membership().requests();
            let count = requests.count_confirmation(request_id, &copy.service, epoch);
            drop(requests);
            if is_quorum(count, instances) {
                renewed |= engine.confirm_by_majority(&copy.service, epoch, requested_at);
            }
        }
        if let Some(SampleCopy { stamp, sent: Some(sent) }) = timing.sample {
            engine.group(&copy.service).record_peer_sample(epoch, moment(sent), stamp);
        }
    }
    renewed
}
