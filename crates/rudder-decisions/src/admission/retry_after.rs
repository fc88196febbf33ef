//! When refused callers are told to come back.
//!
//! Load pattern: a burst far above what a lane serves. Without spreading, everyone who was refused
//! in the same moment is told the same time and returns in the same moment, so the burst repeats
//! itself. Here each refusal reserves the next return time at the pace at which the lane serves,
//! so the returns arrive no faster than they can be served.

use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// No caller is told to come back sooner: a return costs a round trip and a routing decision.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// No caller is told to come back later. Refusals beyond it share the second half of the time.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Share of the time that is drawn at random, so that lanes and instances do not agree by chance.
const JITTER_FRACTION: f64 = 0.25;

/// Hands out return times.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryPacer {
    next_retry_at: Option<Instant>,
}

impl RetryPacer {
    /// The next return time: not before the `backlog` is served, and `slot_interval` after the last one.
    pub(crate) fn next_delay(
        &mut self,
        backlog: Duration,
        slot_interval: Duration,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Duration {
        let earliest = now + backlog.max(RETRY_AFTER_MIN);
        let next = self.next_retry_at.map_or(earliest, |last| earliest.max(last + slot_interval));
        let wait = next.duration_since(now);
        if wait > RETRY_AFTER_MAX {
            return RETRY_AFTER_MAX.mul_f64(rng.random_range(0.5..1.0));
        }
        self.next_retry_at = Some(next);
        wait.mul_f64(rng.random_range(1.0..1.0 + JITTER_FRACTION))
    }
}
