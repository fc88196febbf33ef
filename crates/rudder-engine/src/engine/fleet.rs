//! Settings, members and the list of instances as received from the store and from peers, and
//! their age.

use super::ProxyEngine;
use crate::clock::boot_time;
use crate::group::MemberEntry;
use crate::peers::{CopyRequest, CopyVersion, EntriesCopy, FleetCopy, MembersCopy, RequestOffset};
use crate::settings::{AccountTable, FleetSettings};
use crate::sync::lock;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Age of the latest confirmation of settings and members from peers above which a reader polls the
/// store itself. The fleet reader's watch of the store returns every 1.2 s and its result is passed
/// on every 0.5 s; settings must be in force within 3 s, even right after the fleet reader failed.
const READER_CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2200);

/// Age above which other instances poll the store themselves. By then their domain's reader has
/// polled the store.
const FOLLOWER_CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2700);

/// Age above which other instances poll the store although their reader responds. The reader polls
/// the store in that case, so a store outage does not attract calls from the whole fleet.
const FOLLOWER_FALLBACK_MAX_AGE: Duration = Duration::from_millis(5000);

/// Minimum interval between two fetches of all records from peers.
const RECORDS_FETCH_INTERVAL: Duration = Duration::from_millis(500);

impl ProxyEngine {
    /// Applies a version of the settings unless the version in force is at least as new.
    pub fn apply_settings(&self, settings: FleetSettings) {
        // The comparison and the update are one atomic step: the store's version and a peer's copy
        // arrive on two threads, and otherwise an older version could replace a newer one that was
        // applied after the comparison.
        self.settings.send_if_modified(|known| {
            if known.as_ref().is_some_and(|known| settings.version <= known.version) {
                return false;
            }
            log::info!(
                version:% = settings.version, routes = settings.routes.len(),
                services = settings.services.len(),
                accounts = settings.accounts.as_ref().map_or(0, AccountTable::len);
                "settings are in force"
            );
            self.limits.retain(|account| {
                let accounts = settings.accounts.as_ref();
                accounts.is_some_and(|accounts| accounts.limit(account).is_some())
            });
            *known = Some(Arc::new(settings));
            true
        });
    }

    /// Applies the members of all services, as the store had them at `revision`.
    pub fn apply_members(&self, entries: &[MemberEntry], revision: u64) {
        self.confirm_members();
        let changed = lock(&self.store_snapshot).apply_members(entries, revision);
        if changed {
            self.update_groups(entries, "store");
        }
    }

    /// Applies a list of members that may be some seconds old, if none is known yet. It gets
    /// revision 0, so that any list that a peer received from the store replaces it.
    pub fn apply_cached_members(&self, entries: &[MemberEntry]) {
        let mut snapshot = lock(&self.store_snapshot);
        let changed = snapshot.is_blank() && snapshot.apply_members(entries, 0);
        drop(snapshot);
        if changed {
            self.update_groups(entries, "cache");
        }
    }

    /// Applies the newer parts of a peer's copy, received in response to a request that was sent at
    /// `requested_at`.
    pub(crate) fn apply_copy(&self, copy: FleetCopy, requested_at: Duration) {
        if let Some(settings) = copy.settings {
            self.apply_settings(settings);
        }
        if let Some(copy) = copy.members {
            let mut snapshot = lock(&self.store_snapshot);
            let members = copy.list.resolve(snapshot.members().0);
            let members = members.filter(|members| snapshot.apply_copy(members, copy.version));
            drop(snapshot);
            if let Some(members) = members {
                self.update_groups(&members, "peer");
            }
        }
        if let Some(EntriesCopy { list, read: Some(read) }) = copy.entries
            && let Some(entries) = list.resolve(&self.membership.entries().0)
        {
            log::info!(instances = entries.len(); "received the list of instances from a peer");
            let read_at = read.to_moment(requested_at);
            let own = &self.identity.name;
            if !entries.iter().any(|entry| entry.instance == *own)
                && lock(&self.own_entry).observe_missing(read_at)
            {
                log::warn!(instance:% = own; "this instance is missing from the list of instances");
            }
            self.membership.set_entries(entries, read_at);
        }
    }

    /// Returns the settings, members and entries that are newer than those a peer's request names.
    pub(crate) fn fleet_copy(&self, request: CopyRequest, received_at: Duration) -> FleetCopy {
        let settings = self.settings().filter(|known| known.version > request.version.settings);
        let members = {
            let snapshot = lock(&self.store_snapshot);
            let (_, version) = snapshot.members();
            let newer = version > request.version.members;
            newer.then(|| MembersCopy { list: snapshot.copy_members(request.members), version })
        };
        let newer = self.membership.entries_version().0 != request.entries;
        let entries = newer.then(|| {
            let (list, read_at) = self.membership.copy_entries(request.entries);
            EntriesCopy { list, read: RequestOffset::of(read_at, received_at) }
        });
        FleetCopy { settings: settings.map(|settings| settings.as_ref().clone()), members, entries }
    }

