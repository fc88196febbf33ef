//! Registration of this instance and records of the primaries, and the conditions under which they
//! grant leases.

use super::ProxyEngine;
use crate::clock::boot_time;
use crate::group::ServiceGroup;
use crate::lead::{LeadRecord, LeaderEpoch};
use crate::peers::{RecordCopy, RecordsDigest};
use crate::records_status::RecordsStatus;
use crate::records_view::{RecordState, RecordTimes, RecordsView};
use crate::sync::lock;
use rudder_core::ServiceName;
use rudder_store::ObjectVersion;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl ProxyEngine {
    /// Records that the list of instances contained this instance at `listed_at`; none if the list
    /// lacked it.
    pub(crate) fn set_registered(&self, listed_at: Option<Duration>) {
        let entered = match listed_at {
            Some(listed_at) => lock(&self.own_entry).observe_listed(listed_at, boot_time()),
            None => {
                lock(&self.own_entry).clear();
                false
            }
        };
        if entered {
            self.wait_registered.notify_one();
        }
    }

    /// Records the store version of this instance's entry.
    pub(crate) fn record_entry_version(&self, version: ObjectVersion) {
        *lock(&self.entry_version) = Some(version);
    }

    /// Returns the store version of this instance's entry, if this process wrote or found one.
    pub(crate) fn entry_version(&self) -> Option<ObjectVersion> {
        lock(&self.entry_version).clone()
    }

    /// Records that this process removes its entry and then stops.
    pub(crate) fn begin_deregistration(&self) {
        lock(&self.own_entry).leave();
    }

    /// Records a peer's report that the list contained this instance at `listed_at`. It only renews
    /// a registration that this process has seen in the store itself.
    pub(crate) fn renew_registration(&self, listed_at: Duration) {
        lock(&self.own_entry).renew(listed_at);
    }

    /// Returns whether the list was last known to contain this instance longer than `time` ago, or
    /// never.
    pub(crate) fn is_unregistered_for(&self, time: Duration) -> bool {
        lock(&self.own_entry).is_unconfirmed_for(time, boot_time())
    }

    /// Waits until this instance's entry is in the list of instances.
    pub(crate) async fn wait_registered(&self) {
        self.wait_registered.notified().await;
    }

    /// Records which services have a record, as read by this process at `requested_at`.
    pub(crate) fn record_store_read(&self, recorded: &[ServiceName], requested_at: Duration) {
        let mut recorded: Vec<&ServiceName> = recorded.iter().collect();
        recorded.sort_unstable();
        let groups = self.groups();
        let services = groups.iter().map(|group| group.service());
        let without =
            services.filter(|service| recorded.binary_search(service).is_err()).cloned().collect();
        lock(&self.records_status).record_own_read(without, requested_at);
    }

    /// Records a peer's report that all records were read from the store at `read_at`. Returns
    /// whether that is later than the latest known read.
    pub(crate) fn record_peer_records_read(&self, read_at: Duration) -> bool {
        lock(&self.records_status).record_peer_read(read_at)
    }

    /// Returns all known records, sorted by service.
    pub(crate) fn known_records(&self) -> Vec<RecordCopy> {
        let copy = |group: &Arc<ServiceGroup>| {
            let record = group.with_leases(|leases| leases.record().cloned())?;
            Some(RecordCopy { service: group.service().clone(), record })
        };
        self.groups().iter().filter_map(copy).collect()
    }

    /// Returns the times at which all records were last read.
    pub(crate) fn records_status(&self) -> RecordsStatus {
        lock(&self.records_status).clone()
    }

    /// Returns a summary of the known records.
    pub(crate) fn records_view(&self) -> RecordsView {
        let groups = self.groups();
        let known: Vec<RecordState> =
            groups.iter().filter_map(|group| group.record_state()).collect();
        RecordsView::of(&known)
    }

    /// Records that the records of a read at `read_at`, of which a peer informed this instance, are
    /// all known here.
    pub(crate) fn record_complete_records(&self, read_at: Duration) {
        lock(&self.records_status).record_complete(read_at);
        self.check_records_known();
    }

    /// Returns whether this process knows all records as they were when it was registered, or in
    /// later versions: from a read of its own, or from a peer that knew them.
    pub(crate) fn has_read_records(&self) -> bool {
        self.records_known.load(Ordering::Acquire) || self.check_records_known()
    }

    fn check_records_known(&self) -> bool {
        let known = {
            let status = lock(&self.records_status);
            let complete_at = status.complete_at();
            status.has_own_read()
                || complete_at.is_some_and(|at| lock(&self.own_entry).was_registered_by(at))
        };
        if known {
            self.records_known.store(true, Ordering::Release);
        }
        known
    }

    /// Requests current records of the primaries now.
    pub(crate) fn request_records(&self) {
        self.wait_records_request.notify_one();
    }

    /// Waits until current records of the primaries are requested.
    pub(crate) async fn wait_records_request(&self) {
        self.wait_records_request.notified().await;
    }

    /// Returns whether a record that the store or a peer confirmed at `confirmed_at` may grant this
    /// process leases.
    ///
    /// A change of primary must wait for every lease, but it does not ask an instance to stop whose
    /// entry is not in the list. A restarted process no longer knows that it had stopped, and a
    /// peer that lags may send it the previous version of the record, so it must first know all
    /// records as they were after its registration.
    fn may_lead_by(&self, confirmed_at: Duration) -> bool {
        lock(&self.own_entry).may_lead_by(confirmed_at, boot_time()) && self.has_read_records()
    }

    /// Records that a majority of instances knew of no later version of a record at `majority_at`.
    pub(crate) fn confirm_by_majority(
        &self,
        service: &ServiceName,
        epoch: LeaderEpoch,
        majority_at: Duration,
    ) -> bool {
        self.may_lead_by(majority_at) && self.group(service).confirm_by_majority(epoch, majority_at)
    }

    /// Returns whether this process's last read of the store showed no record of a service.
    pub(crate) fn lacks_record(&self, service: &ServiceName) -> bool {
        lock(&self.records_status).lacks_record(service)
    }

    /// Applies that the known versions of all records were in place at the times of a peer's
    /// summary. Returns whether this extends leases by confirmations of a majority.
    pub(crate) fn confirm_records(&self, times: impl Fn(usize) -> RecordTimes) -> bool {
        let (own_entry, now) = (*lock(&self.own_entry), boot_time());
        let has_read = self.has_read_records();
        let allowed = |moment: Duration| {
            let may_lead = has_read && own_entry.may_lead_by(moment, now);
            if may_lead { moment } else { Duration::ZERO }
        };
        let (mut extended, mut index) = (false, 0);
        for group in self.groups().iter() {
            let known = group.confirm_record(|| {
                let RecordTimes { confirmed_at, valid_from } = times(index);
                let (confirmed_at, valid_from) = (allowed(confirmed_at), allowed(valid_from));
                RecordTimes { confirmed_at, valid_from }
            });
            if let Some(is_later) = known {
                index += 1;
                extended |= is_later;
            }
        }
        extended
    }

    /// Applies a record that was in place in the store at `confirmed_at` or later.
    pub(crate) fn observe_record(
        &self,
        service: &ServiceName,
        record: &LeadRecord,
        confirmed_at: Duration,
    ) -> bool {
        let counts = self.may_lead_by(confirmed_at);
        let confirmed_at = if counts { confirmed_at } else { Duration::ZERO };
        let (group, services) = (self.group(service), self.groups().len());
        let Some(change) = group.observe_record_of(record, confirmed_at, services) else {
            return false;
        };
        let mut digest = lock(&self.records_digest);
        *digest = digest.without(change.before).and(change.after);
        true
    }

    /// Returns the digest of the versions of all known records.
    pub(crate) fn records_digest(&self) -> RecordsDigest {
        *lock(&self.records_digest)
    }
}
