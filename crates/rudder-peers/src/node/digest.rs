//! When a difference between two digests is worth a transfer.

use std::time::Duration;

/// How long digests must differ before a transfer; news usually arrives sooner.
const DIFFERENCE_MIN: Duration = Duration::from_secs(8);

/// The least time between two transfers.
const FETCH_INTERVAL_MIN: Duration = Duration::from_secs(20);

/// The least time between a transfer that failed and another.
const FETCH_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Watches the digests that peers send.
///
/// Guards against what datagrams cannot: news that reached everyone but one instance has used up
/// its transmissions, and that instance would never hear of it. A digest in each datagram shows the
/// difference, at a cost that does not grow with the fleet.
#[derive(Debug, Default)]
pub(crate) struct DigestWatch {
    differs_since: Option<Duration>,
    fetched_at: Option<Duration>,
    fetch_interval: Duration,
}

impl DigestWatch {
    /// Whether to fetch now from the peer whose digest was compared. `urgent` skips the patience.
    pub(crate) fn compare(&mut self, mine: u32, theirs: u32, urgent: bool, now: Duration) -> bool {
        if mine == theirs {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let persistent = now.saturating_sub(since) >= DIFFERENCE_MIN;
        let interval_elapsed = self
            .fetched_at
            .is_none_or(|fetched| now.saturating_sub(fetched) >= self.fetch_interval);
        let fetch = interval_elapsed && (persistent || urgent);
        if fetch {
            self.fetched_at = Some(now);
            self.fetch_interval = FETCH_INTERVAL_MIN;
            self.differs_since = None;
        }
        fetch
    }

    /// The transfer failed, perhaps because the peer had no budget: another peer is tried soon.
    pub(crate) fn record_failure(&mut self) {
        self.fetch_interval = FETCH_RETRY_DELAY;
        // The digests still differ, for as long as before.
        self.differs_since = self.fetched_at.map(|fetched| fetched.saturating_sub(DIFFERENCE_MIN));
    }
}
