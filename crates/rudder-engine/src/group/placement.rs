//! At which member a read is tried first.

use super::member::GroupMember;
use rudder_core::{DomainName, LogStamp};
use std::sync::Arc;

/// What placing a read depends on.
#[derive(Clone, Debug)]
pub(crate) struct ReadPlace {
    /// The failure domain of this instance.
    pub(crate) domain: DomainName,
    /// The region of this instance.
    pub(crate) region: String,
    /// What the member's log must hold.
    pub(crate) floor: Option<LogStamp>,
}

/// The members that may serve a read, the best first.
///
/// Members that are known to have reached the floor, can be reached and have a connection free go
/// first; among those, near before far, since what crosses domains costs most and takes longest.
/// The rest follows in the same order: knowledge of a replica's position is old by nature.
pub(crate) fn order_members(
    members: &[Arc<GroupMember>],
    place: &ReadPlace,
) -> Vec<Arc<GroupMember>> {
    let mut usable: Vec<_> =
        members.iter().filter(|member| member.serves_reads()).cloned().collect();
    usable.sort_by_key(|member| {
        let unreachable = member.pool().is_down();
        let behind = place.floor.is_some_and(|floor| member.lacks(floor));
        let full = member.pool().spare() == 0;
        let distance = if member.domain() == &place.domain {
            0
        } else if member.region() == place.region {
            1
        } else {
            2
        };
        (unreachable, behind, member.is_doubtful(), full, distance, member.name().clone())
    });
    usable
}
