//! Moments that two instances speak of, whose clocks have nothing in common.

use serde::{Deserialize, Serialize};
use std::time::Duration;

const NANOS_PER_MS: u128 = 1_000_000;

/// A moment in milliseconds from when its sender received a question; negative before that.
///
/// The asker counts it from when it sent the question, which was earlier. So what is told never
/// looks newer than it is, however long question and answer were under way, and one question can
/// be answered more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct QuestionOffset(i64);

impl QuestionOffset {
    /// The offset of `moment`, rounded down; none for a moment that never was.
    pub(crate) fn of(moment: Duration, received_at: Duration) -> Option<Self> {
        if moment.is_zero() {
            return None;
        }
        let moment_ms = to_ms(moment.as_nanos() / NANOS_PER_MS);
        let received_ms = to_ms(received_at.as_nanos().div_ceil(NANOS_PER_MS));
        Some(Self(moment_ms.saturating_sub(received_ms)))
    }

    /// The moment by the clock of the instance that sent the question at `asked_at`, or earlier.
    pub(crate) fn since(self, asked_at: Duration) -> Duration {
        let offset = Duration::from_millis(self.0.unsigned_abs());
        if self.0 < 0 { asked_at.saturating_sub(offset) } else { asked_at.saturating_add(offset) }
    }
}

fn to_ms(count: u128) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
