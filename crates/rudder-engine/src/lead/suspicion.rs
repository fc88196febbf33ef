//! Whether a change of primary is due, and whose turn it is to carry it out.

use super::lease_table::LeaseTable;
use super::record::{LeadPhase, LeaderEpoch};
use rudder_core::{DomainName, InstanceName, MemberName, plain_data};
use std::time::Duration;

/// How long an unfinished change of another instance is left alone. Longer than that one may still
/// order a promotion (2.6 s) and the order may take, so that two never work at once.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(3500);

/// How long the primary must be gone from the list before that alone is a reason. Entries that
/// expired in an outage of the store are back within two seconds of its return.
const ABSENT_TIMEOUT: Duration = Duration::from_millis(2600);

/// How long two members must contradict the record in what they say of their own roles.
const ROLE_CONFLICT_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long the own watch must have failed. Above a dropped packet's resend (0.2 s), so that one
/// lost packet raises no doubt.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause before the next in line acts: several round trips and a write to the store.
const RANK_DELAY: Duration = Duration::from_millis(300);

plain_data! {
    /// What one live instance says about the present primary.
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
    /// What is known of a group's primary.
    pub(crate) struct GroupSigns {
        /// Since when the own watch has failed.
        pub(crate) silent_since: Option<Duration>,
        /// Since when the primary has been missing from a list that is known to be current.
        pub(crate) absent_since: Option<Duration>,
        /// Since when another member has said that it leads.
        pub(crate) usurped_since: Option<Duration>,
        /// Whether the primary is leaving.
        pub(crate) draining: bool,
        /// Whether another member could take over.
        pub(crate) replaceable: bool,
        /// Whether the process that began the change under way is known to have ended.
        pub(crate) holder_ended: bool,
    }
}

/// Why the primary is to be changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeCause {
    /// It is leaving.
    Leaving,
    /// Most instances cannot reach it.
    Unreachable,
    /// It is gone from the list.
    Absent,
    /// Another member says that it leads.
    RoleConflict,
    /// Another instance's change was not finished.
    Unfinished,
}

impl ChangeCause {
    /// The fixed word in logs.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Absent => "absent",
            Self::RoleConflict => "usurped",
            Self::Unfinished => "unfinished",
        }
    }
}

/// Whether `instance` should change the primary now, and why.
pub(crate) fn judge_change(
    leases: &LeaseTable,
    signs: &GroupSigns,
    instance: &InstanceName,
    votes: &[PeerVote],
    now: Duration,
) -> Option<ChangeCause> {
    let (cause, due_at) = change_due(leases, signs, votes, now)?;
    let rank = rank_of(instance, leases.epoch(), votes, cause);
    (now >= due_at + RANK_DELAY * rank).then_some(cause)
}

fn change_due(
    leases: &LeaseTable,
    signs: &GroupSigns,
    votes: &[PeerVote],
    now: Duration,
) -> Option<(ChangeCause, Duration)> {
    let record = leases.record()?;
    if let LeadPhase::Changing { .. } = record.phase {
        // A process that ended orders no promotion any more.
        let timeout = if signs.holder_ended { Duration::ZERO } else { CHANGE_TIMEOUT };
        let due_at = leases.seen_at() + timeout;
        return (now >= due_at).then_some((ChangeCause::Unfinished, due_at));
    }
    if !signs.replaceable {
        return None;
    }
    if signs.draining {
        return Some((ChangeCause::Leaving, leases.seen_at()));
    }
    let due_after = |since: Option<Duration>, timeout: Duration| {
        since.map(|since| since + timeout).filter(|due_at| now >= *due_at)
    };
    if let Some(due_at) = due_after(signs.silent_since, UNREACHABLE_TIMEOUT)
        && suspected_by_majority(votes)
    {
        return Some((ChangeCause::Unreachable, due_at));
    }
    if let Some(due_at) = due_after(signs.usurped_since, ROLE_CONFLICT_TIMEOUT) {
        return Some((ChangeCause::RoleConflict, due_at));
    }
    due_after(signs.absent_since, ABSENT_TIMEOUT).map(|due_at| (ChangeCause::Absent, due_at))
}

/// Whether more than half of the live instances cannot reach the primary, from two failure
/// domains if there are as many.
///
/// Guards against a primary that is replaced because one instance's, or one domain's, link to it
/// is cut: all others still serve with it.
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

/// The place of an instance in the order in which instances try; it differs between versions, so
/// that no instance is first for ever.
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

/// The same on every instance, so that all agree on the order without a word.
fn rank_hash(name: &str, epoch: LeaderEpoch) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), epoch.0)
}

/// The members that could take over, the most advanced log first.
pub(crate) fn order_candidates(
    mut reports: Vec<(MemberName, rudder_core::LogStamp)>,
) -> Vec<(MemberName, rudder_core::LogStamp)> {
    reports.sort_by(|left, right| right.1.cmp(&left.1).then_with(|| left.0.cmp(&right.0)));
    reports
}
