//! Instances that may hold connections for others.

use super::membership::MembershipView;
use super::membership_state::PeerEntry;
use crate::clock::boot_time;
use rudder_core::{InstanceName, plain_data};
use xxhash_rust::xxh3::xxh3_64;

/// Instance list at some time.
pub(crate) struct HolderList {
    /// Number that differs between lists of this process.
    pub(crate) version: u64,
    pub(crate) entries: Vec<PeerEntry>,
}

plain_data! {
    /// Value that differs between sets of instances that may hold connections.
    #[derive(Copy, Default)]
    pub(crate) struct KnownVersion {
        list_changes: u64,
        /// Digest of the instances that are heard but not listed.
        unlisted: u64,
    }
}

impl MembershipView {
    /// Returns the version of the set that [`MembershipView::known`] returns.
    pub(crate) fn known_version(&self) -> KnownVersion {
        let now = boot_time();
        let state = self.state();
        let live = state.received.iter().filter(|received| received.is_live(now));
        let unlisted = live.map(|received| &received.heartbeat.instance).filter(|instance| {
            find_entry(&state.entries, instance).is_none()
                && find_entry(&state.contacts, instance).is_none()
        });
        let digest = |instance: &InstanceName| xxh3_64(instance.as_str().as_bytes());
        let unlisted = unlisted.map(digest).fold(0, u64::wrapping_add);
        KnownVersion { list_changes: state.list_changes, unlisted }
    }

    /// Returns the instances that may hold connections, unless the list still has this version:
    /// those in the store's list that are not about to be removed. Until that list is known, the
    /// contacts are used, which may be outdated.
    ///
    /// Whether an instance is live does not count, as instances do not agree on it at any time.
    pub(crate) fn holder_list(&self, version: Option<u64>) -> Option<HolderList> {
        let state = self.state();
        if version == Some(state.list_changes) {
            return None;
        }
        let known = if state.entries.is_empty() { &state.contacts } else { &state.entries };
        let mut entries: Vec<PeerEntry> =
            known.iter().filter(|entry| !entry.marked).cloned().collect();
        entries.dedup_by(|left, right| left.instance == right.instance);
        Some(HolderList { version: state.list_changes, entries })
    }
}

/// Returns the entry of an instance in a list that is sorted by name.
pub(crate) fn find_entry<'a>(
    entries: &'a [PeerEntry],
    instance: &InstanceName,
) -> Option<&'a PeerEntry> {
    let found = entries.binary_search_by(|entry| entry.instance.cmp(instance));
    found.ok().map(|index| &entries[index])
}
