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
    without: Vec<ServiceName>,
    /// When this process's last read was sent; none before the first one.
    read_at: Option<Duration>,
    /// When a peer had read them, by its own word.
    told_at: Option<Duration>,
}

impl RecordsStatus {
    /// Takes in a read of this process's own that was sent at `asked_at`.
    pub(crate) fn note_read(&mut self, without: Vec<ServiceName>, asked_at: Duration) {
        self.without = without;
        self.read_at = Some(asked_at);
    }

    /// Takes in a peer's word that they were read at `read_at`; returns whether that is later than
    /// was known.
    pub(crate) fn note_told(&mut self, read_at: Duration) -> bool {
        let later = Some(read_at) > self.known_at();
        self.told_at = self.told_at.max(Some(read_at));
        later
    }

    /// When this process last read them itself.
    pub(crate) fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// When they were last read, by this process or by one that told it.
    pub(crate) fn known_at(&self) -> Option<Duration> {
        self.read_at.max(self.told_at)
    }

    /// Whether this process's last read showed no record of a service.
    pub(crate) fn lacks(&self, service: &ServiceName) -> bool {
        self.without.contains(service)
    }
}
