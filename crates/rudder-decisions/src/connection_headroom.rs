//! Connections beyond an instance's share, as long as a member accepts them.
//!
//! Load pattern: there are more instances than connections to a member, so each instance may hold
//! one. A transaction holds it while its caller is idle, and all other callers of that instance
//! wait or are refused, although most of the member's connections are free: few instances need
//! theirs at the same time.
//!
//! An instance may therefore open a few more, until the member refuses one. After a refusal, the
//! instance keeps to its share for a while. If the shares add up to no more than the member
//! accepts, there is no headroom, as it would be taken from other instances.

use std::time::{Duration, Instant};

/// Maximum number of connections beyond the share.
const EXTRA_MAX: u32 = 2;

/// How long an instance keeps to its share after a refusal. Members count the connections of a
/// failed machine for some seconds.
const REFUSED_PAUSE: Duration = Duration::from_millis(1500);

/// Number of connections beyond its share that an instance may hold to one member.
///
/// ```
/// use rudder_decisions::ConnectionHeadroom;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut headroom = ConnectionHeadroom::default();
/// assert_eq!(headroom.extra(now), 0);
/// headroom.set_scarce(true);
/// assert_eq!(headroom.extra(now), 2);
/// headroom.record_refusal(now);
/// assert_eq!(headroom.extra(now), 0);
/// assert_eq!(headroom.extra(now + Duration::from_secs(2)), 2);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionHeadroom {
    scarce: bool,
    refused_at: Option<Instant>,
}

impl ConnectionHeadroom {
    /// Sets whether there are more instances than connections.
    ///
    /// See the example of [`ConnectionHeadroom`].
    pub fn set_scarce(&mut self, scarce: bool) {
        self.scarce = scarce;
    }

    /// Records that the member refused a connection because it was at its limit.
    ///
    /// See the example of [`ConnectionHeadroom`].
    pub fn record_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Returns the number of connections that may be held beyond the share.
    ///
    /// See the example of [`ConnectionHeadroom`].
    #[must_use]
    pub fn extra(&self, now: Instant) -> u32 {
        let refused = self.refused_at.is_some_and(|at| now < at + REFUSED_PAUSE);
        if self.scarce && !refused { EXTRA_MAX } else { 0 }
    }
}
