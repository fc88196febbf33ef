//! Attempts at a conditional update: how many, how far apart, and why one failed.

use super::read::ReadError;
use super::submit::SubmitError;
use crate::store::StoreError;
use std::time::Duration;

/// Operators submit by hand: more rivals than this at one moment are a fault, not a race.
pub(crate) const ATTEMPTS_MAX: u32 = 24;

/// First pause after a conflict; it doubles up to the greatest, and a random part of it is waited.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
const PAUSE_MAX: Duration = Duration::from_millis(500);
const DOUBLINGS_MAX: u32 = 10;

/// Why one attempt came to nothing.
#[derive(Debug)]
pub(crate) enum AttemptFailure {
    /// Another writer came first, or an answer was lost: read again.
    Conflict,
    /// The platform gave no answer: try again.
    Unavailable,
    /// No further attempt can help.
    Refused(SubmitError),
}

impl From<ReadError> for AttemptFailure {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Store(error) => error.into(),
            ReadError::Gone(_) => Self::Conflict,
            ReadError::Shape { .. } => Self::Refused(SubmitError::Platform(error)),
        }
    }
}

impl From<StoreError> for AttemptFailure {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Conflict | StoreError::Unresolved => Self::Conflict,
            StoreError::Unavailable => Self::Unavailable,
            StoreError::Refused(_) => Self::Refused(SubmitError::Platform(ReadError::Store(error))),
        }
    }
}

/// A random part of a pause that doubles with each attempt, so that rivals do not meet again.
pub(crate) fn pause_after(attempt: u32) -> Duration {
    let doubled = PAUSE_FIRST * (1 << attempt.min(DOUBLINGS_MAX));
    doubled.min(PAUSE_MAX).mul_f64(rand::random_range(0.1..1.0))
}
