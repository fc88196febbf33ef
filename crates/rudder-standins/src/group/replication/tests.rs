//! Tests of single replication steps at explicit times.

use super::{EntryFlight, deliver, run_step};
use crate::group::member::{GroupMember, GroupShared};
use crate::group::settings::GroupSettings;
use crate::group::slots::lock;
use crate::group::state::MemberState;
use rudder_core::{ControlStatement, LogStamp, LogTerm};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const LINK_DELAY: Duration = Duration::from_secs(600);
const APPLY_LAG: Duration = Duration::from_secs(60);

mod succession;

/// Creates a primary and two replicas that are running but have no listeners.
fn members() -> Vec<Arc<GroupMember>> {
    let mut settings = GroupSettings::loopback("orders".parse().unwrap());
    settings.link_delay = LINK_DELAY;
    settings.apply_lag = APPLY_LAG;
    let shared = Arc::new(GroupShared::new(None));
    let leader = settings.members[0].name.clone();
    let member = |index: usize| {
        let state = match index {
            0 => MemberState::first_primary(),
            _ => MemberState::first_replica(leader.clone()),
        };
        let own = &settings.members[index];
        let member = GroupMember::new(own, &settings, own.listen, state, Arc::clone(&shared), 1);
        member.mark_started().unwrap();
        Arc::new(member)
    };
    (0..3).map(member).collect()
}

fn append(member: &GroupMember) {
    let mut state = lock(&member.state);
    let term = state.accepted;
    state.log.append_as_primary(term, Vec::new(), None);
}

fn received(member: &GroupMember) -> LogStamp {
    member.status().received
}

#[test]
fn entries_arrive_after_link_delay_and_apply_after_lag() {
    let members = members();
    append(&members[0]);
    let mut flight = EntryFlight::default();
    let start = Instant::now();

    let due = run_step(&members, 1, &mut flight, start).unwrap();
    let before = received(&members[1]);
    let apply_due = run_step(&members, 1, &mut flight, due).unwrap();
    let between = members[1].status();
    run_step(&members, 1, &mut flight, apply_due);

    assert!(due >= start + LINK_DELAY && apply_due == due + APPLY_LAG);
    assert_eq!((before, between.received), (LogStamp::default(), LogStamp::new(1, 1)));
    assert_eq!(between.applied, LogStamp::default());
    assert_eq!(members[1].status().applied, LogStamp::new(1, 1));
}

/// A receiver that accepts a greater term reports an empty log while an entry is in flight. If the
/// entry still arrived, its writer could count it as replicated to a majority although the
/// promotion that polled this status has not seen it.
#[test]
fn fence_drops_entries_in_flight() {
    let members = members();
    append(&members[0]);
    let mut flight = EntryFlight::default();
    let due = run_step(&members, 1, &mut flight, Instant::now()).unwrap();
    assert_eq!(flight.items.len(), 1);

    members[1].control(&ControlStatement::Fence(LogTerm(2))).unwrap();
    deliver(&members[1], &mut flight, due);
    run_step(&members, 1, &mut flight, due);

    assert_eq!(received(&members[1]), LogStamp::default());
}

/// A member that accepted a new term still follows the superseded primary of the old term, which
/// continues to append. The member must not fetch these entries under the new term.
#[test]
fn superseded_primary_cannot_replicate() {
    let members = members();
    append(&members[0]);
    let old = members[0].name.clone();
    members[1].control(&ControlStatement::Follow(LogTerm(2), old)).unwrap();
    let mut flight = EntryFlight::default();

    let next_due = run_step(&members, 1, &mut flight, Instant::now());

    assert_eq!((next_due, flight.items.len()), (None, 0));
}

#[test]
fn cut_link_drops_and_resends_entries_in_flight() {
    let members = members();
    append(&members[0]);
    let mut flight = EntryFlight::default();
    let due = run_step(&members, 1, &mut flight, Instant::now()).unwrap();

    lock(&members[0].replication).cut = true;
    let cut = run_step(&members, 1, &mut flight, due);
    lock(&members[0].replication).cut = false;
    let again = run_step(&members, 1, &mut flight, due).unwrap();
    run_step(&members, 1, &mut flight, again);

    assert_eq!(cut, None);
    assert_eq!(received(&members[1]), LogStamp::new(1, 1));
}

/// A follower that lags by more entries than one fetch returns must receive all of them, even if
/// the primary appends nothing new.
#[test]
fn follower_catches_up_in_several_fetches() {
    let members = members();
    let entries = 3 * super::FETCH_ENTRIES as u64 + 7;
    for _ in 0..entries {
        append(&members[0]);
    }
    lock(&members[1].replication).apply_lag = Duration::ZERO;
    let mut flight = EntryFlight::default();

    let mut next_due = run_step(&members, 1, &mut flight, Instant::now());
    while let Some(due) = next_due {
        next_due = run_step(&members, 1, &mut flight, due);
    }

    assert_eq!(members[1].status().applied, LogStamp::new(1, entries));
}

/// A follower that applied many entries of a lost primary must revert its tables to the last entry
/// in common with its new leader. The truncation restores a snapshot and replays from there.
#[test]
fn truncation_reverts_to_common_entry() {
    let members = members();
    for _ in 0..3000 {
        append(&members[0]);
    }
    let state = &mut lock(&members[0].state);

    state.log.truncate(1500);

    assert_eq!(state.status().received, LogStamp::new(1, 1500));
    assert_eq!(state.status().applied, LogStamp::new(1, 1500));
}
