//! Token bucket that reserves its last tokens for the most important messages.

use std::time::Duration;

/// Bytes that IPv4 and UDP add to each datagram; they are charged to the budget too.
pub(crate) const DATAGRAM_OVERHEAD_BYTES: u64 = 28;

/// Priority class of a datagram. Each class leaves part of the bucket to the more important ones.
///
/// Without the reserves, the budget itself could cause failures: if hints used up the bucket,
/// responses to heartbeats would not be sent, live instances would be suspected, and the resulting
/// updates would use up the bucket again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendClass {
    /// Heartbeats and their responses.
    Heartbeat,
    /// Membership updates and urgent hints.
    Updates,
    /// Routine hints.
    Routine,
}

impl SendClass {
    const fn reserve_percent(self) -> i64 {
        match self {
            Self::Heartbeat => 0,
            Self::Updates => 30,
            Self::Routine => 60,
        }
    }
}

/// Token bucket that counts in thousandths of a byte, so that short intervals are not lost to
/// rounding.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_bytes_per_second: i64,
    depth_millibytes: i64,
    level_millibytes: i64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(bytes_per_second: u64, depth_bytes: u64, now: Duration) -> Self {
        let depth_millibytes = to_i64(depth_bytes).saturating_mul(1000);
        Self {
            rate_bytes_per_second: to_i64(bytes_per_second),
            depth_millibytes,
            level_millibytes: depth_millibytes,
            filled_at: now,
        }
    }

    /// Whether `bytes` of this class may be sent now.
    pub(crate) fn allows(&mut self, bytes: u64, class: SendClass, now: Duration) -> bool {
        self.fill(now);
        let reserve = self.depth_millibytes / 100 * class.reserve_percent();
        self.level_millibytes - to_i64(bytes).saturating_mul(1000) >= reserve
    }

    /// Consumes `bytes`. The level may become negative; the debt is repaid as the bucket refills.
    pub(crate) fn take(&mut self, bytes: u64) {
        self.level_millibytes =
            self.level_millibytes.saturating_sub(to_i64(bytes).saturating_mul(1000));
    }

    /// Consumes `bytes` unless there is debt from an earlier transfer. Allows transfers that are
    /// larger than the bucket.
    pub(crate) fn take_with_debt(&mut self, bytes: u64, now: Duration) -> bool {
        self.fill(now);
        let allowed = self.level_millibytes > 0;
        if allowed {
            self.take(bytes);
        }
        allowed
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        let millis = to_i64(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
        let gained = self.rate_bytes_per_second.saturating_mul(millis);
        self.level_millibytes =
            self.level_millibytes.saturating_add(gained).min(self.depth_millibytes);
        self.filled_at = self
            .filled_at
            .saturating_add(Duration::from_millis(u64::try_from(millis).unwrap_or_default()));
    }
}

fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
