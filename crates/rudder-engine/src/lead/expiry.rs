//! When a change of primary may go on to the promotion.

use super::lease_table::{LEASE_TIME, QUORUM_REACH};
use std::time::Duration;

/// What is added to a lease's life before it is taken to have expired: clocks of two machines
/// that run at slightly different speeds, and an answer on its way to a caller.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Instances that may have registered since another one last read the list. Both sides count them
/// against themselves, so that a majority of an older list still meets one of the newer list.
const UNLISTED_MAX: usize = 2;

/// Whether `count` of `all` listed instances are enough to meet every other such majority, although
/// the lists may differ by [`UNLISTED_MAX`].
pub(crate) fn is_quorum(count: usize, all: usize) -> bool {
    count * 2 > all + UNLISTED_MAX || (count == all && all > 1)
}

/// How far the stopping of all instances has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopProgress {
    /// When the store's answer to the intent came, so that it had taken effect by then.
    pub(crate) written_by: Duration,
    /// By when the store had the first intent of this change, by whomever; no lease was renewed
    /// by the store since.
    pub(crate) changing_since: Duration,
    /// Whether the list of instances was read after the intent was written. Without it there may
    /// be instances that nobody waits for.
    pub(crate) listed: bool,
    /// Listed instances that have not said that they stopped.
    pub(crate) unheard: usize,
    /// Since when most instances have stopped, so that they renew no lease.
    pub(crate) most_since: Option<Duration>,
}

impl StopProgress {
    /// When the last lease for the old primary will have expired.
    pub(crate) fn expires_at(&self) -> Duration {
        let without_quorum = self.changing_since + QUORUM_REACH;
        let renewed_until = match self.most_since {
            Some(most_since) => without_quorum.min(most_since.max(self.written_by)),
            None => without_quorum,
        };
        renewed_until.max(self.changing_since) + LEASE_TIME + EXPIRY_MARGIN
    }

    /// Whether no instance answers for the old primary any more.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        (self.listed && self.unheard == 0) || now >= self.expires_at()
    }
}
