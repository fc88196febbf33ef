//! Exchange of points in time between two instances whose clocks are unrelated.

use serde::{Deserialize, Serialize};
use std::time::Duration;

const NANOS_PER_MS: u128 = 1_000_000;

/// Point in time in milliseconds from when its sender received a request; negative before that.
///
/// The requester adds it to the time at which it sent the request, which was earlier. The result is
/// therefore never later than the actual time, however long request and response were in transit,
/// and one request can get several responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct RequestOffset(i64);

impl RequestOffset {
    /// Returns the offset of `moment`, rounded down; `None` for zero, which stands for a time that
    /// never occurred.
    pub(crate) fn of(moment: Duration, received_at: Duration) -> Option<Self> {
        if moment.is_zero() {
            return None;
        }
        let moment_ms = to_ms(moment.as_nanos() / NANOS_PER_MS);
        let received_ms = to_ms(received_at.as_nanos().div_ceil(NANOS_PER_MS));
        Some(Self(moment_ms.saturating_sub(received_ms)))
    }

    /// Returns the point in time, or an earlier one, by the clock of the instance that sent the
    /// request at `sent_at`.
    pub(crate) fn to_moment(self, sent_at: Duration) -> Duration {
        let offset = Duration::from_millis(self.0.unsigned_abs());
        if self.0 < 0 { sent_at.saturating_sub(offset) } else { sent_at.saturating_add(offset) }
    }
}

fn to_ms(count: u128) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
