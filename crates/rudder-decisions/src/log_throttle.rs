//! Limit on the lines about events that callers can cause at any rate.
//!
//! Load pattern: callers are refused thousands of times a second. A line for each refusal costs more
//! than the refusal, and fills the queue of the log, so that other lines are dropped.

use std::time::{Duration, Instant};

/// Interval between two lines about the same kind of event.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Events that have not been logged, and when the last line was due.
///
/// ```
/// use rudder_decisions::LogThrottle;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut throttle = LogThrottle::default();
/// assert_eq!(throttle.record(1, now), Some(1));
/// assert_eq!(throttle.record(3, now), None);
/// assert_eq!(throttle.record(2, now + Duration::from_secs(1)), Some(5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogThrottle {
    unlogged: u64,
    logged_at: Option<Instant>,
}

impl LogThrottle {
    /// Counts events; returns the number to log if a line is due.
    pub fn record(&mut self, count: u64, now: Instant) -> Option<u64> {
        self.unlogged += count;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LINE_INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}
