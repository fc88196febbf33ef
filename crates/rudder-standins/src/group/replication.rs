//! Asynchronous replication: one task per member fetches log entries from the member that it
//! follows and applies them.

use super::log::LogEntry;
use super::member::{GroupMember, ReplicationKnobs};
use super::slots::lock;
use super::state::{GroupRole, MemberState};
use rudder_core::{LogStamp, LogTerm, MemberName};
use std::collections::VecDeque;
use std::sync::{Arc, MutexGuard};
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum number of entries fetched from the leader at a time.
const FETCH_ENTRIES: usize = 512;

/// Member from which entries are fetched, and the term under which they are fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FollowKey {
    term: LogTerm,
    leader: MemberName,
}

/// Message in flight from the leader to a follower.
#[derive(Debug)]
enum FlightItem {
    /// Removes all entries after this many, which are the common prefix with the leader's log.
    Truncate(usize),
    /// Entry that directly follows the one with the stamp `previous`.
    Entry { previous: LogStamp, entry: Arc<LogEntry> },
}

/// Messages in flight to one follower.
#[derive(Debug, Default)]
struct EntryFlight {
    key: Option<FollowKey>,
    items: VecDeque<(Instant, FlightItem)>,
    /// Number of entries of the leader's log that were sent; `None` until the common prefix of the
    /// two logs is known.
    sent: Option<usize>,
    last_due: Option<Instant>,
}

impl EntryFlight {
    fn reset(&mut self, key: Option<FollowKey>) {
        *self = Self { key, ..Self::default() };
    }

    /// Adds an item that is due no earlier than the one before it, also if the link delay was
    /// reduced in the meantime.
    fn push(&mut self, due: Instant, item: FlightItem) {
        let due = self.last_due.map_or(due, |last| last.max(due));
        self.last_due = Some(due);
        self.items.push_back((due, item));
    }
}

/// Replicates to a member until the group stops.
pub(crate) async fn replicate(members: Arc<[Arc<GroupMember>]>, index: usize) {
    let member = &members[index];
    let stop = member.shared.stop.clone();
    let mut change_count = member.shared.change_count.subscribe();
    let mut flight = EntryFlight::default();
    loop {
        change_count.borrow_and_update();
        let next_due = run_step(&members, index, &mut flight, Instant::now());
        let timer = async {
            match next_due {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            _ = change_count.changed() => {}
            () = timer => {}
        }
    }
}

/// Performs all due work and returns the time at which the next work is due.
fn run_step(
    members: &[Arc<GroupMember>],
    index: usize,
    flight: &mut EntryFlight,
    now: Instant,
) -> Option<Instant> {
    let member = &members[index];
    if !member.is_running() || member.is_frozen() {
        flight.reset(None);
        return None;
    }
    let knobs = lock(&member.replication).clone();
    let mut has_more = false;
    if !knobs.paused {
        has_more = fetch(members, index, flight, &knobs, now);
        deliver(member, flight, now);
    }
    let next_apply = apply(member, &knobs, now);
    if has_more && flight.items.len() < FETCH_ENTRIES {
        return Some(now);
    }
    let next_item = flight.items.front().filter(|_| !knobs.paused).map(|(due, _)| *due);
    next_apply.into_iter().chain(next_item).min()
}

/// Puts new entries in flight; returns whether the leader may have more than `FETCH_ENTRIES`.
fn fetch(
    members: &[Arc<GroupMember>],
    index: usize,
    flight: &mut EntryFlight,
    knobs: &ReplicationKnobs,
    now: Instant,
) -> bool {
    let member = &members[index];
    let key = follow_key(&lock(&member.state));
    if flight.key != key {
        flight.reset(key.clone());
    }
    let Some(key) = key else { return false };
    let Some(leader) = members.iter().find(|other| other.name == key.leader) else { return false };
    if knobs.cut || lock(&leader.replication).cut {
        // An interrupted link loses the messages in flight and the connection, so the common
        // prefix has to be determined again.
        flight.reset(Some(key));
        return false;
    }
    if !leader.is_running() || leader.is_frozen() {
        return false;
    }
    if flight.items.len() >= FETCH_ENTRIES {
        return true;
    }
    let (own, leader_state) = lock_both(member, leader);
    // A superseded primary may still have new entries. Entries are fetched only from a member
    // whose accepted term equals the follower's.
    if !leader_state.serves_entries(key.term) {
        return false;
    }
    let sent = match flight.sent {
        Some(sent) => sent,
        None => {
            let common = own.log.common_prefix(&leader_state.log);
            if common < own.log.len() {
                flight.push(now + knobs.link_delay, FlightItem::Truncate(common));
            }
            flight.last_due = Some(now + knobs.link_delay);
            common
        }
    };
    let mut previous = leader_state.log.stamp_at(sent);
    let entries = leader_state.log.entries_after(sent, FETCH_ENTRIES);
    for entry in entries {
        let due = (entry.appended + knobs.link_delay).max(now);
        flight.push(due, FlightItem::Entry { previous, entry: Arc::clone(entry) });
        previous = entry.stamp;
    }
    flight.sent = Some(sent + entries.len());
    entries.len() == FETCH_ENTRIES
}

fn follow_key(state: &MemberState) -> Option<FollowKey> {
    match &state.role {
        GroupRole::Replica(Some(leader)) => {
            Some(FollowKey { term: state.accepted, leader: leader.clone() })
        }
        _ => None,
    }
}

/// Locks the states of two members in the order of their names, so that two members that follow
/// each other cannot deadlock.
fn lock_both<'a>(
    own: &'a GroupMember,
    other: &'a GroupMember,
) -> (MutexGuard<'a, MemberState>, MutexGuard<'a, MemberState>) {
    if own.name < other.name {
        let first = lock(&own.state);
        (first, lock(&other.state))
    } else {
        let first = lock(&other.state);
        (lock(&own.state), first)
    }
}

fn deliver(member: &GroupMember, flight: &mut EntryFlight, now: Instant) {
    if flight.items.front().is_none_or(|(due, _)| *due > now) {
        return;
    }
    let mut state = lock(&member.state);
    // Entries in flight when the member accepted a greater term are dropped: the member has
    // reported its status under the new term, and an older primary must not change it afterwards.
    if follow_key(&state) != flight.key {
        flight.reset(None);
        return;
    }
    while flight.items.front().is_some_and(|(due, _)| *due <= now) {
        let Some((_, item)) = flight.items.pop_front() else { return };
        match item {
            FlightItem::Truncate(count) => state.log.truncate(count),
            FlightItem::Entry { previous, entry } if state.log.received() == previous => {
                state.log.receive(entry, now);
            }
            FlightItem::Entry { .. } => {
                let key = flight.key.take();
                flight.reset(key);
                return;
            }
        }
    }
}

fn apply(member: &GroupMember, knobs: &ReplicationKnobs, now: Instant) -> Option<Instant> {
    let mut state = lock(&member.state);
    while let Some(received) = state.log.next_unapplied() {
        let due = received + knobs.apply_lag;
        if due > now {
            return Some(due);
        }
        state.log.apply_next();
    }
    None
}
