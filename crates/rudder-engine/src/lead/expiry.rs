//! Conditions under which a change of primary may proceed to the promotion.

use super::lease_table::{LEASE_TIME, QUORUM_REACH};
use std::time::Duration;

/// Margin added to the lease duration before a lease counts as expired. Covers the clock drift
/// between two machines and a response in transit to a caller.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Maximum number of instances that may have registered since another instance last read the
/// instance list. Each side subtracts them from its own majority, so that a majority of an older
/// list still intersects a majority of the newer one.
const UNLISTED_MAX: usize = 2;

/// Returns whether `count` of `all` listed instances intersect every other such majority, although
/// two instance lists may differ by [`UNLISTED_MAX`].
pub(crate) fn is_quorum(count: usize, all: usize) -> bool {
    count * 2 > all + UNLISTED_MAX || (count == all && all > 1)
}

/// Progress of stopping all instances during a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopProgress {
    /// Time at which the store's response to the write of the intent arrived. The intent had taken
    /// effect by then.
    pub(crate) written_by: Duration,
    /// Time by which the store had the first intent of this change, from any instance. No lease has
    /// been renewed from the store since.
    pub(crate) changing_since: Duration,
    /// Whether the instance list was read after the intent was written. Without that read, the
    /// change may not wait for every instance.
    pub(crate) listed: bool,
    /// Number of listed instances that have not confirmed their stop.
    pub(crate) unconfirmed: usize,
    /// Time since when a majority of instances has stopped, so that they renew no lease.
    pub(crate) quorum_since: Option<Duration>,
}

impl StopProgress {
    /// Returns the time at which the last lease for the old primary has expired.
    pub(crate) fn expires_at(&self) -> Duration {
        let without_quorum = self.changing_since + QUORUM_REACH;
        let renewed_until = match self.quorum_since {
            Some(quorum_since) => without_quorum.min(quorum_since.max(self.written_by)),
            None => without_quorum,
        };
        renewed_until.max(self.changing_since) + LEASE_TIME + EXPIRY_MARGIN
    }

    /// Returns whether no instance responds for the old primary any more.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        (self.listed && self.unconfirmed == 0) || now >= self.expires_at()
    }
}
