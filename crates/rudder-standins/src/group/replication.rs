//! Asynchronous replication: one task per member pulls entries and applies them.

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

/// Entries taken from the leader at a time.
const FETCH_ENTRIES: usize = 512;

/// Whom a member takes entries from, and under which term.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FollowKey {
    term: LogTerm,
    leader: MemberName,
}

/// What travels from the leader to the follower.
#[derive(Debug)]
enum FlightItem {
    /// The log matches the leader's up to so many entries; later ones go.
    Truncate(usize),
    /// The entry that comes after the one with stamp `previous`.
    Entry { previous: LogStamp, entry: Arc<LogEntry> },
}

/// The entries on their way to one follower.
#[derive(Debug, Default)]
struct EntryFlight {
    key: Option<FollowKey>,
    items: VecDeque<(Instant, FlightItem)>,
    /// How many entries of the leader's log were sent, once the logs were matched.
    sent: Option<usize>,
    last_due: Option<Instant>,
}

impl EntryFlight {
    fn reset(&mut self, key: Option<FollowKey>) {
        *self = Self { key, ..Self::default() };
    }

    /// Adds an item, in order though the link delay may have shrunk.
    fn push(&mut self, due: Instant, item: FlightItem) {
        let due = self.last_due.map_or(due, |last| last.max(due));
        self.last_due = Some(due);
        self.items.push_back((due, item));
    }
}

/// Keeps a member's log up to date until the group stops.
pub(crate) async fn replicate(members: Arc<[Arc<GroupMember>]>, index: usize) {
    let member = &members[index];
    let stop = member.shared.stop.clone();
    let mut activity = member.shared.activity.subscribe();
    let mut flight = EntryFlight::default();
    loop {
        activity.borrow_and_update();
        let wake = step(&members, index, &mut flight, Instant::now());
        let timer = async {
            match wake {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            _ = activity.changed() => {}
            () = timer => {}
        }
    }
}

/// Does all that is due and tells when the next is.
fn step(
    members: &[Arc<GroupMember>],
    index: usize,
    flight: &mut EntryFlight,
    now: Instant,
) -> Option<Instant> {
    let member = &members[index];
    if !member.is_alive() || member.is_frozen() {
        flight.reset(None);
        return None;
    }
    let knobs = lock(&member.replication).clone();
    let mut more = false;
    if !knobs.paused {
        more = fetch(members, index, flight, &knobs, now);
        deliver(member, flight, now);
    }
    let next_apply = apply(member, &knobs, now);
    if more && flight.items.len() < FETCH_ENTRIES {
        return Some(now);
    }
    let next_item = flight.items.front().filter(|_| !knobs.paused).map(|(due, _)| *due);
    next_apply.into_iter().chain(next_item).min()
}

/// Sends new entries on their way; tells whether the leader has more than fit.
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
        // What travels over a cut link is lost, and so is the connection: match again.
        flight.reset(Some(key));
        return false;
    }
    if !leader.is_alive() || leader.is_frozen() {
        return false;
    }
    if flight.items.len() >= FETCH_ENTRIES {
        return true;
    }
    let (own, leading) = lock_both(member, leader);
    // Guards against a superseded primary that still pushes: entries are taken only from a
    // member whose accepted term is the follower's own.
    if !leading.ships(key.term) {
        return false;
    }
    let sent = match flight.sent {
        Some(sent) => sent,
        None => {
            let shared = own.log.shared_with(&leading.log);
            if shared < own.log.len() {
                flight.push(now + knobs.link_delay, FlightItem::Truncate(shared));
            }
            flight.last_due = Some(now + knobs.link_delay);
            shared
        }
    };
    let mut previous = leading.log.stamp_at(sent);
    let entries = leading.log.entries_after(sent, FETCH_ENTRIES);
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

/// Locks two members' states in the order of their names, so that two followers of each other
/// cannot wait for each other for good.
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
    // Guards against entries that were on their way when the member accepted a greater term:
    // its report was given under the new term and must not change by an older primary's hand.
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
    while let Some(received) = state.log.next_waiting() {
        let due = received + knobs.apply_lag;
        if due > now {
            return Some(due);
        }
        state.log.apply_next();
    }
    None
}
