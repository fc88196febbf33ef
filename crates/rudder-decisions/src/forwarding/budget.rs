//! Number of connections that an instance holds to a member.

use super::rank::{HolderCandidate, nearest};
use crate::connection_share::RESERVED_CONNECTIONS;
use crate::place::NodePlace;
use rudder_core::{InstanceName, MemberName};

/// Connections of one instance to one member while statements are forwarded to holders.
///
/// The instances nearest to the member keep half of the connections that it accepts, less those
/// reserved. The other half stays free for a fleet that starts while the member still counts the
/// dead connections of the fleet before it (3 s), and for instances that cannot reach a holder.
///
/// ```
/// use rudder_decisions::{HolderBudget, HolderCandidate, InstanceCapacity, NodePlace};
/// let place = |name: &str| -> Result<NodePlace, rudder_core::ParseError> {
///     Ok(NodePlace { domain: name.parse()?, region: name.to_owned() })
/// };
/// let candidate = |name: &str, domain| -> Result<_, rudder_core::ParseError> {
///     let capacity = InstanceCapacity(250);
///     Ok(HolderCandidate { instance: name.parse()?, place: place(domain)?, capacity })
/// };
/// let all = [candidate("entry-1", "kigali")?, candidate("entry-2", "nairobi")?];
/// let member = "db-1".parse()?;
/// let near = HolderBudget::of(70, &member, &all[0].instance, &all, &place("kigali")?);
/// assert_eq!(near, HolderBudget { kept: 33, open_max: 33 });
/// let far = HolderBudget::of(70, &member, &all[1].instance, &all, &place("kigali")?);
/// assert_eq!(far, HolderBudget { kept: 0, open_max: 33 });
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderBudget {
    /// Idle connections that the instance keeps for seconds; none if it is no holder.
    pub kept: u32,
    /// Connections that it may open: the kept ones, or if it is no holder, its part of the free
    /// half, for statements that no holder can serve; at least one.
    pub open_max: u32,
}

impl HolderBudget {
    /// Returns the budget of `own` for `member`, which accepts `connections_max` connections from
    /// all `candidates`, including this instance.
    ///
    /// The parts are equal, and the remainder goes to the first in a rendezvous order over the
    /// member, weighted by capacity. If a half has fewer connections than instances, each of these
    /// has one; so many of the nearest keep theirs as the member accepts.
    ///
    /// See the example of [`HolderBudget`].
    #[must_use]
    pub fn of(
        connections_max: u32,
        member: &MemberName,
        own: &InstanceName,
        candidates: &[HolderCandidate],
        member_place: &NodePlace,
    ) -> Self {
        let free = connections_max.saturating_sub(RESERVED_CONNECTIONS);
        let half = free / 2;
        let near = nearest(member, candidates, member_place);
        let holders = count(near.len());
        let Some(rank) = near.iter().position(|candidate| candidate.instance == *own) else {
            let others = count(candidates.len()).saturating_sub(holders).max(1);
            return Self { kept: 0, open_max: ((free - half) / others).max(1) };
        };
        let kept = kept_of(rank, &near, half, free);
        Self { kept, open_max: kept.max(1) }
    }
}

/// Returns the number of connections that the holder of this rank keeps: one, and its part of the
/// rest by capacity, as its number of accounts is proportional to it. What rounding leaves goes to
/// the first holders.
fn kept_of(rank: usize, near: &[&HolderCandidate], half: u32, free: u32) -> u32 {
    let holders = count(near.len());
    let Some(rest) = half.checked_sub(holders) else {
        return u32::from(count(rank) < free);
    };
    let weight = |candidate: &HolderCandidate| u64::from(candidate.capacity.0.max(1));
    let total: u64 = near.iter().map(|candidate| weight(candidate)).sum();
    let part = |candidate: &HolderCandidate| u64::from(rest) * weight(candidate) / total;
    let left = u64::from(rest) - near.iter().map(|candidate| part(candidate)).sum::<u64>();
    let own = part(near[rank]) + u64::from((rank as u64) < left);
    1 + u32::try_from(own).unwrap_or(rest)
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
