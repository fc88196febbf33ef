//! What the store and peers say of settings and members, and how old their word is.

use super::ProxyEngine;
use crate::clock::boot_time;
use crate::group::MemberEntry;
use crate::peers::{CopyVersion, FleetCopy};
use crate::settings::FleetSettings;
use crate::sync::lock;
use rudder_core::ServiceName;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The age of the store's word, as a reader has it, from which on the others ask the store
/// themselves. A reader's watch answers every 1.2 s and its word is passed on every 0.5 s; settings
/// must be in force within 3 s, also where the reader has just died.
const FEED_AGE_MAX: Duration = Duration::from_millis(2200);

impl ProxyEngine {
    /// Takes in a version of the settings; an older one than is in force is dropped.
    pub fn apply_settings(&self, settings: FleetSettings) {
        // Guards against settings that go back where the store's word and a peer's copy come on two
        // threads: after a look at the version in force the other one may put a newer one in, so
        // look and change are one step.
        self.settings.send_if_modified(|known| {
            if known.as_ref().is_some_and(|known| settings.version <= known.version) {
                return false;
            }
            log::info!(
                version:% = settings.version, routes = settings.routes.len(),
                services = settings.services.len(); "settings are in force"
            );
            *known = Some(Arc::new(settings));
            true
        });
    }

    /// Takes in the members of all services, as the store has them at `revision`.
    pub fn apply_members(&self, entries: &[MemberEntry], revision: u64) {
        self.confirm_members();
        let changed = lock(&self.store_snapshot).take_members(entries, revision);
        if changed {
            self.spread_members(entries, "store");
        }
    }

    /// Takes in what a peer knows, as far as it is newer.
    pub(crate) fn apply_copy(&self, copy: FleetCopy) {
        self.apply_settings(copy.settings);
        let changed = lock(&self.store_snapshot).take_copy(&copy.members, copy.members_version);
        if changed {
            self.spread_members(&copy.members, "peer");
        }
    }

    /// What this instance knows of the store's word, for a peer; none before the first settings.
    pub(crate) fn fleet_copy(&self) -> Option<FleetCopy> {
        let settings = self.settings()?.as_ref().clone();
        let word = lock(&self.store_snapshot);
        let (members, members_version) = word.members();
        Some(FleetCopy { settings, members: members.to_vec(), members_version })
    }

    /// Whether this caller is the one to fetch a peer's copy.
    pub(crate) fn may_fetch_copy(&self) -> bool {
        !self.fetching.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_fetch_copy(&self) {
        self.fetching.store(false, Ordering::Release);
    }

    /// The versions of settings and members that are known.
    pub(crate) fn copy_version(&self) -> CopyVersion {
        let settings = self.settings_version().unwrap_or_default();
        CopyVersion { settings, members: lock(&self.store_snapshot).members().1 }
    }

    fn spread_members(&self, entries: &[MemberEntry], source: &str) {
        log::info!(members = entries.len(), source = source; "the list of members changed");
        let mut services: Vec<ServiceName> =
            entries.iter().map(|entry| entry.target.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        for service in &services {
            self.group(service);
        }
        for group in self.groups() {
            let of_group = |entry: &&MemberEntry| entry.target.service == *group.service();
            let own: Vec<MemberEntry> = entries.iter().filter(of_group).cloned().collect();
            group.set_members(&own, &self.borders.dialer);
        }
    }

    /// Takes in that the list of members is current.
    pub fn confirm_members(&self) {
        lock(&self.store_snapshot).confirm_members(boot_time());
    }

    /// Takes in that the settings in force are current.
    pub fn confirm_settings(&self) {
        lock(&self.store_snapshot).confirm_settings(boot_time());
    }

    /// When the list of members was last known to be current.
    pub(crate) fn members_confirmed_at(&self) -> Option<Duration> {
        lock(&self.store_snapshot).members_at()
    }

    /// When the store last said that members and settings are current.
    pub(crate) fn store_confirmed_at(&self) -> Option<Duration> {
        lock(&self.store_snapshot).confirmed_at()
    }

    /// Whether peers tell this instance in time of what the store says, so that it need not ask.
    #[must_use]
    pub fn is_fed(&self) -> bool {
        let fed_at = self.membership.fed_at();
        fed_at.is_some_and(|at| boot_time() < at + FEED_AGE_MAX) && !self.membership.is_reader()
    }
}
