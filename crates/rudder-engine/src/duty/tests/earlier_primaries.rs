//! Changes of primary while a member still reports what was before an earlier change.

use super::fixture::{FakeMembers, RecordStore, WriteOutcome, engine, stamp};
use crate::clock::boot_time;
use crate::duty::change::{ChangeDecision, ChangeError, change_primary};
use crate::lead::{ChangeCause, LeadHistory, LeadPhase, LeadRecord, LeaderEpoch, StoredRecord};
use crate::peers::PeerExchange;
use rudder_core::{LogStamp, LogTerm, MemberName, MemberRole, MemberStatus, ServiceName};
use std::sync::Arc;
use std::time::Duration;

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

fn name(text: &str) -> MemberName {
    text.parse().expect("a member's name")
}

fn status(role: MemberRole, term: u64, received: LogStamp) -> MemberStatus {
    MemberStatus { role, accepted: LogTerm(term), received, applied: received }
}

/// Position of the member `a` beyond the base of term 2.
const ROLLED_BACK: (u64, u64) = (1, 130);

/// Service whose primary `b` took over from `a` in term 2 when its log ended at 1.100, and which
/// cannot be reached now. The member `a` was partitioned and still leads term 1.
struct LostSuccessor {
    store: Arc<RecordStore>,
    members: Arc<FakeMembers>,
}

impl LostSuccessor {
    fn new() -> Self {
        let phase =
            LeadPhase::Settled { primary: name("b"), term: LogTerm(2), base: Some(stamp(1, 100)) };
        let mark = "m4".to_owned();
        let record = LeadRecord { epoch: LeaderEpoch(4), mark, phase, orders: Vec::new() };
        Self::with_record(record, LeadHistory::default())
    }

    /// Returns the same service while another instance's change is not finished.
    fn changing() -> Self {
        let phase = LeadPhase::Changing {
            holder: "other".parse().expect("a name"),
            process: 7,
            previous: Some(name("b")),
            planned: false,
        };
        let mark = "m5".to_owned();
        let record = LeadRecord { epoch: LeaderEpoch(5), mark, phase, orders: Vec::new() };
        let mut history = LeadHistory::of_term(LogTerm(1));
        history.settle(LogTerm(2), stamp(1, 100));
        Self::with_record(record, history)
    }

    fn with_record(record: LeadRecord, history: LeadHistory) -> Self {
        let stored = StoredRecord::new(record, history);
        let members = FakeMembers::new(&[("a", 90), ("b", 100), ("c", 100)]);
        members.set_status("b", status(MemberRole::Primary, 2, stamp(2, 150)));
        members.set_status("c", status(MemberRole::Replica, 2, stamp(2, 150)));
        members.set_down("b", true);
        members.set_down("c", true);
        Self { store: RecordStore::with_history(&stored, &[WriteOutcome::Done]), members }
    }

    /// Changes the primary by a process that knows nothing of earlier attempts.
    async fn change(&self, cause: ChangeCause) -> Result<(), ChangeError> {
        self.change_since(cause, Duration::ZERO).await
    }

    /// The same by a process that has observed the record for this time.
    async fn change_since(&self, cause: ChangeCause, age: Duration) -> Result<(), ChangeError> {
        let engine = engine(&self.store, Some(Arc::clone(&self.members)));
        engine.apply_members(&self.members.ready_entries(), 1);
        let record = self.store.record();
        let observed_at = boot_time().saturating_sub(age);
        let group = engine.group(&service());
        group.with_leases(|leases| leases.observe(&record, Duration::ZERO, observed_at));
        engine.observe_record(&service(), &record, Duration::ZERO);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port");
        let decision = ChangeDecision { cause, epoch: record.epoch, skips_quorum: true };
        change_primary(&engine, &exchange, &group, decision).await
    }

    fn settled(&self) -> Option<(MemberName, LogTerm)> {
        match self.store.record().phase {
            LeadPhase::Settled { primary, term, .. } => Some((primary, term)),
            LeadPhase::Changing { .. } => None,
        }
    }
}

/// Guards against a partitioned primary that is named again without a promotion, as it reports that
/// it leads while its successor does not respond.
#[tokio::test]
async fn a_superseded_primary_is_promoted_before_it_is_named() {
    let lost = LostSuccessor::new();

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("a"), stamp(1, 90))]);
    assert_eq!(lost.settled(), Some((name("a"), LogTerm(3))));
}

/// Guards against the same by a process that starts while a change is in progress and knows the last
/// settled primary from the store alone.
#[tokio::test]
async fn a_change_that_is_taken_over_knows_the_last_settled_term() {
    let lost = LostSuccessor::changing();

    let outcome = lost.change(ChangeCause::Unfinished).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.settled(), Some((name("a"), LogTerm(3))));
}

/// Guards against commits that a promotion rolled back and that return with the next one, as the log
/// that holds them is the longest.
#[tokio::test]
async fn a_member_without_rolled_back_commits_is_promoted() {
    let lost = LostSuccessor::new();
    let (term, position) = ROLLED_BACK;
    lost.members.set_status("a", status(MemberRole::Replica, 1, stamp(term, position)));
    lost.members.set_status("c", status(MemberRole::Replica, 1, stamp(1, 95)));
    lost.members.set_down("c", false);

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted()[0].0, name("c"));
}

/// Guards against the same if the member with the rolled-back commits is the only one that responds.
#[tokio::test]
async fn a_change_waits_for_a_member_without_rolled_back_commits() {
    let lost = LostSuccessor::new();
    let (term, position) = ROLLED_BACK;
    lost.members.set_status("a", status(MemberRole::Primary, 1, stamp(term, position)));

    let alone = lost.change(ChangeCause::Unreachable).await;
    let promoted_alone = lost.members.promoted();
    lost.members.set_down("c", false);
    let outcome = lost.change(ChangeCause::Unfinished).await;

    assert_eq!((alone, promoted_alone), (Err(ChangeError::TooLate), Vec::new()));
    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.settled().map(|(primary, _)| primary), Some(name("c")));
}

/// Guards against a service that stays without a primary because the only member left holds commits
/// that were rolled back.
#[tokio::test]
async fn a_member_with_rolled_back_commits_is_promoted_if_no_other_returns() {
    let lost = LostSuccessor::changing();
    let (term, position) = ROLLED_BACK;
    lost.members.set_status("a", status(MemberRole::Replica, 1, stamp(term, position)));

    let outcome = lost.change_since(ChangeCause::Unfinished, Duration::from_secs(21)).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.settled(), Some((name("a"), LogTerm(3))));
}
