//! Retry delays for refused callers.
//!
//! Load pattern: a burst far above the capacity of a lane. Without spreading, all callers that are
//! refused at the same moment get the same delay and retry at the same moment, so the burst
//! repeats. Each refusal therefore reserves the next retry time at the rate at which the lane
//! serves requests, so that retries arrive no faster than they can be served.

use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Minimum delay: each retry costs a round trip and a routing decision.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Maximum delay. Refusals that would exceed it get a random delay in its second half.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Fraction of the delay that is added as random jitter, so that the retry times of several lanes
/// and instances do not coincide.
const JITTER_FRACTION: f64 = 0.25;

/// Assigns retry times to refused requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryPacer {
    next_retry_at: Option<Instant>,
}

impl RetryPacer {
    /// Returns the delay until the next retry time: not before the `backlog` is served, and
    /// `slot_interval` after the previous retry time.
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
