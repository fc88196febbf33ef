//! What is known of the records of primaries as a whole: who has read them, and when.
//!
//! Load pattern: all instances of a fleet start at once, before there are records. An instance that
//! reads the store for as long as a service has none makes ten calls in the first three seconds. So
//! instances tell each other when the store was last read, and need not look for themselves whether
//! there is a record yet.

use rudder_core::ServiceName;
use std::time::Duration;

/// Reads of all records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordsStatus {
    /// Services without a record by this process's last read.
    services_without_record: Vec<ServiceName>,
    /// When this process's last read was sent; none before the first one.
    own_read_at: Option<Duration>,
    /// When a peer had read them, by its own word.
    peer_read_at: Option<Duration>,
}

impl RecordsStatus {
    /// Takes in a read of this process's own that was sent at `requested_at`.
    pub(crate) fn record_own_read(
        &mut self,
        services_without_record: Vec<ServiceName>,
        requested_at: Duration,
    ) {
        self.services_without_record = services_without_record;
        self.own_read_at = Some(requested_at);
    }

    /// Takes in a peer's word that they were read at `own_read_at`; returns whether that is later than
    /// was known.
    pub(crate) fn record_peer_read(&mut self, read_at: Duration) -> bool {
        let later = Some(read_at) > self.latest_read_at();
        self.peer_read_at = self.peer_read_at.max(Some(read_at));
        later
    }

    /// When this process last read them itself.
    pub(crate) fn own_read_at(&self) -> Option<Duration> {
        self.own_read_at
    }

    /// When they were last read, by this process or by one that told it.
    pub(crate) fn latest_read_at(&self) -> Option<Duration> {
        self.own_read_at.max(self.peer_read_at)
    }

    /// Whether this process's last read showed no record of a service.
    pub(crate) fn lacks_record(&self, service: &ServiceName) -> bool {
        self.services_without_record.contains(service)
    }
}
