//! Last known state of the store: the member list with its version, and when members and settings
//! were last confirmed as current.

use crate::group::MemberEntry;
use crate::peers::{CopiedList, ListDigest, ListHistory};
use rudder_core::MemberName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a peer counts as responding; longer than the pause between two requests.
const PEER_RESPONSE_WINDOW: Duration = Duration::from_millis(1500);

/// Version of a member list. Ordered by the store's revision, then by the number of local changes
/// to the list of that revision: members that are missing in the store are removed from the list
/// only after a grace period.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct MembersVersion {
    revision: u64,
    local_change: u32,
}

/// State of the store as known to this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreSnapshot {
    members: Vec<MemberEntry>,
    /// Recent versions of the list.
    history: ListHistory<MemberEntry>,
    version: MembersVersion,
    /// Latest time at which the member list is known to have been current.
    members_at: Option<Duration>,
    /// Latest time at which the settings are known to have been current.
    settings_at: Option<Duration>,
    /// Latest time at which both were current according to a peer.
    confirmed_by_peer_at: Option<Duration>,
    /// Time of the last response of a peer that provides this instance with state.
    peer_responded_at: Option<Duration>,
}

impl StoreSnapshot {
    /// Applies the members that the store has at `revision`. Returns whether they differ.
    pub(crate) fn apply_members(&mut self, members: &[MemberEntry], revision: u64) -> bool {
        if self.members == members {
            return false;
        }
        self.replace_members(members);
        self.version = if revision > self.version.revision {
            MembersVersion { revision, local_change: 0 }
        } else {
            MembersVersion { local_change: self.version.local_change + 1, ..self.version }
        };
        true
    }

    /// Returns whether no members are known yet.
    pub(crate) fn is_blank(&self) -> bool {
        self.version == MembersVersion::default() && self.members.is_empty()
    }

    /// Applies the members that a peer knows, unless the known ones are as new. Returns whether
    /// they differ.
    ///
    /// A peer that the store does not respond to has an old list, which must not restore removed
    /// members.
    pub(crate) fn apply_copy(&mut self, members: &[MemberEntry], version: MembersVersion) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        let differs = self.members != members;
        self.replace_members(members);
        differs
    }

    fn replace_members(&mut self, members: &[MemberEntry]) {
        self.members = members.to_vec();
        self.members.sort_by(|left, right| left.target.member.cmp(&right.target.member));
        self.history.record(&self.members);
    }

    /// Returns the member list for an instance that knows the list of `base`.
    pub(crate) fn copy_members(&self, base: ListDigest) -> CopiedList<MemberEntry, MemberName> {
        self.history.copy_for(base)
    }

    /// Returns the digest of the member list.
    pub(crate) fn members_digest(&self) -> ListDigest {
        self.history.digest()
    }

    /// Records that the member list is current at `now`.
    pub(crate) fn confirm_members(&mut self, now: Duration) {
        self.members_at = self.members_at.max(Some(now));
    }

    /// Records that the settings in force are current at `now`.
    pub(crate) fn confirm_settings(&mut self, now: Duration) {
        self.settings_at = self.settings_at.max(Some(now));
    }

    /// Records a peer's confirmation that the members and settings known here were current at
    /// `confirmed_at`.
    pub(crate) fn confirm_by_peer(&mut self, confirmed_at: Duration) {
        self.confirm_members(confirmed_at);
        self.confirm_settings(confirmed_at);
        self.confirmed_by_peer_at = self.confirmed_by_peer_at.max(Some(confirmed_at));
    }

    /// Records that a peer responded, whatever state it has.
    pub(crate) fn record_peer_response(&mut self, now: Duration) {
        self.peer_responded_at = Some(now);
    }

    /// Returns whether peers confirmed both as current less than `timeout` ago, or less than
    /// `extended_timeout` ago if they still respond.
    pub(crate) fn is_confirmed_by_peers(
        &self,
        timeout: Duration,
        extended_timeout: Duration,
        now: Duration,
    ) -> bool {
        let peer_responds =
            self.peer_responded_at.is_some_and(|at| now < at + PEER_RESPONSE_WINDOW);
        let timeout = if peer_responds { extended_timeout } else { timeout };
        self.confirmed_by_peer_at.is_some_and(|at| now < at + timeout)
    }

    /// Returns the members and their version.
    pub(crate) fn members(&self) -> (&[MemberEntry], MembersVersion) {
        (&self.members, self.version)
    }

    /// Returns when the member list was last known to be current.
    pub(crate) fn members_at(&self) -> Option<Duration> {
        self.members_at
    }

    /// Returns when the settings in force were last known to be current.
    pub(crate) fn settings_at(&self) -> Option<Duration> {
        self.settings_at
    }

    /// Returns when members and settings were both last known to be current.
    pub(crate) fn confirmed_at(&self) -> Option<Duration> {
        self.members_at.zip(self.settings_at).map(|(members, settings)| members.min(settings))
    }
}

#[cfg(test)]
mod tests;
