//! The order in which members are tried for a read.

use super::acquire::PoolChoice;
use super::member::GroupMember;
use super::service::ServiceGroup;
use rudder_core::LogStamp;
use rudder_decisions::{NodePlace, PlaceDistance, ReadRank};
use std::sync::Arc;
use std::time::Duration;

/// Inputs for the placement of a read.
#[derive(Clone, Debug)]
pub(crate) struct PlacementContext {
    /// Location of this instance.
    pub(crate) own: NodePlace,
    /// Position that the member must have applied.
    pub(crate) floor: LogStamp,
    /// Time since the primary reached `floor`.
    pub(crate) floor_age: Duration,
}

/// Returns the members that may serve a read, the best first and equal ones by name.
pub(crate) fn order_members(
    members: &[Arc<GroupMember>],
    context: &PlacementContext,
) -> Vec<Arc<GroupMember>> {
    let mut usable: Vec<_> =
        members.iter().filter(|member| member.serves_reads()).cloned().collect();
    usable.sort_by_cached_key(|member| (read_rank(member, context), member.name().clone()));
    usable
}

/// Returns the member that would be tried first if all had free connections.
pub(crate) fn nearest_usable(
    members: &[Arc<GroupMember>],
    context: &PlacementContext,
) -> Option<Arc<GroupMember>> {
    let usable = members.iter().filter(|member| member.serves_reads());
    let rank = |member: &&Arc<GroupMember>| {
        let rank = ReadRank { no_free_connection: false, ..read_rank(member, context) };
        (rank, member.name().clone())
    };
    usable.min_by_key(rank).cloned()
}

fn read_rank(member: &GroupMember, context: &PlacementContext) -> ReadRank {
    let distance = context.own.distance(&member.place());
    let load = member.pool().shared_load();
    let is_refusing = load.is_some_and(|load| load.is_refusing);
    ReadRank {
        unreachable: member.pool().is_unreachable(),
        lagging: member.lacks(context.floor, context.floor_age),
        recently_failed: member.is_deprioritized(),
        no_free_connection: is_refusing || member.pool().spare_connections() == 0,
        in_other_region: load.is_some() && distance == PlaceDistance::Elsewhere,
        in_flight: load.map_or(0, |load| load.in_flight),
        distance,
    }
}

/// Returns the pools that a read waits for, in the order of `members`: those of the members
/// expected to serve it, or all if there are none. One connection to the primary is kept free if
/// another member can serve the read.
pub(crate) fn read_choices(
    group: &ServiceGroup,
    members: &[Arc<GroupMember>],
    context: &PlacementContext,
) -> Vec<PoolChoice> {
    let primary =
        group.with_leases(|leases| leases.record().and_then(|record| record.primary().cloned()));
    let expected =
        members.iter().take_while(|member| read_rank(member, context).is_eligible()).count();
    let usable = if expected == 0 { members.len() } else { expected };
    let choice = |member: &Arc<GroupMember>| PoolChoice {
        pool: Arc::clone(member.pool()),
        kept_free: u32::from(usable > 1 && primary.as_ref() == Some(member.name())),
    };
    members[..usable].iter().map(choice).collect()
}
