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

    /// Returns how many operations may be put back within a window: half of the capacity of a
    /// bucket.
    ///
    /// ```
    /// let limit = rudder_decisions::OperationLimit { milli_per_second: 10_000, burst: 10 };
    /// assert_eq!(limit.returns_max(), 5);
    /// ```
    #[must_use]
    pub fn returns_max(self) -> u64 {
        self.capacity() / MICRO_PER_OPERATION / 2
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
    /// Capacity at the last refill.
    capacity: u64,
    /// Number of refills that left the bucket more than half full, and of changes of its content or
    /// capacity by other means. Tokens taken before the last of them might have been lost, so they
    /// cannot be put back.
    fills: u64,
}

/// Content of a bucket and the rate at which it is refilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSupply {
    /// Whole operations in the bucket.
    pub available: u64,
    /// Time until one more operation is available.
    pub next_after: Duration,
    /// Rate in force, in thousandths of an operation per second.
    pub milli_per_second: u64,
    /// Number of refills that left the bucket more than half full, and of changes of its content or
    /// capacity by other means.
    pub fills: u64,
}

impl TokenSupply {
    /// Returns the time in which a rate adds thousandths of operations.
    pub(super) fn time_to_add(milli_operations: u64, milli_per_second: u64) -> Duration {
        let micros = u128::from(milli_operations) * 1_000_000;
        match u128::from(milli_per_second) {
            0 => Duration::MAX,
            rate => Duration::from_micros(u64::try_from(micros / rate).unwrap_or(u64::MAX)),
        }
    }
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
            capacity: limit.capacity(),
            fills: 0,
        }
    }

    /// Returns the content of the bucket and its refill rate.
    ///
    /// ```
    /// use rudder_decisions::{OperationBucket, OperationLimit};
    /// use std::time::Duration;
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 2 };
    /// let mut bucket = OperationBucket::new(limit, 1, Duration::ZERO);
    /// let supply = bucket.supply(limit, Duration::from_millis(50));
    /// assert_eq!((supply.available, supply.next_after.as_millis()), (1, 50));
    /// ```
    pub fn supply(&mut self, limit: OperationLimit, now: Duration) -> TokenSupply {
        self.refill(limit, now);
        TokenSupply {
            available: self.micro_operations / MICRO_PER_OPERATION,
            next_after: self.time_to_next(limit),
            milli_per_second: limit.milli_per_second,
            fills: self.fills,
        }
    }

    /// Puts back an operation that did not run. `fills` is the supply's count at the time when it
    /// was taken. Returns false if the bucket has been more than half full since.
    ///
    /// If the operation had never been taken, the bucket would have held one more since then, unless
    /// it had overflowed. As at most [`OperationLimit::returns_max`] operations may be outstanding
    /// and put back later, a bucket that was at most half full would not have overflowed, so no more
    /// operations run than a bucket of the ones that ran alone would allow.
    ///
    /// ```
    /// use rudder_decisions::{OperationBucket, OperationLimit};
    /// use std::time::Duration;
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 4 };
    /// let mut bucket = OperationBucket::new(limit, 1, Duration::ZERO);
    /// let fills = bucket.supply(limit, Duration::ZERO).fills;
    /// bucket.take(limit, Duration::ZERO).expect("one operation");
    /// assert!(bucket.put_back(limit, fills, Duration::from_millis(10)));
    /// assert!(!bucket.put_back(limit, fills, Duration::from_secs(1)));
    /// ```
    pub fn put_back(&mut self, limit: OperationLimit, fills: u64, now: Duration) -> bool {
        self.refill(limit, now);
        if self.fills != fills {
            return false;
        }
        let increased = self.micro_operations.saturating_add(MICRO_PER_OPERATION);
        self.micro_operations = increased.min(limit.capacity());
        true
    }

    fn refill(&mut self, limit: OperationLimit, now: Duration) {
        let refill = refilled(limit.milli_per_second, now.saturating_sub(self.refilled_at));
        let content = self.micro_operations.saturating_add(refill);
        let half = limit.capacity() - limit.returns_max() * MICRO_PER_OPERATION;
        // A bucket whose capacity changes may overflow, or may have overflowed below half of the
        // new capacity.
        if refill > 0 && content > half || limit.capacity() != self.capacity {
            self.fills += 1;
        }
        self.capacity = limit.capacity();
        self.micro_operations = content.min(limit.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the time until the bucket holds one more whole operation.
    fn time_to_next(&self, limit: OperationLimit) -> Duration {
        let partial = self.micro_operations % MICRO_PER_OPERATION;
        let missing = u128::from(MICRO_PER_OPERATION - partial) * 1000;
        match u128::from(limit.milli_per_second) {
            0 => Duration::MAX,
            rate => Duration::from_micros(u64::try_from(missing / rate).unwrap_or(u64::MAX)),
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
        self.refill(limit, now);
        if self.micro_operations >= MICRO_PER_OPERATION {
            self.micro_operations -= MICRO_PER_OPERATION;
            return Ok(());
        }
        Err(self.time_to_next(limit))
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
        self.fills += 1;
    }

    /// Fills the bucket with `start` operations, as a new one.
    ///
    /// ```
    /// use rudder_decisions::{OperationBucket, OperationLimit};
    /// use std::time::Duration;
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 4 };
    /// let mut bucket = OperationBucket::new(limit, 1, Duration::ZERO);
    /// let fills = bucket.supply(limit, Duration::ZERO).fills;
    /// bucket.take(limit, Duration::ZERO).expect("one operation");
    /// bucket.restart(limit, 0, Duration::ZERO);
    /// assert!(!bucket.put_back(limit, fills, Duration::ZERO), "taken from the earlier content");
    /// ```
    pub fn restart(&mut self, limit: OperationLimit, start: u64, now: Duration) {
        *self = Self { fills: self.fills + 1, ..Self::new(limit, start, now) };
    }
}
