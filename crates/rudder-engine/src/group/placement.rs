//! At which member a read is tried first.

use super::acquire::PoolChoice;
use super::member::GroupMember;
use super::service::ServiceGroup;
use rudder_core::LogStamp;
use rudder_decisions::{NodePlace, ReadStanding};
use std::sync::Arc;
use std::time::Duration;

/// What placing a read depends on.
#[derive(Clone, Debug)]
pub(crate) struct PlacementContext {
    /// Where this instance is.
    pub(crate) own: NodePlace,
    /// What the member's log must hold.
    pub(crate) floor: LogStamp,
    /// How long ago the primary reached that.
    pub(crate) floor_age: Duration,
}

/// The members that may serve a read, the best first; equal ones by name.
pub(crate) fn order_members(
    members: &[Arc<GroupMember>],
    context: &PlacementContext,
) -> Vec<Arc<GroupMember>> {
    let mut usable: Vec<_> =
        members.iter().filter(|member| member.serves_reads()).cloned().collect();
    usable.sort_by_cached_key(|member| (standing(member, context), member.name().clone()));
    usable
}

fn standing(member: &GroupMember, context: &PlacementContext) -> ReadStanding {
    ReadStanding {
        unreachable: member.pool().is_unreachable(),
        behind: member.lacks(context.floor, context.floor_age),
        doubtful: member.is_deprioritized(),
        full: member.pool().spare_connections() == 0,
        distance: context.own.distance(&member.place()),
    }
}

/// The connections that a read waits for, in the order of `members`: those of the members that are
/// expected to serve it, or of all if there is none.
pub(crate) fn read_choices(
    group: &ServiceGroup,
    members: &[Arc<GroupMember>],
    context: &PlacementContext,
) -> Vec<PoolChoice> {
    let primary =
        group.with_leases(|leases| leases.record().and_then(|record| record.primary().cloned()));
    let sound = members.iter().take_while(|member| standing(member, context).is_sound()).count();
    let usable = if sound == 0 { members.len() } else { sound };
    let choice = |member: &Arc<GroupMember>| PoolChoice {
        pool: Arc::clone(member.pool()),
        kept_free: u32::from(usable > 1 && primary.as_ref() == Some(member.name())),
    };
    members[..usable].iter().map(choice).collect()
}
