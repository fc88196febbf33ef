//! How long a forwarded request would wait for a connection at its holder.
//!
//! Load pattern: many instances forward to one holder, whose connections serve a bounded rate. When
//! more arrives, its queue grows, every request waits until its deadline and is refused there, and
//! the time for another attempt elsewhere is lost. The rate at which requests end while others wait
//! gives the expected wait of the next one; a request that cannot wait as long is declined at once,
//! while its origin can still use another holder. Below the number of connections everything is
//! admitted, so that an estimate from an earlier load cannot block the holder.

use std::time::{Duration, Instant};

/// Weight of a new interval in the moving average (one part in this many). Connections that began
/// together end together, so single intervals say little; the average has to cover several rounds of
/// a dozen connections.
const AVERAGE_DIVISOR: u32 = 32;

/// Forwarded requests in progress for the same connections, and the rate at which they end.
///
/// ```
/// use rudder_decisions::ForwardedLoad;
/// use std::time::{Duration, Instant};
/// let mut load = ForwardedLoad::default();
/// let began_at = Instant::now();
/// let wait = Duration::from_millis(50);
/// // Without an estimate everything is admitted.
/// assert!((0..4).all(|_| load.try_begin(1, wait)));
/// load.end(1, true, began_at);
/// load.end(1, true, began_at + Duration::from_millis(40));
/// // One is served and one waits: the next one is expected to wait for two of 40 ms.
/// assert!(!load.try_begin(1, wait));
/// assert!(load.try_begin(1, Duration::from_millis(80)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ForwardedLoad {
    in_progress: u32,
    /// Average time between the ends of two requests while requests wait.
    end_interval: Option<Duration>,
    /// End of the last request that was served, if requests have waited since.
    busy_since: Option<Instant>,
}

impl ForwardedLoad {
    /// Begins a request that may wait for `wait` until one of `connections` is free; returns
    /// whether it is admitted.
    pub fn try_begin(&mut self, connections: u32, wait: Duration) -> bool {
        if self.expected_wait(connections) > wait {
            return false;
        }
        self.in_progress += 1;
        true
    }

    /// Returns the time that the next request is expected to wait for one of `connections`.
    ///
    /// See the example of [`ForwardedLoad`].
    #[must_use]
    pub fn expected_wait(&self, connections: u32) -> Duration {
        match (self.in_progress.checked_sub(connections), self.end_interval) {
            (Some(waiting), Some(interval)) => interval.saturating_mul(waiting.saturating_add(1)),
            _ => Duration::ZERO,
        }
    }

    /// Ends a request at `now`. A request that was not served, because it waited in vain, says
    /// nothing about the rate at which connections become free.
    ///
    /// See the example of [`ForwardedLoad`].
    pub fn end(&mut self, connections: u32, served: bool, now: Instant) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let is_busy = self.in_progress >= connections;
        if !served {
            self.busy_since = self.busy_since.filter(|_| is_busy);
            return;
        }
        if let Some(since) = self.busy_since {
            let interval = now.saturating_duration_since(since);
            self.end_interval = Some(match self.end_interval {
                None => interval,
                Some(known) => known - known / AVERAGE_DIVISOR + interval / AVERAGE_DIVISOR,
            });
        }
        self.busy_since = is_busy.then_some(now);
    }
}
