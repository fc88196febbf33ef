//! Decision when a difference between two digests requires a transfer.

use std::time::Duration;

/// Time for which digests must differ before a transfer; updates usually arrive sooner.
const DIFFERENCE_DURATION_MIN: Duration = Duration::from_secs(8);

/// Minimum time between two transfers.
const FETCH_INTERVAL_MIN: Duration = Duration::from_secs(20);

/// Minimum time between a failed transfer and the next.
const FETCH_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Comparison of the digests sent by peers with the local digest.
///
/// Covers a case that updates in datagrams cannot: an update that reached every instance but one
/// has used up its transmissions, and the remaining instance would never receive it. The digest in
/// each datagram shows the difference, at a cost that does not grow with the fleet.
#[derive(Debug, Default)]
pub(crate) struct DigestWatch {
    differs_since: Option<Duration>,
    fetched_at: Option<Duration>,
    fetch_interval: Duration,
}

impl DigestWatch {
    /// Whether to fetch now from the peer whose digest was compared. If `urgent`, the difference
    /// need not have lasted.
    pub(crate) fn compare(&mut self, mine: u32, theirs: u32, urgent: bool, now: Duration) -> bool {
        if mine == theirs {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let persistent = now.saturating_sub(since) >= DIFFERENCE_DURATION_MIN;
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

    /// Records that the transfer failed, for instance because the peer had no budget left: another
    /// peer is tried soon.
    pub(crate) fn record_failure(&mut self) {
        self.fetch_interval = FETCH_RETRY_DELAY;
        // The digests still differ; the difference counts as persistent, so that only the retry
        // delay applies.
        self.differs_since =
            self.fetched_at.map(|fetched| fetched.saturating_sub(DIFFERENCE_DURATION_MIN));
    }
}
