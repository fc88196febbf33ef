//! Gradual increase of the load on a member that is new, restarted, or back after a failover.
//!
//! Load pattern: a member with cold caches joins while every instance still assumes its declared
//! speed. Without a ramp all instances send it its full share at the same moment; the requests that
//! run on cold caches are as many as the slots of all instances together, and wait for each other
//! inside the member.
//!
//! Thresholds: the weight starts at [`RAMP_START`], enough to warm the caches and to measure the
//! member's speed, and is full after [`RAMP_TIME`]: a few hundred statements at a tenth of a
//! member's usual rate. By then its observed speed, not the ramp, controls the load.

use crate::routing::MemberWeight;
use std::time::{Duration, Instant};

/// Initial weight, in thousandths.
const RAMP_START: u16 = 100;

/// Time until the weight is full.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// Weight of one member that has joined or returned.
///
/// ```
/// use rudder_decisions::{MemberWeight, RampSchedule};
/// use std::time::{Duration, Instant};
/// let start = Instant::now();
/// let ramp = RampSchedule::new(start);
/// assert_eq!(ramp.weight(start).permille(), 100);
/// assert_eq!(ramp.weight(start + Duration::from_secs(5)).permille(), 550);
/// assert_eq!(ramp.weight(start + Duration::from_secs(10)), MemberWeight::FULL);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampSchedule {
    start: Instant,
}

impl RampSchedule {
    /// Starts a ramp.
    ///
    /// ```
    /// let _ramp = rudder_decisions::RampSchedule::new(std::time::Instant::now());
    /// ```
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { start: now }
    }

    /// Returns the weight of the member.
    ///
    /// See the example of [`RampSchedule`].
    #[must_use]
    pub fn weight(&self, now: Instant) -> MemberWeight {
        let elapsed = now.duration_since(self.start).min(RAMP_TIME);
        let part = elapsed.as_secs_f64() / RAMP_TIME.as_secs_f64();
        let rise = f64::from(MemberWeight::FULL.permille() - RAMP_START) * part;
        MemberWeight::new(RAMP_START + rise.round() as u16)
    }

    /// Whether the weight is full, so that the schedule can be dropped.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let start = Instant::now();
    /// let ramp = rudder_decisions::RampSchedule::new(start);
    /// assert!(ramp.is_over(start + Duration::from_secs(10)));
    /// ```
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.duration_since(self.start) >= RAMP_TIME
    }
}
