//! Token bucket of one account.

use std::time::Duration;

/// Units per operation: buckets count in millionths of an operation.
const MICRO_PER_OPERATION: u64 = 1_000_000;

/// Rate limit and burst of an account's operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationLimit {
    /// Rate in thousandths of an operation per second.
    pub milli_per_second: u64,
    /// Number of operations that may run at once beyond the rate.
    pub burst: u32,
}

impl OperationLimit {
    /// Returns the number of operations that may run in a window, rounded down.
    ///
    /// ```
    /// use rudder_decisions::OperationLimit;
    /// use std::time::Duration;
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 10 };
    /// assert_eq!(limit.in_window(Duration::from_secs(5)), 60);
    /// ```
    #[must_use]
    pub fn in_window(self, window: Duration) -> u64 {
        refilled(self.milli_per_second, window) / MICRO_PER_OPERATION + u64::from(self.burst)
    }

    /// Returns the capacity of a bucket: at least one operation if the rate is not zero, as
    /// otherwise no operation could ever run.
    fn capacity(self) -> u64 {
        let burst = if self.milli_per_second > 0 { self.burst.max(1) } else { self.burst };
        u64::from(burst) * MICRO_PER_OPERATION
    }
}

/// Returns the millionths of operations that a rate adds in a time.
fn refilled(milli_per_second: u64, time: Duration) -> u64 {
    let micro_operations = u128::from(milli_per_second) * time.as_micros() / 1000;
    u64::try_from(micro_operations).unwrap_or(u64::MAX)
}

/// Token bucket of operations, refilled at the limit's rate up to its burst.
///
/// ```
/// use rudder_decisions::{OperationBucket, OperationLimit};
/// use std::time::Duration;
/// let limit = OperationLimit { milli_per_second: 10_000, burst: 2 };
/// let mut bucket = OperationBucket::new(limit, 1, Duration::ZERO);
/// assert_eq!(bucket.take(limit, Duration::ZERO), Ok(()));
/// assert_eq!(bucket.take(limit, Duration::ZERO), Err(Duration::from_millis(100)));
/// assert_eq!(bucket.take(limit, Duration::from_millis(100)), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct OperationBucket {
    micro_operations: u64,
    refilled_at: Duration,
}

impl OperationBucket {
    /// Creates a bucket that holds `start` operations, at most the burst.
    ///
    /// See the example of [`OperationBucket`].
    #[must_use]
    pub fn new(limit: OperationLimit, start: u64, now: Duration) -> Self {
        Self {
            micro_operations: start.saturating_mul(MICRO_PER_OPERATION).min(limit.capacity()),
            refilled_at: now,
        }
    }

    /// Takes one operation out of the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the next operation is available if the bucket is empty.
    ///
    /// See the example of [`OperationBucket`].
    pub fn take(&mut self, limit: OperationLimit, now: Duration) -> Result<(), Duration> {
        let refill = refilled(limit.milli_per_second, now.saturating_sub(self.refilled_at));
        self.micro_operations = self.micro_operations.saturating_add(refill).min(limit.capacity());
        self.refilled_at = self.refilled_at.max(now);
        if self.micro_operations >= MICRO_PER_OPERATION {
            self.micro_operations -= MICRO_PER_OPERATION;
            return Ok(());
        }
        let missing = u128::from(MICRO_PER_OPERATION - self.micro_operations) * 1000;
        match u128::from(limit.milli_per_second) {
            0 => Err(Duration::MAX),
            rate => Err(Duration::from_micros(u64::try_from(missing / rate).unwrap_or(u64::MAX))),
        }
    }

    /// Reduces the content to at most `operations` and starts to refill again at `now`.
    ///
    /// ```
    /// use rudder_decisions::{OperationBucket, OperationLimit};
    /// use std::time::Duration;
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 2 };
    /// let mut bucket = OperationBucket::new(limit, 2, Duration::ZERO);
    /// bucket.reduce(0, Duration::from_secs(9));
    /// let expected = Err(Duration::from_millis(100));
    /// assert_eq!(bucket.take(limit, Duration::from_secs(9)), expected);
    /// ```
    pub fn reduce(&mut self, operations: u64, now: Duration) {
        let micro_operations = operations.saturating_mul(MICRO_PER_OPERATION);
        self.micro_operations = self.micro_operations.min(micro_operations);
        self.refilled_at = now;
    }
}
