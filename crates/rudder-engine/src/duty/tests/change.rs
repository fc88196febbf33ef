//! Changes of primary with a store in memory.

use super::fixture::{
    FakeMembers, RecordStore, WriteOutcome, engine, engine_of, engine_with_drain, first_record,
    stamp,
};
use crate::clock::boot_time;
use crate::duty::change::{ChangeDecision, ChangeError, change_primary, write_first_record};
use crate::fixtures::identity;
use crate::group::MemberEntry;
use crate::lead::{ChangeCause, LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::{PeerEntry, PeerExchange};
use rudder_core::{LogTerm, MemberName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

fn changing(epoch: u64, previous: Option<MemberName>, planned: bool) -> LeadRecord {
    let holder = "other".parse().expect("a name");
    let phase = LeadPhase::Changing { holder, process: epoch, previous, planned };
    LeadRecord { epoch: LeaderEpoch(epoch), mark: format!("m{epoch}"), phase, orders: Vec::new() }
}

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

fn unfinished(epoch: u64) -> ChangeDecision {
    ChangeDecision { cause: ChangeCause::Unfinished, epoch: LeaderEpoch(epoch), skips_quorum: true }
}

async fn exchange() -> PeerExchange {
    PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port")
}

#[tokio::test]
async fn a_change_decided_on_an_older_record_is_not_started() {
    // Two instances decide to take over a change whose holder was killed. The announcement of the
    // first one's new change reaches the second one after its decision and before it reads the
    // store. If the second one continues, two instances promote a member one after the other.
    let newer = changing(3, None, false);
    let store = RecordStore::new(&newer, &[WriteOutcome::Refused]);
    let engine = engine(&store, None);
    let exchange = exchange().await;
    let group = engine.group(&service());
    engine.observe_record(&service(), &newer, Duration::ZERO);

    let outcome = change_primary(&engine, &exchange, &group, unfinished(2)).await;

    assert_eq!(outcome, Err(ChangeError::Superseded));
    assert_eq!(store.write_count(), 0);
}

/// Takes over the change in the store's record, with members whose logs have these lengths. The
/// first member is the leaving primary.
async fn take_over(
    store: &Arc<RecordStore>,
    logs: &[(&str, u64)],
) -> (Result<(), ChangeError>, Arc<FakeMembers>) {
    take_over_from(store, FakeMembers::new(logs)).await
}

async fn take_over_from(
    store: &Arc<RecordStore>,
    members: Arc<FakeMembers>,
) -> (Result<(), ChangeError>, Arc<FakeMembers>) {
    let entries = members.entries();
    take_over_as(store, members, &entries).await
}

/// Takes over the change in the store's record while no member is leaving.
async fn take_over_ready(
    store: &Arc<RecordStore>,
    members: Arc<FakeMembers>,
) -> (Result<(), ChangeError>, Arc<FakeMembers>) {
    let entries = members.ready_entries();
    take_over_as(store, members, &entries).await
}

async fn take_over_as(
    store: &Arc<RecordStore>,
    members: Arc<FakeMembers>,
    entries: &[MemberEntry],
) -> (Result<(), ChangeError>, Arc<FakeMembers>) {
    let record = store.record();
    let engine = engine(store, Some(Arc::clone(&members)));
    engine.apply_members(entries, 1);
    engine.observe_record(&service(), &record, Duration::ZERO);
    let group = engine.group(&service());
    let decision = unfinished(record.epoch.0);
    let outcome = change_primary(&engine, &exchange().await, &group, decision).await;
    (outcome, members)
}

#[tokio::test]
async fn a_planned_change_that_is_taken_over_waits_for_its_successor() {
    // Acknowledged commits are lost if the instance that replaces a leaving primary fails before a
    // promotion, and the one that takes over sees only an unfinished change and promotes at once,
    // while the successor still lacks the last commits.
    let record = changing(3, Some("a".parse().expect("a name")), true);
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 95), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(members.promoted(), [("b".parse().expect("a name"), stamp(1, 100))]);
    assert!(matches!(store.record().phase, LeadPhase::Settled { .. }));
}

#[tokio::test]
async fn a_change_continues_after_a_lost_store_write() {
    // If the store loses every other write of a record without a response and the change restarts
    // each time, all instances stop again for the new version of the record, and callers wait six
    // seconds for a new primary instead of two.
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let store = RecordStore::new(&record, &[WriteOutcome::Lost, WriteOutcome::Done]);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 95), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    // Three versions: the intent, the order and the result.
    assert_eq!(store.record().epoch, LeaderEpoch(6));
    assert_eq!(members.promoted().len(), 1);
}

/// Guards against a change that starts again later because the fleet reader has just updated the
/// history in the record.
#[tokio::test]
async fn a_change_begins_although_the_history_was_updated() {
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let outcomes =
        [WriteOutcome::Overtaken, WriteOutcome::Done, WriteOutcome::Done, WriteOutcome::Done];
    let store = RecordStore::new(&record, &outcomes);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 95), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(members.promoted().len(), 1);
}

#[tokio::test]
async fn change_uses_one_connection_per_candidate() {
    // A change requests the candidates' status twice and then polls the promoted member. If each
    // request opens a connection, it waits for a slot of members that are busy with the lost
    // primary's reads, and callers wait 2 s for a primary that takes 0.3 s to promote.
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 100), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    // One for each candidate, and one for the step-down command to the previous primary.
    assert!(members.dials() <= 4, "{}", members.dials());
}

