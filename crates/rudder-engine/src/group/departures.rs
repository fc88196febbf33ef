//! Processes of members that have left a group, and may hold acknowledged commits.

use super::member::{MemberEntry, MemberState};
use crate::lead::{CommitHolder, DepartedReplica, PositionHistory};
use rudder_core::MemberName;
use std::time::Duration;

/// Number of consecutive probes without a response after which a process counts as ended.
const FAILED_PROBES: u32 = 2;

/// Time for which a process that counts as ended is probed further. A member that crashed and is
/// back with its log receives commits before it is in the membership again.
const PROBE_TIME: Duration = Duration::from_secs(60);

/// Time since the last response for which a change of primary still requests the status of a process
/// that counts as ended. The timeout of a request delays the change.
const REQUEST_TIME: Duration = Duration::from_secs(2);

/// Process that is no longer in the membership.
struct DepartedMember {
    holder: CommitHolder,
    /// Whether it was draining, so that a new member at its address has its log.
    is_draining: bool,
    /// Whether a later process of the member is in the membership.
    is_restarted: bool,
    failed_probes: u32,
    /// Time since when the process is known to have ended.
    ended_at: Option<Duration>,
    /// Whether enough other replicas hold all commits that it may hold.
    is_released: bool,
}

impl DepartedMember {
    fn new(holder: CommitHolder, is_draining: bool) -> Self {
        Self {
            holder,
            is_draining,
            is_restarted: false,
            failed_probes: 0,
            ended_at: None,
            is_released: false,
        }
    }

    fn ended_before(&self, time: Duration) -> bool {
        self.ended_at.is_some_and(|ended_at| ended_at <= time)
    }
}

/// Processes that have left a group, whose logs may hold commits that no remaining member has.
#[derive(Default)]
pub(super) struct DepartureLog {
    departed: Vec<DepartedMember>,
    /// Draining members whose logs were passed to others.
    succeeded: Vec<CommitHolder>,
}

impl DepartureLog {
    /// Records which of the `known` members are not among the present `entries`. One that started
    /// again has lost its log; one that was draining has passed it to a new member at its address.
    pub(super) fn record(
        &mut self,
        known: impl Iterator<Item = MemberEntry>,
        entries: &[MemberEntry],
        now: Duration,
    ) {
        for entry in known {
            let is_draining = entry.state == MemberState::Draining;
            match self.find(&holder_of(&entry)) {
                Some(departed) => departed.is_draining |= is_draining,
                None => {
                    self.departed.push(DepartedMember::new(holder_of(&entry), is_draining));
                }
            }
        }
        self.retain_departed(entries, now);
    }

    /// Adds processes of which the record in the store tells, unless they are among `entries`. Those
    /// that are `released` have ended, as far as is known.
    pub(super) fn adopt(
        &mut self,
        holders: &[CommitHolder],
        released: &[CommitHolder],
        entries: &[MemberEntry],
        now: Duration,
    ) {
        let adopted = holders.iter().map(|holder| (holder, None));
        let adopted = adopted.chain(released.iter().map(|holder| (holder, Some(now))));
        for (holder, ended_at) in adopted {
            if !self.succeeded.contains(holder) && self.find(holder).is_none() {
                let is_released = ended_at.is_some();
                let left = DepartedMember::new(holder.clone(), false);
                self.departed.push(DepartedMember { ended_at, is_released, ..left });
            }
        }
        self.retain_departed(entries, now);
    }

    fn retain_departed(&mut self, entries: &[MemberEntry], now: Duration) {
        let is_listed = |holder: &CommitHolder| {
            entries.iter().any(|entry| {
                entry.target.member == holder.member && entry.started_at_ms == holder.started_at_ms
            })
        };
        self.departed.retain(|left| !is_listed(&left.holder));
        self.succeeded.retain(|holder| !is_listed(holder));
        for left in &mut self.departed {
            let is_restarted =
                entries.iter().any(|entry| entry.target.member == left.holder.member);
            if is_restarted && !std::mem::replace(&mut left.is_restarted, true) {
                left.ended_at.get_or_insert(now);
            }
        }
        let has_successor = |left: &mut DepartedMember| {
            let address = left.holder.address;
            left.is_draining && entries.iter().any(|entry| entry.target.address == address)
        };
        let succeeded = self.departed.extract_if(.., has_successor);
        self.succeeded.extend(succeeded.map(|left| left.holder));
    }

