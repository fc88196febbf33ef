//! Concurrency limit that each instance adapts from latency (additive increase, multiplicative
//! decrease). The proxy does not use it, as it is not better than a fixed window.
//!
//! The limit is multiplied by [`DECREASE_FACTOR`] when responses take more than
//! [`LATENCY_TOLERANCE`] times the uncontended time, at most once per `limit` responses. It rises
//! by one slot per `limit` responses while it is fully used.

use std::time::Duration;

/// Ratio of recent to uncontended latency above which the limit falls.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Weight of one response in the recent latency.
const RECENT_GAIN: f64 = 0.03;
/// Weight of the recent latency in a falling baseline.
const BASELINE_FALL: f64 = 0.05;
/// Weight of the recent latency in a rising baseline.
const BASELINE_RISE: f64 = 0.0005;
const DECREASE_FACTOR: f64 = 0.85;

/// Adapted limit of one instance for one member.
pub(crate) struct AdaptiveLimit {
    /// Upper bound of the limit.
    slots: f64,
    limit: f64,
    recent_s: f64,
    baseline_s: f64,
    until_decrease: u32,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the member's slots.
    pub(crate) fn new(slots: u32, initial_service_time: Duration) -> Self {
        let slots = f64::from(slots);
        let initial_service_time_s = initial_service_time.as_secs_f64();
        Self {
            slots,
            limit: slots,
            recent_s: initial_service_time_s,
            baseline_s: initial_service_time_s,
            until_decrease: 0,
        }
    }

    /// Returns the current limit, at least one.
    pub(crate) fn limit(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Records the latency of a response and the statements in flight at that time.
    pub(crate) fn observe(&mut self, latency: Duration, in_flight: u32) {
        self.recent_s += RECENT_GAIN * (latency.as_secs_f64() - self.recent_s);
        let falls = self.recent_s < self.baseline_s;
        let gain = if falls { BASELINE_FALL } else { BASELINE_RISE };
        self.baseline_s += gain * (self.recent_s - self.baseline_s);
        self.until_decrease = self.until_decrease.saturating_sub(1);
        if self.recent_s > LATENCY_TOLERANCE * self.baseline_s {
            self.decrease();
        } else if in_flight >= self.limit() {
            self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
        }
    }

    fn decrease(&mut self) {
        if self.until_decrease == 0 {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            self.until_decrease = self.limit();
        }
    }
}