#[tokio::test]
async fn silent_connection_to_a_candidate_is_replaced() {
    // The network drops the connection of an earlier status request without a reset. Without a new
    // one, the most advanced replica is no candidate, and the last commits of the lost primary are
    // lost.
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);
    let members = FakeMembers::new(&[("a", 80), ("b", 100), ("c", 90)]);
    members.silence_after_first_reply("b");

    let (outcome, members) = take_over_from(&store, members).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(members.promoted(), [("b".parse().expect("a name"), stamp(1, 100))]);
}

/// Begins a change of an unreachable primary and ends the instance that carries it out as soon as
/// its promotion order has been accepted.
async fn order_and_end(store: &Arc<RecordStore>, members: &Arc<FakeMembers>) {
    let engine = engine_of(store, Some(Arc::clone(members)), identity("holder"));
    engine.apply_members(&members.ready_entries(), 1);
    let record = store.record();
    engine.observe_record(&service(), &record, Duration::ZERO);
    let exchange = exchange().await;
    let holder = tokio::spawn(async move {
        let group = engine.group(&service());
        let cause = ChangeCause::Unreachable;
        let decision = ChangeDecision { cause, epoch: record.epoch, skips_quorum: true };
        change_primary(&engine, &exchange, &group, decision).await
    });
    let orders = members.order_count();
    while members.order_count() == orders {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    holder.abort();
}

fn settled_primary(store: &RecordStore) -> Option<MemberName> {
    store.record().primary().cloned()
}

/// Guards against two primaries: the old one is back before the order of an instance that was
/// killed takes effect, and another instance settles the record on it.
#[tokio::test]
async fn a_takeover_waits_for_the_order_of_a_killed_instance() {
    let promotion_time = Duration::from_millis(600);
    let store = RecordStore::new(&first_record(), &[WriteOutcome::Done]);
    let members =
        FakeMembers::with_promotion_time(&[("a", 100), ("b", 95), ("c", 90)], promotion_time);
    members.set_down("a", true);
    order_and_end(&store, &members).await;
    members.set_down("a", false);

    let (outcome, members) = take_over_ready(&store, members).await;
    tokio::time::sleep(promotion_time).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(settled_primary(&store), Some(members.leader()));
}

/// Guards against two primaries: an order without an answer takes effect after another member was
/// ordered and named.
#[tokio::test]
async fn a_change_outlasts_an_unanswered_order() {
    let held_up = Duration::from_millis(3600);
    let store = RecordStore::new(&first_record(), &[WriteOutcome::Done]);
    let members = FakeMembers::new(&[("a", 100), ("b", 95), ("c", 90)]);
    members.set_down("a", true);
    members.hold_next_order_up(held_up);
    let group_members = Arc::clone(&members);
    let outage = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(300)).await;
        group_members.set_down("b", true);
        tokio::time::sleep(held_up - Duration::from_millis(400)).await;
        group_members.set_down("b", false);
    });

    let engine = engine(&store, Some(Arc::clone(&members)));
    engine.apply_members(&members.ready_entries(), 1);
    let exchange = exchange().await;
    let group = engine.group(&service());
    let mut cause = ChangeCause::Unreachable;
    loop {
        let epoch = store.record().epoch;
        engine.observe_record(&service(), &store.record(), Duration::ZERO);
        let decision = ChangeDecision { cause, epoch, skips_quorum: true };
        if change_primary(&engine, &exchange, &group, decision).await.is_ok() {
            break;
        }
        cause = ChangeCause::Unfinished;
    }
    outage.await.expect("the member is back");
    tokio::time::sleep(held_up / 4).await;

    assert_eq!(settled_primary(&store), Some(members.leader()));
}

/// Returns whether a primary that has just announced its shutdown may be sent statements.
fn gets_statements(member_drain: Duration) -> bool {
    let phase =
        LeadPhase::Settled { primary: "a".parse().expect("a name"), term: LogTerm(1), base: None };
    let record =
        LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase, orders: Vec::new() };
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);
    let members = FakeMembers::new(&[("a", 100), ("b", 100)]);
    let engine = engine_with_drain(&store, Some(Arc::clone(&members)), member_drain);
    engine.set_registered(Some(boot_time()));
    engine.record_store_read(&[service()], boot_time());
    engine.apply_members(&members.entries(), 1);
    engine.observe_record(&service(), &record, boot_time());
    engine.serving_primary(&engine.group(&service())).is_some()
}

#[test]
fn a_primary_that_drains_for_too_long_gets_no_statements() {
    // With three instances partitioned off and a fourth one failed, there is no majority, and the
    // change of primary waits for the partition to heal. If the leaving primary stays in use until
    // it stops, the statements in flight are lost.
    let within_limit = gets_statements(Duration::from_secs(60));
    let past_limit = gets_statements(Duration::from_secs(2));

    assert!(within_limit);
    assert!(!past_limit);
}

/// A fleet that starts writes a record for each service. If each were announced to each instance,
/// a thousand instances before a thousand services would send a million datagrams.
#[tokio::test]
async fn a_first_record_is_not_announced() {
    let store = RecordStore::empty();
    let members = FakeMembers::new(&[("a", 100), ("b", 95), ("c", 90)]);
    let engine = engine(&store, Some(Arc::clone(&members)));
    engine.apply_members(&members.entries(), 1);
    let peer = exchange().await;
    let entry = PeerEntry {
        instance: "peer".parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address: peer.address(),
        marked: false,
        capacity: None,
    };
    engine.membership().set_entries(vec![entry], boot_time());

    let outcome = write_first_record(&engine, &exchange().await, &engine.group(&service())).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(members.dials(), 1, "only the member that lists itself as primary is asked");
    let received = tokio::time::timeout(Duration::from_millis(100), peer.receive()).await;
    assert!(received.is_err(), "{received:?}");
}