    /// Records whether a process responded to a probe.
    pub(super) fn record_probe(&mut self, holder: &CommitHolder, responds: bool, now: Duration) {
        let Some(left) = self.find(holder) else { return };
        if responds {
            left.failed_probes = 0;
            left.ended_at = None;
            left.is_released = false;
            return;
        }
        left.failed_probes += 1;
        if left.failed_probes >= FAILED_PROBES {
            left.ended_at.get_or_insert(now);
        }
    }

    /// Records that other replicas hold all that a process may hold.
    pub(super) fn release(&mut self, holder: &CommitHolder) {
        if let Some(left) = self.find(holder) {
            left.is_released = true;
        }
    }

    /// Removes released processes that are not probed any more.
    pub(super) fn forget_old(&mut self, now: Duration) {
        self.departed.retain(|left| !(left.is_released && left.ended_before(probe_start(now))));
    }

    /// Returns the processes to probe.
    pub(super) fn to_probe(&self, now: Duration) -> Vec<CommitHolder> {
        let due =
            |left: &&DepartedMember| !left.is_restarted && !left.ended_before(probe_start(now));
        self.departed.iter().filter(due).map(|left| left.holder.clone()).collect()
    }

    /// Returns the processes that have ended and may hold commits that no other replica has, each
    /// with the time of its end.
    pub(super) fn ended(&self) -> Vec<(CommitHolder, Duration)> {
        let unreleased = self.departed.iter().filter(|left| !left.is_released);
        unreleased.filter_map(|left| Some((left.holder.clone(), left.ended_at?))).collect()
    }

    /// Returns the processes whose status a change of primary requests.
    pub(super) fn to_request(&self, now: Duration) -> Vec<CommitHolder> {
        let recent = now.saturating_sub(REQUEST_TIME);
        let due = |left: &&DepartedMember| !left.is_restarted && !left.ended_before(recent);
        self.departed.iter().filter(due).map(|left| left.holder.clone()).collect()
    }

    /// Returns the processes that may hold commits that no other replica has.
    pub(super) fn holders(&self) -> impl Iterator<Item = &CommitHolder> {
        self.departed.iter().filter(|left| !left.is_released).map(|left| &left.holder)
    }

    /// Returns the released processes that are still probed.
    pub(super) fn released(&self) -> impl Iterator<Item = &CommitHolder> {
        self.departed.iter().filter(|left| left.is_released).map(|left| &left.holder)
    }

    /// Returns the departed members other than the previous primary, each with what is known of
    /// the primary's position since.
    pub(super) fn replicas(
        &self,
        previous: Option<&MemberName>,
        history: &PositionHistory,
    ) -> Vec<DepartedReplica> {
        let unreleased = self.departed.iter().filter(|left| !left.is_released);
        let departed = unreleased.map(|left| DepartedReplica {
            holder: left.holder.clone(),
            may_run: !left.is_restarted,
            later_position: left
                .ended_at
                .and_then(|ended_at| history.first_since(ended_at))
                .map(|sample| sample.stamp),
        });
        departed.filter(|left| Some(&left.holder.member) != previous).collect()
    }

    /// Removes all processes: the record in the store tells of those that matter.
    pub(super) fn clear(&mut self) {
        self.departed.clear();
    }

    fn find(&mut self, holder: &CommitHolder) -> Option<&mut DepartedMember> {
        self.departed.iter_mut().find(|left| left.holder == *holder)
    }
}

fn probe_start(now: Duration) -> Duration {
    now.saturating_sub(PROBE_TIME)
}

/// Returns the process of an entry.
pub(super) fn holder_of(entry: &MemberEntry) -> CommitHolder {
    CommitHolder {
        member: entry.target.member.clone(),
        started_at_ms: entry.started_at_ms,
        address: entry.target.address,
    }
}
