//! At which member a read is tried first.

use super::member::GroupMember;
use rudder_core::LogStamp;
use rudder_decisions::{ReadStanding, SeatPlace};
use std::sync::Arc;

/// What placing a read depends on.
#[derive(Clone, Debug)]
pub(crate) struct ReadPlace {
    /// Where this instance is.
    pub(crate) own: SeatPlace,
    /// What the member's log must hold.
    pub(crate) floor: Option<LogStamp>,
}

/// The members that may serve a read, the best first; equal ones by name.
pub(crate) fn order_members(
    members: &[Arc<GroupMember>],
    place: &ReadPlace,
) -> Vec<Arc<GroupMember>> {
    let mut usable: Vec<_> =
        members.iter().filter(|member| member.serves_reads()).cloned().collect();
    usable.sort_by_cached_key(|member| (standing(member, place), member.name().clone()));
    usable
}

fn standing(member: &GroupMember, place: &ReadPlace) -> ReadStanding {
    ReadStanding {
        unreachable: member.pool().is_down(),
        behind: place.floor.is_some_and(|floor| member.lacks(floor)),
        doubtful: member.is_doubtful(),
        full: member.pool().spare() == 0,
        distance: place.own.distance(&member.place()),
    }
}
