//! How fast load moves to a member that is new, restarted, or back after a failover.
//!
//! Load pattern: a member appears whose caches are cold while every instance still believes its
//! declared speed. Without a ramp all instances send it its full share in the same moment; the
//! requests that find it cold are as many as all instances' slots together, and wait for each other
//! inside the member. Thresholds: it starts at [`RAMP_START`], enough to warm it and to measure its
//! speed, and gets its whole weight after [`RAMP_TIME`]: a few hundred statements at a tenth of
//! a member's usual rate, by which time its observed speed, not the ramp, steers the load.

use crate::routing::MemberWeight;
use std::time::{Duration, Instant};

/// The weight at the start, in thousandths.
const RAMP_START: u16 = 100;

/// How long the weight takes to become whole.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// The weight of one member that has just come or come back.
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
    /// A ramp that starts now.
    ///
    /// ```
    /// let _ramp = rudder_decisions::RampSchedule::new(std::time::Instant::now());
    /// ```
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { start: now }
    }

    /// The member's weight.
    ///
    /// See the example of [`RampSchedule`].
    #[must_use]
    pub fn weight(&self, now: Instant) -> MemberWeight {
        let elapsed = now.duration_since(self.start).min(RAMP_TIME);
        let part = elapsed.as_secs_f64() / RAMP_TIME.as_secs_f64();
        let rise = f64::from(MemberWeight::FULL.permille() - RAMP_START) * part;
        MemberWeight::new(RAMP_START + rise.round() as u16)
    }

    /// Whether the weight is whole, so that the schedule can be dropped.
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
