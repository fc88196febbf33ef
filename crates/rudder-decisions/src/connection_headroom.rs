//! Connections beyond an instance's share, while a member takes them.
//!
//! Load pattern: there are more instances than a member takes connections, so that each may hold one.
//! A transaction holds it over its caller's pauses, and all other callers of that instance wait or are
//! refused, although most of the member's connections are free: few instances need theirs at a time.
//!
//! So an instance may open a few more, until the member refuses one. Then there is not enough for
//! all, and each keeps to its share for a while. Where shares add up to what the member takes there
//! is no headroom, as it would be taken from others.

use std::time::{Duration, Instant};

/// Connections beyond the share.
const EXTRA_MAX: u32 = 2;

/// How long an instance keeps to its share after a refusal. Members count the connections of a lost
/// machine for some seconds.
const REFUSED_PAUSE: Duration = Duration::from_millis(1500);

/// How many connections beyond its share an instance may hold to one member.
///
/// ```
/// use rudder_decisions::ConnectionHeadroom;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut headroom = ConnectionHeadroom::default();
/// assert_eq!(headroom.extra(now), 0);
/// headroom.set_scarce(true);
/// assert_eq!(headroom.extra(now), 2);
/// headroom.note_refusal(now);
/// assert_eq!(headroom.extra(now), 0);
/// assert_eq!(headroom.extra(now + Duration::from_secs(2)), 2);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionHeadroom {
    scarce: bool,
    refused_at: Option<Instant>,
}

impl ConnectionHeadroom {
    /// Takes in whether there are more instances than connections.
    ///
    /// See the example of [`ConnectionHeadroom`].
    pub fn set_scarce(&mut self, scarce: bool) {
        self.scarce = scarce;
    }

    /// Takes in that the member had as many connections as it takes.
    ///
    /// See the example of [`ConnectionHeadroom`].
    pub fn note_refusal(&mut self, now: Instant) {
        self.refused_at = Some(now);
    }

    /// Connections that may be held beyond the share.
    ///
    /// See the example of [`ConnectionHeadroom`].
    #[must_use]
    pub fn extra(&self, now: Instant) -> u32 {
        let refused = self.refused_at.is_some_and(|at| now < at + REFUSED_PAUSE);
        if self.scarce && !refused { EXTRA_MAX } else { 0 }
    }
}