    /// Returns a request for a peer's copy that names the versions known here.
    pub(crate) fn copy_request(&self) -> CopyRequest {
        let (entries, _) = self.membership.entries_version();
        let members = lock(&self.store_snapshot).members_digest();
        CopyRequest { version: self.copy_version(), members, entries }
    }

    /// Marks the fetch of a peer's copy as running. Returns false if one is running already.
    pub(crate) fn try_start_copy_fetch(&self) -> bool {
        !self.copy_fetch_running.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn finish_copy_fetch(&self) {
        self.copy_fetch_running.store(false, Ordering::Release);
    }

    /// Marks a fetch of all records as begun. Returns false if the last one began too recently:
    /// while a fleet writes its first records, each response shows further ones.
    pub(crate) fn try_start_records_fetch(&self) -> bool {
        let now = boot_time();
        let mut fetched_at = lock(&self.records_fetched_at);
        if fetched_at.is_some_and(|at| now < at + RECORDS_FETCH_INTERVAL) {
            return false;
        }
        *fetched_at = Some(now);
        true
    }

    /// Returns the known versions of settings and members.
    pub(crate) fn copy_version(&self) -> CopyVersion {
        let settings = self.settings_version().unwrap_or_default();
        CopyVersion { settings, members: lock(&self.store_snapshot).members().1 }
    }

    /// Applies a changed list of members to the services whose entries changed.
    ///
    /// Load pattern: the members of a thousand services register within seconds, and each instance
    /// receives the list dozens of times, each time with a few changed entries.
    fn update_groups(&self, entries: &[MemberEntry], source: &str) {
        let mut sorted: Vec<&MemberEntry> = entries.iter().collect();
        sorted.sort_by_key(|entry| (&entry.target.service, &entry.target.member));
        for of_service in sorted.chunk_by(|left, right| left.target.service == right.target.service)
        {
            self.group(&of_service[0].target.service);
        }
        let mut changed = 0_usize;
        for group in self.groups().iter() {
            let service = group.service();
            let first = sorted.partition_point(|entry| entry.target.service < *service);
            let count = sorted[first..].partition_point(|entry| entry.target.service == *service);
            let own = &sorted[first..first + count];
            if !group.has_entries(own) {
                let own: Vec<MemberEntry> = own.iter().copied().cloned().collect();
                group.set_members(&own, &self.dependencies.dialer);
                changed += 1;
            }
        }
        log::info!(
            members = entries.len(), changed_services = changed, source = source;
            "the list of members changed"
        );
        self.member_changes.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns the number of changes of the list of members.
    pub(crate) fn member_changes(&self) -> u64 {
        self.member_changes.load(Ordering::Acquire)
    }

    /// Records that the list of members is current.
    pub fn confirm_members(&self) {
        lock(&self.store_snapshot).confirm_members(boot_time());
    }

    /// Records that the settings in force are current.
    pub fn confirm_settings(&self) {
        lock(&self.store_snapshot).confirm_settings(boot_time());
    }

    /// Returns the time at which the list of members was last known to be current.
    pub(crate) fn members_confirmed_at(&self) -> Option<Duration> {
        lock(&self.store_snapshot).members_at()
    }

    /// Returns the time at which members and settings were both last known to be current.
    pub(crate) fn copy_confirmed_at(&self) -> Option<Duration> {
        lock(&self.store_snapshot).confirmed_at()
    }

    /// Records a peer's report that settings and members of `version` were current at `moment`;
    /// `moment` is none if the peer does not know a time.
    pub(crate) fn record_peer_confirmation(&self, version: CopyVersion, moment: Option<Duration>) {
        let current = !self.copy_version().lacks(version);
        let mut snapshot = lock(&self.store_snapshot);
        snapshot.record_peer_response(boot_time());
        if let Some(moment) = moment.filter(|_| current) {
            snapshot.confirm_by_peer(moment);
        }
    }

    /// Returns whether peers confirm settings and members often enough that this instance need not
    /// poll the store.
    #[must_use]
    pub fn has_current_peer_copy(&self) -> bool {
        let (max_age, longer_max_age) = match self.membership.is_reader() {
            true if self.membership.is_fleet_reader() => return false,
            true => (READER_CONFIRMATION_MAX_AGE, READER_CONFIRMATION_MAX_AGE),
            false => (FOLLOWER_CONFIRMATION_MAX_AGE, FOLLOWER_FALLBACK_MAX_AGE),
        };
        lock(&self.store_snapshot).is_confirmed_by_peers(max_age, longer_max_age, boot_time())
    }
}
