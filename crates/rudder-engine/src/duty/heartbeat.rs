//! Signs of life between instances, and the answers to peers' questions.

use super::records::ask;
use super::schedule::HeartbeatSchedule;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::ServiceGroup;
use crate::identity::DrainPhase;
use crate::lead::{LeadPhase, LeaderEpoch, is_quorum};
use crate::peers::{
    PeerExchange, PeerHeartbeat, PeerMessage, PrimaryDoubt, RecordCopy, RecordsAnswer, SampleCopy,
    StopNotice, fetch_copy,
};
use rudder_core::{InstanceName, ServiceName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The pause between two heartbeats while nothing changes.
const HEARTBEAT_GAP: Duration = Duration::from_millis(1000);

/// The same of a reader within its failure domain, where others rely on how fresh its word is.
const FEED_GAP: Duration = Duration::from_millis(500);

/// How often a change is looked for that is worth a heartbeat of its own.
const LOOK_GAP: Duration = Duration::from_millis(50);

/// How long statements under way may hold up this instance's word that it has stopped. Nearly
/// all commits are answered within it; the rest is answered as unknown.
const STOP_WAIT: Duration = Duration::from_millis(250);

/// How long an instance that asks the store itself awaits its word before it asks a peer that has
/// it already.
const OWN_READ_WAIT: Duration = Duration::from_millis(400);

/// The pause between two looks whether statements are still under way.
const STOP_LOOK: Duration = Duration::from_millis(5);

/// Sends heartbeats: regularly, and at once when there is something new in them.
pub(crate) async fn send(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let mut told: Option<PeerHeartbeat> = None;
    let (mut near_schedule, mut far_schedule) =
        (HeartbeatSchedule::default(), HeartbeatSchedule::default());
    loop {
        let heartbeat = compose(&engine);
        let news = told.as_ref() != Some(&heartbeat);
        let near_gap = if engine.is_reader() { FEED_GAP } else { HEARTBEAT_GAP };
        let now = Instant::now();
        let mut receivers =
            near_schedule.due(engine.membership().near_receivers(), news, near_gap, now);
        receivers.extend(far_schedule.due(
            engine.membership().far_receivers(),
            news,
            HEARTBEAT_GAP,
            now,
        ));
        let store_age_ms = store_age_ms(&engine);
        let dated = PeerHeartbeat { store_age_ms, ..heartbeat.clone() };
        exchange.send_all(&PeerMessage::Heartbeat(dated), &receivers).await;
        told = Some(heartbeat);
        tokio::time::sleep(LOOK_GAP).await;
    }
}

/// The age of the store's word here; the greatest number if there is none.
fn store_age_ms(engine: &ProxyEngine) -> u64 {
    let confirmed_at = engine.store_confirmed_at();
    confirmed_at.map_or(u64::MAX, |at| age_in_ms(at, boot_time()))
}

/// All of a heartbeat but the age of the store's word, which changes without being news.
fn compose(engine: &ProxyEngine) -> PeerHeartbeat {
    // The others' words on the primaries do not count.
    let reads = engine.is_reader();
    let doubted = |group: &Arc<ServiceGroup>| reads && group.silent_since().is_some();
    let doubts = engine.groups().into_iter().filter(doubted).map(|group| PrimaryDoubt {
        service: group.service().clone(),
        epoch: group.with_leases(|leases| leases.epoch()),
    });
    PeerHeartbeat {
        instance: engine.identity().name.clone(),
        process: engine.process(),
        domain: engine.identity().domain.clone(),
        version: engine.copy_version(),
        store_age_ms: 0,
        leaving: engine.drain_phase() != DrainPhase::Serving,
        doubts: doubts.collect(),
    }
}

/// Takes in peers' datagrams.
pub(crate) async fn receive(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    loop {
        let (message, from) = exchange.receive().await;
        match message {
            PeerMessage::Heartbeat(heartbeat) => take_heartbeat(&engine, heartbeat, from),
            PeerMessage::Announce(copy) => take_announcement(&engine, &exchange, copy, from).await,
            PeerMessage::Stopped(word) => engine.membership().note_stopped(word),
            PeerMessage::Ask { instance: asker, question } => {
                exchange.send(&PeerMessage::Records(answer(&engine, &asker, question)), from).await;
            }
            PeerMessage::Records(answer) => {
                take_listing(&engine, &answer);
                take_records(&engine, &answer);
            }
        }
    }
}

fn take_heartbeat(engine: &Arc<ProxyEngine>, heartbeat: PeerHeartbeat, from: SocketAddr) {
    let version = heartbeat.version;
    engine.membership().note_heartbeat(heartbeat, from);
    if engine.copy_version().lacks(version) && engine.may_fetch_copy() {
        tokio::spawn(catch_up(Arc::clone(engine)));
    }
}

/// Fetches what a peer knows and this instance does not.
async fn catch_up(engine: Arc<ProxyEngine>) {
    if !engine.is_fed() {
        tokio::time::sleep(OWN_READ_WAIT).await;
    }
    if let Some(peer) = engine.membership().newer_copy(engine.copy_version())
        && let Some(copy) = fetch_copy(peer).await
    {
        log::info!(peer:% = peer, settings:% = copy.settings.version; "a copy was had from a peer");
        engine.apply_copy(copy);
    }
    engine.end_fetch_copy();
}

/// A peer has written a new version of a record.
async fn take_announcement(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    copy: RecordCopy,
    from: SocketAddr,
) {
    let service = copy.service;
    let new = engine.observe(&service, &copy.record, Duration::ZERO);
    if let LeadPhase::Changing { .. } = copy.record.phase {
        let engine = Arc::clone(engine);
        let exchange = exchange.clone();
        tokio::spawn(async move {
            let epoch = stop_answering(&engine, &service).await;
            let instance = engine.identity().name.clone();
            let word = StopNotice { instance, service, epoch };
            exchange.send(&PeerMessage::Stopped(word), from).await;
        });
    } else if new {
        // A datagram does not say how old it is; a question's answer does.
        ask(engine, exchange, &[from]).await;
    }
}

/// Lets statements under way end, for a moment; then this instance answers for no version of the
/// record before the one it returns.
pub(super) async fn stop_answering(engine: &ProxyEngine, service: &ServiceName) -> LeaderEpoch {
    let group = engine.group(service);
    let until = Instant::now() + STOP_WAIT;
    loop {
        let force = Instant::now() >= until;
        let (stopped, epoch) = group.with_leases(|leases| (leases.stop(force), leases.epoch()));
        if stopped {
            return epoch;
        }
        tokio::time::sleep(STOP_LOOK).await;
    }
}

/// What this instance knows, for a peer that asked.
fn answer(engine: &ProxyEngine, asker: &InstanceName, question: u64) -> RecordsAnswer {
    let groups = engine.groups();
    if groups.iter().any(|group| group.newest_sample().is_none()) {
        // The asker's callers wait for positions of the primaries, too.
        engine.want_position();
    }
    let now = boot_time();
    let age_ms = |at: Option<Duration>| at.map(|at| age_in_ms(at, now));
    RecordsAnswer {
        instance: engine.identity().name.clone(),
        question,
        listed_age_ms: age_ms(engine.membership().listed_at(asker)),
        read_age_ms: age_ms(engine.records_status().read_at()),
        records: groups.iter().filter_map(|group| copy_record(engine, group)).collect(),
    }
}

fn copy_record(engine: &ProxyEngine, group: &ServiceGroup) -> Option<RecordCopy> {
    let now = boot_time();
    let (leases, newest) = group.knowledge();
    let sample = newest
        .map(|sample| SampleCopy { stamp: sample.stamp, age_ms: age_in_ms(sample.sent_at, now) });
    Some(RecordCopy {
        service: group.service().clone(),
        record: leases.record()?.clone(),
        age_ms: age_in_ms(leases.confirmed_at(), now),
        majority_age_ms: age_in_ms(leases.anchor(), now),
        // Guards against an instance that forgot by a restart that it had stopped: it confirms
        // a version only once it has read the store itself.
        confirms: engine.has_read_records(),
        sample,
    })
}

/// Rounded up, so that nothing looks fresher than it is.
fn age_in_ms(since: Duration, now: Duration) -> u64 {
    let age = now.saturating_sub(since).as_millis();
    u64::try_from(age).unwrap_or(u64::MAX).saturating_add(1)
}

/// A peer's word that the store lists this instance, and that it has read all records.
fn take_listing(engine: &ProxyEngine, answer: &RecordsAnswer) {
    let Some(asked_at) = engine.membership().questions().asked_at(answer.question) else { return };
    let moment = |age_ms| asked_at.saturating_sub(Duration::from_millis(age_ms));
    if let Some(age_ms) = answer.listed_age_ms {
        engine.renew_listed(moment(age_ms));
    }
    if let Some(age_ms) = answer.read_age_ms {
        engine.note_records_told(moment(age_ms));
    }
}

/// The answer to a question of this instance's own.
fn take_records(engine: &ProxyEngine, answer: &RecordsAnswer) {
    let (question, instance) = (answer.question, &answer.instance);
    let Some(asked_at) = engine.membership().questions().asked_at(question) else { return };
    engine.membership().questions().note_answer(question, instance);
    for copy in &answer.records {
        // Guards against an answer that was long on its way: the peer looked after the question
        // was sent, so counted from then its word is older than it says, never younger.
        let confirmed_at = asked_at.saturating_sub(Duration::from_millis(copy.age_ms));
        engine.observe(&copy.service, &copy.record, confirmed_at);
        let epoch = copy.record.epoch;
        let majority_at = asked_at.saturating_sub(Duration::from_millis(copy.majority_age_ms));
        engine.confirm_by_majority(&copy.service, epoch, majority_at);
        if copy.confirms && engine.has_read_records() {
            let membership = engine.membership();
            let count =
                membership.questions().count_confirmation(question, instance, &copy.service, epoch);
            if is_quorum(count, membership.known_count()) {
                engine.confirm_by_majority(&copy.service, epoch, asked_at);
            }
        }
        if let Some(sample) = copy.sample {
            let sent_at = asked_at.saturating_sub(Duration::from_millis(sample.age_ms));
            engine.group(&copy.service).note_peer_sample(copy.record.epoch, sent_at, sample.stamp);
        }
    }
}
