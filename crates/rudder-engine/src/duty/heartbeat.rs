//! Heartbeats between instances, and the handling of peers' datagrams.

use super::answers::{handle_request, handle_response, request_records};
use super::loans::{
    handle_loan_recall, handle_loan_response, handle_loan_return, record_spare,
    respond_to_loan_request,
};
use super::schedule::HeartbeatSchedule;
use super::watch::handle_probe_request;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::ServiceGroup;
use crate::identity::DrainPhase;
use crate::lead::{LeadPhase, LeaderEpoch};
use crate::limits::{respond_to_claim, respond_to_queue_claim};
use crate::peers::{
    AcknowledgedNotice, CopyVersion, PeerExchange, PeerHeartbeat, PeerMessage, PrimarySuspicion,
    RecordCopy, StopNotice, fetch_copy, respond_with_copy,
};
use rudder_core::{LogStamp, ServiceName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between heartbeats while their content does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between checks of a hub for changed heartbeat content, which is sent at once.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The same interval of other instances, whose content nobody waits for.
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time for which statements in flight may delay this instance's stop notice. Nearly all
/// commits complete within it; the outcome of the others is reported as unknown.
const STOP_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an instance that polls the store itself waits for the store before it fetches the
/// newer version from a peer.
const OWN_READ_DELAY: Duration = Duration::from_millis(400);

/// Interval between checks for statements in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends heartbeats at regular intervals, and at once when their content changes.
pub(crate) async fn send(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let mut last_sent: Option<PeerHeartbeat> = None;
    let (mut near_schedule, mut far_schedule) =
        (HeartbeatSchedule::default(), HeartbeatSchedule::default());
    loop {
        let heartbeat = compose_heartbeat(&engine);
        let has_changed = last_sent.as_ref() != Some(&heartbeat);
        let now = Instant::now();
        let near = engine.membership().domain_receivers();
        let far = engine.membership().remote_receivers();
        let mut receivers = near_schedule.due(near, has_changed, HEARTBEAT_INTERVAL, now);
        receivers.extend(far_schedule.due(far, has_changed, HEARTBEAT_INTERVAL, now));
        exchange.send_all(&PeerMessage::Heartbeat(heartbeat.clone()), &receivers).await;
        last_sent = Some(heartbeat);
        let is_hub = engine.membership().is_hub();
        tokio::time::sleep(if is_hub { POLL_INTERVAL } else { FOLLOWER_POLL_INTERVAL }).await;
    }
}

fn compose_heartbeat(engine: &ProxyEngine) -> PeerHeartbeat {
    // Only readers watch the primaries, so only their suspicions count.
    let watched = if engine.membership().is_reader() { engine.groups() } else { Arc::default() };
    let suspected = |group: &Arc<ServiceGroup>| group.watch_failing_since().is_some();
    let suspicions =
        watched.iter().filter(|group| suspected(group)).map(|group| PrimarySuspicion {
            service: group.service().clone(),
            epoch: group.with_leases(|leases| leases.epoch()),
        });
    PeerHeartbeat {
        instance: engine.identity().name.clone(),
        process: engine.process(),
        domain: engine.identity().domain.clone(),
        version: engine.copy_version(),
        store_unreachable: engine.membership().is_store_unreachable(),
        leaving: engine.drain_phase() != DrainPhase::Serving,
        suspicions: suspicions.collect(),
    }
}

/// Handles peers' datagrams.
pub(crate) async fn receive(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    loop {
        let (message, from) = exchange.receive().await;
        match message {
            PeerMessage::Heartbeat(heartbeat) => handle_heartbeat(&engine, heartbeat, from),
            PeerMessage::Announce(copy) => handle_announce(&engine, &exchange, copy, from).await,
            PeerMessage::Stopped(notice) => engine.membership().record_stop(notice),
            PeerMessage::FetchRecords(request) => {
                handle_request(&engine, &exchange, request, from).await;
            }
            PeerMessage::RecordsSummary(reply) => {
                handle_response(&engine, &exchange, *reply, from).await;
            }
            PeerMessage::ProbePrimary(probe) => handle_probe_request(&engine, probe).await,
            PeerMessage::Records(_) => {
                metrics::counter!("rudder_datagrams_ignored_total").increment(1);
            }
            PeerMessage::Claim(claim) => respond_to_claim(&engine, &exchange, claim, from).await,
            PeerMessage::ClaimResponse(response) => {
                engine.handle_claim_response(response, from).await;
            }
            PeerMessage::RelayProbe(probe) => {
                engine.handle_relay_probe(&exchange, probe, from).await;
            }
            PeerMessage::RelayedProbe(probe) => engine.handle_relayed_probe(&probe, from),
            PeerMessage::Acknowledged(notice) => handle_acknowledged(&engine, &notice),
            PeerMessage::Reach(notice) => engine.handle_reach_notice(notice, from),
            PeerMessage::FetchCopy(request) => {
                respond_with_copy(&engine, &exchange, request, from).await;
            }
            PeerMessage::Copy(response) => engine.pending_copy().complete(response),
            PeerMessage::QueueClaim(claim) => respond_to_queue_claim(&engine, claim, from).await,
            PeerMessage::QueuedClaim(response) => engine.handle_queued_claim(response, from).await,
            PeerMessage::ReturnClaim(claim) => {
                engine.take_back_grant(&claim.account, claim.grant).await;
            }
            PeerMessage::SpareConnections(report) => record_spare(&engine, report, from),
            PeerMessage::LoanRequest(request) => {
                respond_to_loan_request(&engine, &exchange, request, from).await;
            }
            PeerMessage::LoanResponse(response) => {
                handle_loan_response(&engine, &exchange, response, from).await;
            }
            PeerMessage::LoanReturn(notice) => handle_loan_return(&engine, &notice, from),
            PeerMessage::LoanRecall(recall) => {
                handle_loan_recall(&engine, &exchange, recall, from).await;
            }
        }
    }
}

fn handle_heartbeat(engine: &Arc<ProxyEngine>, heartbeat: PeerHeartbeat, from: SocketAddr) {
    let version = heartbeat.version;
    engine.membership().record_heartbeat(heartbeat, from);
    fetch_copy_if_behind(engine, version, None);
}

/// Fetches a peer's copy of the settings, the members and the list of instances if this instance
/// lacks `version`, or if the peer `list_source` has a newer list of instances.
pub(super) fn fetch_copy_if_behind(
    engine: &Arc<ProxyEngine>,
    version: CopyVersion,
    list_source: Option<SocketAddr>,
) {
    let behind = engine.copy_version().lacks(version) || list_source.is_some();
    if behind && engine.try_start_copy_fetch() {
        tokio::spawn(fetch_newer_copy(Arc::clone(engine), list_source));
    }
}

/// Fetches and applies what a peer knows beyond this instance.
async fn fetch_newer_copy(engine: Arc<ProxyEngine>, list_source: Option<SocketAddr>) {
    if !engine.has_current_peer_copy() && list_source.is_none() {
        tokio::time::sleep(OWN_READ_DELAY).await;
    }
    let peer = engine.membership().newer_copy(engine.copy_version()).or(list_source);
    let requested_at = boot_time();
    if let Some(peer) = peer
        && let Some(copy) = fetch_copy(&engine, peer, engine.copy_request()).await
    {
        log::info!(peer:% = peer; "received a copy of settings, members or instances from a peer");
        engine.apply_copy(copy, requested_at);
    }
    engine.finish_copy_fetch();
}

/// Applies a new version of a record that a peer announces, and stops if it begins a change.
async fn handle_announce(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    copy: RecordCopy,
    from: SocketAddr,
) {
    let service = copy.service;
    engine.observe_record(&service, &copy.record, Duration::ZERO);
    if let LeadPhase::Changing { .. } = copy.record.phase {
        let engine = Arc::clone(engine);
        let exchange = exchange.clone();
        tokio::spawn(async move {
            let epoch = stop_leases(&engine, &service).await;
            if let Some(position) = acknowledged_position(&engine, &service) {
                let service = service.clone();
                let notice = AcknowledgedNotice { service, epoch, position };
                exchange.send(&PeerMessage::Acknowledged(notice), from).await;
            }
            let instance = engine.identity().name.clone();
            let notice = StopNotice { instance, service, epoch };
            exchange.send(&PeerMessage::Stopped(notice), from).await;
        });
    } else if engine.membership().is_reader() {
        // An announcement has no age, so it cannot renew a lease; the response to a request can.
        request_records(engine, exchange, &[from], false).await;
    }
}

/// Returns how far the commits reach that this instance has acknowledged, if a change of primary
/// depends on it.
fn acknowledged_position(engine: &ProxyEngine, service: &ServiceName) -> Option<LogStamp> {
    let has_sync_replicas = engine.sync_replicas(service) > 0;
    has_sync_replicas.then(|| engine.group(service).acknowledged()).flatten()
}

/// Applies how far the commits reach that another instance has acknowledged. A notice on an earlier
/// change is ignored.
fn handle_acknowledged(engine: &ProxyEngine, notice: &AcknowledgedNotice) {
    let group = engine.group(&notice.service);
    if group.with_leases(|leases| leases.epoch()) == notice.epoch {
        group.raise_acknowledged(Some(notice.position));
    }
}

/// Waits a short time for statements in flight, then stops this instance's leases. Returns the
/// version of the record before which this instance holds no lease any more.
pub(super) async fn stop_leases(engine: &ProxyEngine, service: &ServiceName) -> LeaderEpoch {
    let group = engine.group(service);
    let until = Instant::now() + STOP_TIMEOUT;
    loop {
        let force = Instant::now() >= until;
        let (stopped, epoch) = group.with_leases(|leases| (leases.stop(force), leases.epoch()));
        if stopped {
            return epoch;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}
