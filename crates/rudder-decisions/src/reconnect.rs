//! When to try a connection again, and how reconnections spread after an outage.
//!
//! Load pattern: a primary changes, or the platform returns after an outage, and every instance
//! reconnects. Without spreading all of them arrive in the same round trip; a new connection costs
//! a member about 12 ms, so the crowd itself makes the first tries time out, and tries repeated at
//! a fixed interval arrive together again. Thresholds: a first try is spread over the time that the
//! other side needs for all of them ([`CONNECT_COST`] each, [`CONNECT_PARALLEL`] at once); a failed
//! one is repeated after a random time up to a bound that doubles from [`BACKOFF_MIN`] to
//! [`BACKOFF_MAX`]. The smallest bound is two round trips between regions; the greatest keeps an
//! instance within a few seconds of a side that has returned.

use rand::{Rng, RngExt};
use std::time::Duration;

/// What a new connection costs the other side.
const CONNECT_COST: Duration = Duration::from_millis(12);

/// New connections that the other side works on at once.
const CONNECT_PARALLEL: u32 = 4;

/// Bound of the wait after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(80);

/// Bound of the wait after many failures.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Times the tries to reach one other side.
///
/// ```
/// use rand::SeedableRng;
/// use rudder_decisions::ReconnectPacer;
/// use std::time::Duration;
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let mut pacer = ReconnectPacer::new();
/// assert!(pacer.after_failure(&mut rng) <= Duration::from_millis(80));
/// assert!(pacer.after_failure(&mut rng) <= Duration::from_millis(160));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReconnectPacer {
    failures: u32,
}

impl ReconnectPacer {
    /// A pacer without failures.
    ///
    /// ```
    /// let _pacer = rudder_decisions::ReconnectPacer::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// How long to wait before the first try, when `connections` connections (from all instances
    /// together) are expected to be opened to the same side at the same time.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// use std::time::Duration;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let pacer = rudder_decisions::ReconnectPacer::new();
    /// assert!(pacer.first_try(1, &mut rng) <= Duration::from_millis(3));
    /// ```
    #[must_use]
    pub fn first_try(&self, connections: u32, rng: &mut dyn Rng) -> Duration {
        let window = CONNECT_COST * connections / CONNECT_PARALLEL;
        window.min(BACKOFF_MAX).mul_f64(rng.random_range(0.0..1.0))
    }

    /// How long to wait after a failed try.
    ///
    /// See the example of [`ReconnectPacer`].
    pub fn after_failure(&mut self, rng: &mut dyn Rng) -> Duration {
        let doublings = self.failures.min(10);
        self.failures = self.failures.saturating_add(1);
        let bound = (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Forgets the failures once a connection works.
    ///
    /// ```
    /// let mut pacer = rudder_decisions::ReconnectPacer::new();
    /// pacer.succeed();
    /// ```
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}
