//! Decides whether a change of primary is due, and which instance carries it out.

use super::lease_table::LeaseTable;
use super::record::{LeadPhase, LeaderEpoch, MemberOrder};
use rudder_core::{DomainName, InstanceName, LogStamp, MemberName, plain_data};
use std::time::Duration;

/// Time during which another instance's unfinished change is not taken over. Longer than the time
/// in which that instance may still send an order (2.6 s); orders that were sent are part of the
/// record.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(3500);

/// Time for which the primary must be missing from the list before that alone causes a change.
/// Entries that expired during a store outage reappear within two seconds of its end.
const ABSENT_TIMEOUT: Duration = Duration::from_millis(2600);

/// Time for which the roles that two members report must contradict the record.
const ROLE_CONFLICT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which this instance's own probes of the primary must fail. Longer than the
/// retransmission of a dropped packet takes (0.2 s), so that one lost packet causes no suspicion.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before the instance of the next rank acts: several round trips and a write to the store.
const RANK_DELAY: Duration = Duration::from_millis(300);

plain_data! {
    /// Vote of one live instance on the current primary.
    pub(crate) struct PeerVote {
        /// The instance.
        pub(crate) instance: InstanceName,
        /// Its failure domain.
        pub(crate) domain: DomainName,
        /// Whether it cannot reach the primary.
        pub(crate) suspects: bool,
    }
}

plain_data! {
    /// Observations of a group's primary.
    pub(crate) struct PrimaryHealth {
        /// Time since when this instance's own probes of the primary have failed.
        pub(crate) unreachable_since: Option<Duration>,
        /// Time since when the primary has been missing from a list that is known to be current.
        pub(crate) absent_since: Option<Duration>,
        /// Time since when another member has reported that it is the primary.
        pub(crate) conflict_since: Option<Duration>,
        /// Whether the primary is draining.
        pub(crate) draining: bool,
        /// Whether another member could take over.
        pub(crate) replaceable: bool,
        /// Whether the process that began the change in progress is known to have ended.
        pub(crate) holder_ended: bool,
    }
}

/// Reason for a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeCause {
    /// The primary is draining.
    Leaving,
    /// A majority of instances cannot reach the primary.
    Unreachable,
    /// The primary is missing from the list of members.
    Absent,
    /// Another member reports that it is the primary.
    RoleConflict,
    /// Another instance's change was not finished.
    Unfinished,
}

impl ChangeCause {
    /// Returns the label used in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Absent => "absent",
            Self::RoleConflict => "usurped",
            Self::Unfinished => "unfinished",
        }
    }
}

/// Returns the reason for which `instance` should change the primary now, if there is one.
pub(crate) fn decide_change(
    leases: &LeaseTable,
    health: &PrimaryHealth,
    instance: &InstanceName,
    votes: &[PeerVote],
    now: Duration,
) -> Option<ChangeCause> {
    let (cause, due_at) = change_due(leases, health, votes, now)?;
    let rank = rank_of(instance, leases.epoch(), votes, cause);
    (now >= due_at + RANK_DELAY * rank).then_some(cause)
}

fn change_due(
    leases: &LeaseTable,
    health: &PrimaryHealth,
    votes: &[PeerVote],
    now: Duration,
) -> Option<(ChangeCause, Duration)> {
    let record = leases.record()?;
    if let LeadPhase::Changing { .. } = record.phase {
        // A process that has ended sends no further orders.
        let timeout = if health.holder_ended { Duration::ZERO } else { CHANGE_TIMEOUT };
        let due_at = leases.seen_at() + timeout;
        return (now >= due_at).then_some((ChangeCause::Unfinished, due_at));
    }
    if !health.replaceable {
        return None;
    }
    if health.draining {
        return Some((ChangeCause::Leaving, leases.seen_at()));
    }
    let due_after = |since: Option<Duration>, timeout: Duration| {
        since.map(|since| since + timeout).filter(|due_at| now >= *due_at)
    };
    if let Some(due_at) = due_after(health.unreachable_since, UNREACHABLE_TIMEOUT)
        && suspected_by_majority(votes)
    {
        return Some((ChangeCause::Unreachable, due_at));
    }
    if let Some(due_at) = due_after(health.conflict_since, ROLE_CONFLICT_TIMEOUT) {
        return Some((ChangeCause::RoleConflict, due_at));
    }
    due_after(health.absent_since, ABSENT_TIMEOUT).map(|due_at| (ChangeCause::Absent, due_at))
}

/// Returns whether more than half of the live instances cannot reach the primary, from two failure
/// domains if there are as many.
///
/// A primary must not be replaced because only one instance's or one domain's link to it is cut, as
/// all others can still reach it.
fn suspected_by_majority(votes: &[PeerVote]) -> bool {
    let count = votes.iter().filter(|vote| vote.suspects).count();
    let domains_all = domains_of(votes.iter());
    let domains_suspecting = domains_of(votes.iter().filter(|vote| vote.suspects));
    votes.len() > 1 && count * 2 > votes.len() && domains_suspecting >= domains_all.min(2)
}

fn domains_of<'a>(votes: impl Iterator<Item = &'a PeerVote>) -> usize {
    let mut domains: Vec<&DomainName> = votes.map(|vote| &vote.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.len()
}

/// Returns the rank of an instance in the order in which instances attempt the change. It differs
/// between versions, so that no instance is always first.
fn rank_of(
    instance: &InstanceName,
    epoch: LeaderEpoch,
    votes: &[PeerVote],
    cause: ChangeCause,
) -> u32 {
    let hash = |name: &InstanceName| rank_hash(name.as_str(), epoch);
    let own = hash(instance);
    let ahead = votes.iter().filter(|vote| {
        let acts = cause != ChangeCause::Unreachable || vote.suspects;
        acts && hash(&vote.instance) < own
    });
    u32::try_from(ahead.count()).unwrap_or(u32::MAX)
}

/// Hash that is the same on every instance, so that all agree on the order without communication.
fn rank_hash(name: &str, epoch: LeaderEpoch) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), epoch.0)
}

/// Sorts the members that could take over: the one that was ordered last and may be promoted yet, then
/// the most advanced log first.
///
/// Ordering the same member again lets a change that is taken over end as soon as that order takes
/// effect. With another member it would have to wait until the order no longer can.
pub(crate) fn order_candidates(
    mut reports: Vec<(MemberName, LogStamp)>,
    orders: &[MemberOrder],
) -> Vec<(MemberName, LogStamp)> {
    let last = orders.iter().max_by_key(|order| order.epoch);
    let is_last = |name: &MemberName| last.is_some_and(|order| order.member == *name);
    reports.sort_by(|left, right| {
        let ordered = is_last(&right.0).cmp(&is_last(&left.0));
        ordered.then_with(|| right.1.cmp(&left.1)).then_with(|| left.0.cmp(&right.0))
    });
    reports
}
