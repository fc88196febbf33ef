//! Changes of primary of a service whose commits are received by one replica before they are
//! acknowledged.

use super::fixture::{FakeMembers, RecordStore, WriteOutcome, engine, first_record, stamp};
use crate::clock::boot_time;
use crate::duty::change::{ChangeDecision, ChangeError, change_primary};
use crate::engine::ProxyEngine;
use crate::fixtures::member_entry;
use crate::group::MemberEntry;
use crate::lead::{ChangeCause, CommitHolder, LeadHistory, StoredRecord};
use crate::peers::PeerExchange;
use crate::settings::{FleetSettings, ServiceRule, SettingsVersion};
use rudder_core::{MemberName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

fn settings(version: u64, sync_replicas: u32) -> FleetSettings {
    let rule = ServiceRule { service: service(), connections_max: 30, sync_replicas };
    let idle = Duration::from_secs(3);
    FleetSettings::sorted(SettingsVersion(version), Vec::new(), vec![rule], idle)
}

/// Service with one synchronous replica whose primary `a` cannot be reached.
struct LostPrimary {
    store: Arc<RecordStore>,
    members: Arc<FakeMembers>,
    engine: Arc<ProxyEngine>,
    exchange: PeerExchange,
}

impl LostPrimary {
    async fn new(logs: &[(&str, u64)]) -> Self {
        Self::with_record(logs, &StoredRecord::new(first_record(), LeadHistory::default())).await
    }

    /// The same with this record in the store, and a process that has only just started.
    async fn with_record(logs: &[(&str, u64)], record: &StoredRecord) -> Self {
        let store = RecordStore::with_history(record, &[WriteOutcome::Done]);
        let members = FakeMembers::new(logs);
        members.set_down("a", true);
        let engine = engine(&store, Some(Arc::clone(&members)));
        engine.apply_settings(settings(1, 1));
        engine.apply_members(&members.ready_entries(), 1);
        engine.observe_record(&service(), &store.record(), Duration::ZERO);
        let address = ([127, 0, 0, 1], 0).into();
        let exchange = PeerExchange::bind(address).await.expect("a free port");
        Self { store, members, engine, exchange }
    }

    /// Changes the primary, as an attempt of its own.
    async fn change(&self, cause: ChangeCause) -> Result<(), ChangeError> {
        let epoch = self.store.record().epoch;
        let decision = ChangeDecision { cause, epoch, skips_quorum: true };
        let group = self.engine.group(&service());
        change_primary(&self.engine, &self.exchange, &group, decision).await
    }

    /// Returns the same service as a process sees it that has only just started, with these members
    /// in the list.
    async fn restart(&self, listed: &[&str]) -> Self {
        let (store, members) = (Arc::clone(&self.store), Arc::clone(&self.members));
        let engine = engine(&store, Some(Arc::clone(&members)));
        engine.apply_settings(settings(1, 1));
        let entries = members.ready_entries();
        let is_listed = |entry: &&MemberEntry| listed.contains(&entry.target.member.as_str());
        let entries: Vec<_> = entries.iter().filter(is_listed).cloned().collect();
        engine.apply_members(&entries, 1);
        engine.observe_record(&service(), &store.record(), Duration::ZERO);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port");
        Self { store, members, engine, exchange }
    }

    /// Records that the primary was at this position now, before it was lost.
    fn sample(&self, position: u64) {
        self.engine.set_registered(Some(boot_time()));
        self.engine.record_store_read(&[service()], boot_time());
        self.engine.observe_record(&service(), &self.store.record(), boot_time());
        let group = self.engine.group(&service());
        let now = boot_time();
        let lease = group.with_leases(|leases| leases.lease(now)).expect("a lease");
        group.record_position(&lease, now, stamp(1, position));
    }

    fn set_entries(&self, entries: &[MemberEntry]) {
        self.engine.apply_members(entries, 2);
    }

    fn primary(&self) -> Option<MemberName> {
        self.store.record().primary().cloned()
    }
}

fn name(text: &str) -> MemberName {
    text.parse().expect("a member's name")
}

/// Guards against the promotion of a replica that lacks acknowledged commits, because the only one
/// that has them answers later than the other members.
#[tokio::test]
async fn a_slow_replica_with_all_commits_is_promoted() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    lost.members.slow_down("c", Duration::from_millis(900));

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("c"), stamp(1, 100))]);
}

