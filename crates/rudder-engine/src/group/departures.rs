//! Members that have left a group since its primary took over.

use super::member::{MemberEntry, MemberState};
use crate::lead::{DepartedReplica, PositionHistory};
use rudder_core::MemberName;
use std::time::Duration;

/// Member that is no longer in the membership.
struct DepartedMember {
    entry: MemberEntry,
    at: Duration,
}

/// Members that have left a group, whose logs may hold commits that no remaining member has.
#[derive(Default)]
pub(super) struct DepartureLog {
    departed: Vec<DepartedMember>,
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
        let is_kept = |left: &MemberEntry| {
            entries.iter().any(|entry| {
                entry.target.member == left.target.member
                    && entry.started_at_ms == left.started_at_ms
            })
        };
        let is_succeeded = |left: &MemberEntry| {
            left.state == MemberState::Draining
                && entries.iter().any(|entry| entry.target.address == left.target.address)
        };
        self.departed.extend(known.map(|entry| DepartedMember { entry, at: now }));
        self.departed.retain(|left| !is_kept(&left.entry) && !is_succeeded(&left.entry));
    }

    /// Returns the departed members other than the previous primary, each with what is known of
    /// the primary's position since.
    pub(super) fn replicas(
        &self,
        previous: Option<&MemberName>,
        history: &PositionHistory,
    ) -> Vec<DepartedReplica> {
        let departed = self.departed.iter().map(|left| DepartedReplica {
            member: left.entry.target.member.clone(),
            later_position: history.first_since(left.at).map(|sample| sample.stamp),
        });
        departed.filter(|left| Some(&left.member) != previous).collect()
    }

    /// Removes all members: a new primary holds every commit that they may have held.
    pub(super) fn clear(&mut self) {
        self.departed.clear();
    }
}
