//! A limit that each instance adapts from latency: tried, and not better than a fixed window.
//!
//! It falls by a part when answers take twice the uncontended time, at most once per limit's worth
//! of answers, and rises by one slot per limit's worth of answers while it is in use.

use std::time::Duration;

const LATENCY_TOLERANCE: f64 = 2.0;
const RECENT_GAIN: f64 = 0.03;
const BASELINE_FALL: f64 = 0.05;
const BASELINE_RISE: f64 = 0.0005;
const DECREASE_FACTOR: f64 = 0.85;

/// The adapted limit of one instance for one member.
pub(crate) struct AdaptiveLimit {
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

    /// The limit now.
    pub(crate) fn limit(&self) -> u32 {
        self.limit.floor().max(1.0) as u32
    }

    /// Takes in one answer.
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