/// Guards against a promotion while a replica that may hold the last commits does not answer.
#[tokio::test]
async fn nobody_is_promoted_until_the_last_commits_are_found() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    lost.members.set_down("c", true);

    let without_c = lost.change(ChangeCause::Unreachable).await;
    let promoted_without_c = lost.members.promoted();
    lost.members.set_down("c", false);
    let with_c = lost.change(ChangeCause::Unfinished).await;

    assert_eq!((without_c, promoted_without_c), (Err(ChangeError::TooLate), Vec::new()));
    assert_eq!(with_c, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("c"), stamp(1, 100))]);
}

/// Guards against a service without a primary although the previous one is back with its log.
#[tokio::test]
async fn a_previous_primary_that_is_back_leads_again() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 95)]).await;
    lost.members.set_deaf(&["b", "c"]);
    lost.members.set_down("c", true);

    let while_away = lost.change(ChangeCause::Unreachable).await;
    lost.members.set_down("a", false);
    let outcome = lost.change(ChangeCause::Unfinished).await;

    assert_eq!(while_away, Err(ChangeError::TooLate));
    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.primary(), Some(name("a")));
}

/// Guards against a planned change that promotes a successor which has not caught up in time.
#[tokio::test]
async fn a_planned_change_waits_for_a_complete_successor() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 90)]).await;
    lost.members.set_down("a", false);
    lost.members.set_deaf(&["b", "c"]);
    lost.set_entries(&lost.members.entries());

    let while_deaf = lost.change(ChangeCause::Leaving).await;
    let promoted_while_deaf = lost.members.promoted();
    lost.members.set_deaf(&["b"]);
    let outcome = lost.change(ChangeCause::Unfinished).await;

    assert_eq!((while_deaf, promoted_while_deaf), (Err(ChangeError::TooLate), Vec::new()));
    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("c"), stamp(1, 100))]);
}

/// Guards against the loss of commits that only a draining replica has received.
#[tokio::test]
async fn a_draining_replica_is_promoted_if_no_other_has_all_commits() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    let mut entries = lost.members.ready_entries();
    entries[2].state = crate::group::MemberState::Draining;
    lost.set_entries(&entries);

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("c"), stamp(1, 100))]);
}

/// Guards against the loss of commits of a replica that left the membership together with the
/// primary.
#[tokio::test]
async fn a_replica_that_has_just_left_is_waited_for() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    lost.members.set_down("c", true);
    lost.set_entries(&lost.members.ready_entries()[..2]);

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!(outcome, Err(ChangeError::TooLate));
    assert_eq!(lost.members.promoted(), []);
}

/// Guards against a service that stays without a primary although its operator has released it.
#[tokio::test]
async fn the_settings_release_a_service_whose_replicas_are_lost() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    lost.members.set_down("c", true);
    let withheld = lost.change(ChangeCause::Unreachable).await;
    lost.engine.apply_settings(settings(2, 0));

    let outcome = lost.change(ChangeCause::Unfinished).await;

    assert_eq!((withheld, outcome), (Err(ChangeError::TooLate), Ok(())));
    assert_eq!(lost.members.promoted(), [(name("b"), stamp(1, 90))]);
}

/// Returns the record of a service whose commits these members may hold.
fn record_with_holders(members: &[&str]) -> StoredRecord {
    let address = member_entry("a").target.address;
    let holder = |member: &&str| CommitHolder { member: name(member), started_at_ms: 1, address };
    let holders = members.iter().map(holder).collect();
    StoredRecord::new(first_record(), LeadHistory { holders, ..LeadHistory::default() })
}

