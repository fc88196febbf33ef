//! What the store last said of members, in which version, and when it last said that all is current.

use crate::group::MemberEntry;
use crate::peers::{CopiedList, ListDigest, ListHistory};
use rudder_core::MemberName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a peer counts as one that answers; longer than the pause between two questions.
const PEER_RESPONSE_WINDOW: Duration = Duration::from_millis(1500);

/// Orders lists of members: by the store's revision, then by the changes that this instance's
/// patience with missing entries made to the list of one revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct MembersVersion {
    revision: u64,
    local_change: u32,
}

/// The store's word, as far as this instance has it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreSnapshot {
    members: Vec<MemberEntry>,
    /// The last versions of the list.
    history: ListHistory<MemberEntry>,
    version: MembersVersion,
    /// The latest moment at which the list of members is known to have been current.
    members_at: Option<Duration>,
    /// The same of the settings.
    settings_at: Option<Duration>,
    /// The latest moment of which a peer said that both were current then.
    confirmed_by_peer_at: Option<Duration>,
    /// When a peer that tells this instance was last heard.
    peer_responded_at: Option<Duration>,
}

impl StoreSnapshot {
    /// Takes in the members as the store has them at `revision`; returns whether they differ.
    pub(crate) fn take_members(&mut self, members: &[MemberEntry], revision: u64) -> bool {
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

    /// Whether nothing is known of the members yet.
    pub(crate) fn is_blank(&self) -> bool {
        self.version == MembersVersion::default() && self.members.is_empty()
    }

    /// Takes in the members that a peer knows of, unless those known are as new; returns whether
    /// they differ.
    ///
    /// Guards against members that come back: a peer that the store turned away knows an old list.
    pub(crate) fn take_copy(&mut self, members: &[MemberEntry], version: MembersVersion) -> bool {
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

    /// The list of members for one who knows the list of `base`.
    pub(crate) fn copy_members(&self, base: ListDigest) -> CopiedList<MemberEntry, MemberName> {
        self.history.copy_for(base)
    }

    /// The digest of the list of members.
    pub(crate) fn members_digest(&self) -> ListDigest {
        self.history.digest()
    }

    /// Takes in that the list of members is current at `now`.
    pub(crate) fn confirm_members(&mut self, now: Duration) {
        self.members_at = self.members_at.max(Some(now));
    }

    /// Takes in that the settings in force are current at `now`.
    pub(crate) fn confirm_settings(&mut self, now: Duration) {
        self.settings_at = self.settings_at.max(Some(now));
    }

    /// Takes in a peer's word that both were current at `confirmed_at`, in the versions known here.
    pub(crate) fn note_told(&mut self, confirmed_at: Duration) {
        self.confirm_members(confirmed_at);
        self.confirm_settings(confirmed_at);
        self.confirmed_by_peer_at = self.confirmed_by_peer_at.max(Some(confirmed_at));
    }

    /// Takes in that a peer answered, whatever it knows.
    pub(crate) fn note_heard(&mut self, now: Duration) {
        self.peer_responded_at = Some(now);
    }

    /// Whether peers said less than `timeout` ago, or less than `extended_timeout` if they still answer, that
    /// both are current.
    pub(crate) fn is_told(
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

    /// The members, and their version.
    pub(crate) fn members(&self) -> (&[MemberEntry], MembersVersion) {
        (&self.members, self.version)
    }

    /// When the list of members was last known to be current.
    pub(crate) fn members_at(&self) -> Option<Duration> {
        self.members_at
    }

    /// When the settings in force were last known to be current.
    pub(crate) fn settings_at(&self) -> Option<Duration> {
        self.settings_at
    }

    /// When members and settings were both last known to be current.
    pub(crate) fn confirmed_at(&self) -> Option<Duration> {
        self.members_at.zip(self.settings_at).map(|(members, settings)| members.min(settings))
    }
}

#[cfg(test)]
mod tests;
