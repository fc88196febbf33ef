//! Times at which the records of all primaries were last read from the store.
//!
//! Load pattern: all instances of a fleet start at once, before there are records. An instance that
//! reads the store until each service has a record makes ten calls in the first three seconds.
//! Instances therefore send each other the time of the latest read, so that not every instance has
//! to check the store for a missing record.

use rudder_core::ServiceName;
use std::time::Duration;

/// Latest reads of all records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordsStatus {
    /// Services without a record in this process's last read, sorted.
    services_without_record: Vec<ServiceName>,
    /// Time at which this process's last read was sent; none before the first one.
    own_read_at: Option<Duration>,
    /// Time of the latest read that a peer reported.
    peer_read_at: Option<Duration>,
    /// Time of the latest read, by this process or a peer, whose records are all known here, each
    /// in the version that the read showed or a later one.
    complete_at: Option<Duration>,
}

impl RecordsStatus {
    /// Records a read by this process that was sent at `requested_at`.
    pub(crate) fn record_own_read(
        &mut self,
        services_without_record: Vec<ServiceName>,
        requested_at: Duration,
    ) {
        self.services_without_record = services_without_record;
        self.own_read_at = Some(requested_at);
        self.record_complete(requested_at);
    }

    /// Records that all records of a read at `read_at` are known here.
    pub(crate) fn record_complete(&mut self, read_at: Duration) {
        self.complete_at = self.complete_at.max(Some(read_at));
    }

    /// Returns the time of the latest read whose records are all known here.
    pub(crate) fn complete_at(&self) -> Option<Duration> {
        self.complete_at
    }

    /// Records a peer's report that the records were read at `read_at`. Returns whether that is
    /// later than the latest known read.
    pub(crate) fn record_peer_read(&mut self, read_at: Duration) -> bool {
        let later = Some(read_at) > self.latest_read_at();
        self.peer_read_at = self.peer_read_at.max(Some(read_at));
        later
    }

    /// Returns whether this process has read the records itself.
    pub(crate) fn has_own_read(&self) -> bool {
        self.own_read_at.is_some()
    }

    /// Returns the time of the latest read by this process or by a peer that reported one.
    pub(crate) fn latest_read_at(&self) -> Option<Duration> {
        self.own_read_at.max(self.peer_read_at)
    }

    /// Returns whether this process's last read showed no record of a service.
    pub(crate) fn lacks_record(&self, service: &ServiceName) -> bool {
        self.services_without_record.binary_search(service).is_ok()
    }
}