/// Guards against the loss of commits that only a replica cut from the store has received, as its
/// entry is missing although it still receives and acknowledges commits.
#[tokio::test]
async fn a_replica_that_is_only_cut_from_the_store_is_asked() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    lost.set_entries(&lost.members.ready_entries()[..2]);
    lost.sample(90);

    let while_cut = lost.change(ChangeCause::Unreachable).await;
    let promoted_while_cut = lost.members.promoted();
    lost.set_entries(&lost.members.ready_entries());
    let outcome = lost.change(ChangeCause::Unfinished).await;

    assert_eq!((while_cut, promoted_while_cut), (Err(ChangeError::TooLate), Vec::new()));
    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("c"), stamp(1, 100))]);
}

/// Guards against the loss of commits of a replica that was lost before all instances restarted.
#[tokio::test]
async fn a_lost_replica_is_known_after_a_restart_of_all_instances() {
    let record = record_with_holders(&["a", "b", "c"]);
    let lost = LostPrimary::with_record(&[("a", 100), ("b", 90), ("c", 100)], &record).await;
    lost.members.set_deaf(&["b"]);
    lost.members.set_down("c", true);
    let lost = lost.restart(&["b"]).await;

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!((outcome, lost.members.promoted()), (Err(ChangeError::TooLate), Vec::new()));
}

/// Guards against the same if the instances restart while the primary is being changed.
#[tokio::test]
async fn a_change_in_progress_names_the_members_that_may_hold_commits() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 100)]).await;
    lost.members.set_deaf(&["b"]);
    lost.members.set_down("c", true);
    let first = lost.change(ChangeCause::Unreachable).await;
    let restarted = lost.restart(&["b"]).await;

    let outcome = restarted.change(ChangeCause::Unfinished).await;

    assert_eq!((first, outcome), (Err(ChangeError::TooLate), Err(ChangeError::TooLate)));
    assert_eq!(lost.members.promoted(), Vec::new());
}

/// Guards against a promotion that is withheld because of a replica that was lost long before.
#[tokio::test]
async fn a_released_replica_does_not_delay_a_change() {
    let record = record_with_holders(&["a", "b"]);
    let lost = LostPrimary::with_record(&[("a", 100), ("b", 90), ("c", 100)], &record).await;
    lost.members.set_deaf(&["b"]);
    lost.members.set_down("c", true);
    let lost = lost.restart(&["b"]).await;
    let started_at = tokio::time::Instant::now();

    let outcome = lost.change(ChangeCause::Unreachable).await;

    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.members.promoted(), [(name("b"), stamp(1, 90))]);
    assert!(started_at.elapsed() < Duration::from_millis(1000), "{:?}", started_at.elapsed());
}

/// Guards against the loss of commits that a replica had received before it lost its log behind a cut
/// from the store, so that its entry does not tell of the restart.
#[tokio::test]
async fn a_replica_that_lost_its_log_is_no_proof() {
    let lost = LostPrimary::new(&[("a", 100), ("b", 90), ("c", 20)]).await;
    lost.members.set_deaf(&["b", "c"]);
    lost.sample(98);
    let group = lost.engine.group(&service());
    group.raise_acknowledged(group.next_commit_floor());

    let while_away = lost.change(ChangeCause::Unreachable).await;
    let restarted = lost.restart(&["a", "b", "c"]).await;
    let after_restart = restarted.change(ChangeCause::Unfinished).await;
    let promoted_while_away = lost.members.promoted();
    lost.members.set_down("a", false);
    let outcome = restarted.change(ChangeCause::Unfinished).await;

    assert_eq!(while_away, Err(ChangeError::TooLate));
    assert_eq!((after_restart, promoted_while_away), (Err(ChangeError::TooLate), Vec::new()));
    assert_eq!(outcome, Ok(()));
    assert_eq!(lost.primary(), Some(name("a")));
}
