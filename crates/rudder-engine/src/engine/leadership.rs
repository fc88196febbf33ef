//! What the store and peers say of the own entry and of the records, and whether leases follow.

use super::ProxyEngine;
use crate::clock::boot_time;
use crate::group::ServiceGroup;
use crate::lead::{LeadRecord, LeaderEpoch};
use crate::peers::RecordCopy;
use crate::records_status::RecordsStatus;
use crate::sync::lock;
use rudder_core::ServiceName;
use rudder_store::ObjectVersion;
use std::sync::Arc;
use std::time::Duration;

impl ProxyEngine {
    /// Takes in that the list showed this instance at `listed_at`, or did not.
    pub(crate) fn set_listed(&self, listed_at: Option<Duration>) {
        let entered = match listed_at {
            Some(listed_at) => lock(&self.own_entry).show(listed_at, boot_time()),
            None => {
                lock(&self.own_entry).hide();
                false
            }
        };
        if entered {
            self.wait_registered.notify_one();
        }
    }

    /// Takes in the version of the own entry.
    pub(crate) fn record_entry_version(&self, version: ObjectVersion) {
        *lock(&self.entry_version) = Some(version);
    }

    /// The version of the own entry, as far as this process wrote or found it.
    pub(crate) fn entry_version(&self) -> Option<ObjectVersion> {
        lock(&self.entry_version).clone()
    }

    /// Takes in that this process removes its entry and ends.
    pub(crate) fn begin_deregistration(&self) {
        lock(&self.own_entry).leave();
    }

    /// Takes in a peer's word that the list showed this instance at `listed_at`. It renews what the
    /// store itself has said before, and does not stand in for it.
    pub(crate) fn renew_registration(&self, listed_at: Duration) {
        lock(&self.own_entry).renew(listed_at);
    }

    /// Whether the list was last known to show this instance longer than `time` ago, or not at all.
    pub(crate) fn is_unregistered_for(&self, time: Duration) -> bool {
        lock(&self.own_entry).is_unconfirmed_for(time, boot_time())
    }

    /// Waits until this instance has entered the list.
    pub(crate) async fn wait_registered(&self) {
        self.wait_registered.notified().await;
    }

    /// Takes in which services have a record, by this process's own question of `requested_at`.
    pub(crate) fn note_records_read(&self, recorded: &[ServiceName], requested_at: Duration) {
        let services = self.groups().into_iter().map(|group| group.service().clone());
        let without = services.filter(|service| !recorded.contains(service)).collect();
        lock(&self.records_status).record_own_read(without, requested_at);
    }

    /// Takes in a peer's word that the store was asked for all records at `read_at`; returns whether
    /// that is later than was known.
    pub(crate) fn record_peer_records_read(&self, read_at: Duration) -> bool {
        lock(&self.records_status).record_peer_read(read_at)
    }

    /// All records that are known, sorted by service.
    pub(crate) fn known_records(&self) -> Vec<RecordCopy> {
        let copy = |group: Arc<ServiceGroup>| {
            let record = group.with_leases(|leases| leases.record().cloned())?;
            Some(RecordCopy { service: group.service().clone(), record })
        };
        self.groups().into_iter().filter_map(copy).collect()
    }

    /// What is known of the records as a whole.
    pub(crate) fn records_status(&self) -> RecordsStatus {
        lock(&self.records_status).clone()
    }

    /// Whether this process has read the records from the store itself.
    pub(crate) fn has_read_records(&self) -> bool {
        lock(&self.records_status).own_read_at().is_some()
    }

    /// Asks for word of the primaries now.
    pub(crate) fn want_records(&self) {
        self.wait_records_request.notify_one();
    }

    /// Waits until word of the primaries is wanted.
    pub(crate) async fn wait_records_request(&self) {
        self.wait_records_request.notified().await;
    }

    /// Whether what the store or a peer said at `said_at` may give this process leases.
    ///
    /// Guards against a lease that no change of primary waits for. An instance that the store does
    /// not list yet, or may list no more, is not asked to stop. And one that stopped, was killed
    /// and started again does not know that it stopped: a peer that is behind may tell it of the
    /// version before, so it needs the store's own word first.
    fn may_lead_by(&self, said_at: Duration) -> bool {
        lock(&self.own_entry).may_lead_by(said_at, boot_time()) && self.has_read_records()
    }

    /// Takes in that most instances knew of no later version at `majority_at`.
    pub(crate) fn confirm_by_majority(
        &self,
        service: &ServiceName,
        epoch: LeaderEpoch,
        majority_at: Duration,
    ) -> bool {
        self.may_lead_by(majority_at) && self.group(service).confirm_by_majority(epoch, majority_at)
    }

    /// Whether the store's last list had no record of a service.
    pub(crate) fn lacks_record(&self, service: &ServiceName) -> bool {
        lock(&self.records_status).lacks_record(service)
    }

    /// Takes in a record that was in place at `confirmed_at` or later.
    pub(crate) fn observe(
        &self,
        service: &ServiceName,
        record: &LeadRecord,
        confirmed_at: Duration,
    ) -> bool {
        let counts = self.may_lead_by(confirmed_at);
        let confirmed_at = if counts { confirmed_at } else { Duration::ZERO };
        self.group(service).observe(record, confirmed_at)
    }
}
