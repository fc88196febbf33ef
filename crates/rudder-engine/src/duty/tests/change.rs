//! Changes of primary against a store in memory.

use super::fixture::{FakeMembers, RecordStore, WriteOutcome, engine, engine_with_drain, stamp};
use crate::clock::boot_time;
use crate::duty::change::{ChangeDecision, ChangeError, change_primary};
use crate::lead::{ChangeCause, LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::PeerExchange;
use rudder_core::{LogTerm, MemberName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

fn changing(epoch: u64, previous: Option<MemberName>, planned: bool) -> LeadRecord {
    let holder = "other".parse().expect("a name");
    let phase = LeadPhase::Changing { holder, process: epoch, previous, planned };
    LeadRecord { epoch: LeaderEpoch(epoch), mark: format!("m{epoch}"), phase }
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
async fn a_change_that_was_judged_on_an_older_record_is_not_begun() {
    // A process that was changing the primary was killed; its successor and another instance both
    // see it. The successor begins anew, and its announcement reaches the other one between its
    // judgement and its look at the store. If that one goes on, two instances promote in turn.
    let newer = changing(3, None, false);
    let store = RecordStore::new(&newer, &[WriteOutcome::Refused]);
    let engine = engine(&store, None);
    let exchange = exchange().await;
    let group = engine.group(&service());
    engine.observe(&service(), &newer, Duration::ZERO);

    let outcome = change_primary(&engine, &exchange, &group, unfinished(2)).await;

    assert_eq!(outcome, Err(ChangeError::Overtaken));
    assert_eq!(store.write_count(), 0);
}

/// Takes over the change that the store's record tells of, among members with logs of these
/// lengths, of which the first is the primary and leaves.
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
    let record = store.record();
    let engine = engine(store, Some(Arc::clone(&members)));
    engine.apply_members(&members.entries(), 1);
    engine.observe(&service(), &record, Duration::ZERO);
    let group = engine.group(&service());
    let decision = unfinished(record.epoch.0);
    let outcome = change_primary(&engine, &exchange().await, &group, decision).await;
    (outcome, members)
}

#[tokio::test]
async fn a_planned_change_that_is_taken_over_still_waits_for_its_successor() {
    // A crew's acknowledged sheets are gone after a planned replacement. The leaving primary stops
    // taking writes, the instance that replaces it dies before it has promoted anyone, and another
    // one takes over while the successor still lacks the last commits. It saw a change that was not
    // finished, not that the old primary was there to be waited for, and promoted at once.
    let record = changing(3, Some("a".parse().expect("a name")), true);
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 95), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(members.promoted(), [("b".parse().expect("a name"), stamp(1, 100))]);
    assert!(matches!(store.record().phase, LeadPhase::Settled { .. }));
}

#[tokio::test]
async fn a_change_goes_on_although_writes_of_the_store_are_lost() {
    // Crews wait six seconds for a new primary in place of two. The store loses every other write
    // of a record without a word; the change gave up each time and began anew, with a new version
    // of the record for which all instances had to stop again.
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let store = RecordStore::new(&record, &[WriteOutcome::Lost, WriteOutcome::Done]);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 95), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(store.record().epoch, LeaderEpoch(5));
    assert_eq!(members.promoted().len(), 1);
}

#[tokio::test]
async fn change_uses_one_connection_per_candidate() {
    // Crews wait two seconds for a new primary that takes 0.3 to promote. The change asks the
    // candidates twice and then looks at the promoted one, and opened a connection each time, which
    // waited for a slot of members that were busy with the lost primary's reads.
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);

    let (outcome, members) = take_over(&store, &[("a", 100), ("b", 100), ("c", 90)]).await;

    assert_eq!(outcome, Ok(()));
    // The candidates', and the one on which the old primary is told to step down.
    assert!(members.dials() <= 4, "{}", members.dials());
}

#[tokio::test]
async fn silent_connection_to_a_candidate_is_replaced() {
    // The last sheets of a lost primary are gone although a replica had them. Something between the
    // two ends lost track of the connection on which it was asked a moment before; without an answer
    // it was no candidate, and a member behind it was promoted.
    let record = changing(3, Some("a".parse().expect("a name")), false);
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);
    let members = FakeMembers::new(&[("a", 80), ("b", 100), ("c", 90)]);
    members.silence_after_first_reply("b");

    let (outcome, members) = take_over_from(&store, members).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(members.promoted(), [("b".parse().expect("a name"), stamp(1, 100))]);
}

/// Whether the primary may be sent work that has just said that it leaves.
fn gets_statements(member_drain: Duration) -> bool {
    let phase =
        LeadPhase::Settled { primary: "a".parse().expect("a name"), term: LogTerm(1), base: None };
    let record = LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase };
    let store = RecordStore::new(&record, &[WriteOutcome::Done]);
    let members = FakeMembers::new(&[("a", 100), ("b", 100)]);
    let engine = engine_with_drain(&store, Some(Arc::clone(&members)), member_drain);
    engine.set_listed(Some(boot_time()));
    engine.note_records_read(&[service()], boot_time());
    engine.apply_members(&members.entries(), 1);
    engine.observe(&service(), &record, boot_time());
    engine.leader(&engine.group(&service())).is_some()
}

#[test]
fn a_primary_that_has_been_leaving_for_long_gets_no_work() {
    // Statements reach a leaving primary until it ends, and what is under way then is lost. Three
    // instances are cut off and a fourth is gone, so that no majority is heard, and the change of
    // primary waits for the cut to heal; meanwhile nothing took the primary out of use.
    let within_limit = gets_statements(Duration::from_secs(60));
    let past_limit = gets_statements(Duration::from_secs(2));

    assert!(within_limit);
    assert!(!past_limit);
}
