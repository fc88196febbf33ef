//! Backoff and spreading of reconnections after an outage.
//!
//! Load pattern: the primary changes, or the platform returns after an outage, and every instance
//! reconnects. Without spreading, all of them connect within the same round trip; a new connection
//! costs a member about 12 ms, so the simultaneous connections make the first attempts time out,
//! and retries at a fixed interval coincide again.
//!
//! Thresholds: a first attempt is delayed by a random part of the time that the target needs for
//! all of them ([`CONNECT_COST`] each, [`CONNECT_PARALLEL`] at once). A failed attempt is retried
//! after a random delay up to a bound that doubles from [`BACKOFF_MIN`] to [`BACKOFF_MAX`]. The
//! minimum is two round trips between regions; the maximum lets an instance reconnect within a few
//! seconds of the target's return.

use rand::{Rng, RngExt};
use std::time::Duration;

/// Time that a new connection costs the target.
const CONNECT_COST: Duration = Duration::from_millis(12);

/// Number of new connections that the target handles concurrently.
const CONNECT_PARALLEL: u32 = 4;

/// Upper bound of the delay after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(80);

/// Upper bound of the delay after many failures.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Schedules the attempts to reach one target.
///
/// ```
/// use rand::SeedableRng;
/// use rudder_decisions::ReconnectPacer;
/// use std::time::Duration;
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut pacer = ReconnectPacer::new();
/// assert!(pacer.retry_delay(&mut rng) <= Duration::from_millis(80));
/// assert!(pacer.retry_delay(&mut rng) <= Duration::from_millis(160));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReconnectPacer {
    failures: u32,
}

impl ReconnectPacer {
    /// Creates a pacer without failures.
    ///
    /// ```
    /// let _pacer = rudder_decisions::ReconnectPacer::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the delay before the first attempt, when `connections` connections (from all
    /// instances together) are expected to be opened to the same target at the same time.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// use std::time::Duration;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let pacer = rudder_decisions::ReconnectPacer::new();
    /// assert!(pacer.initial_delay(1, &mut rng) <= Duration::from_millis(3));
    /// ```
    #[must_use]
    pub fn initial_delay(&self, connections: u32, rng: &mut dyn Rng) -> Duration {
        let window = CONNECT_COST * connections / CONNECT_PARALLEL;
        window.min(BACKOFF_MAX).mul_f64(rng.random_range(0.0..1.0))
    }

    /// Returns the delay after a failed attempt.
    ///
    /// See the example of [`ReconnectPacer`].
    pub fn retry_delay(&mut self, rng: &mut dyn Rng) -> Duration {
        let doublings = self.failures.min(10);
        self.failures = self.failures.saturating_add(1);
        let bound = (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Resets the backoff after a successful connection.
    ///
    /// ```
    /// let mut pacer = rudder_decisions::ReconnectPacer::new();
    /// pacer.record_success();
    /// ```
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
