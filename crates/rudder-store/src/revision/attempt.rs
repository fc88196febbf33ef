//! Attempts at a conditional update: how many, how far apart, and why one failed.

use super::read::ReadError;
use super::submit::SubmitError;
use crate::store::StoreError;
use std::time::Duration;

/// Operators submit by hand: more rivals than this at one moment are a fault, not a race.
pub(crate) const ATTEMPTS_MAX: u32 = 24;

/// First pause after a conflict; it doubles up to the greatest, and a random part of it is waited.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(20);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
const DOUBLINGS_MAX: u32 = 10;

/// Why one attempt came to nothing.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// Another writer came first, or an answer was lost: read again.
    Conflict,
    /// The platform gave no answer: try again.
    Unavailable,
    /// No further attempt can help.
    Fatal(SubmitError),
}

impl From<ReadError> for AttemptError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Store(error) => error.into(),
            ReadError::Missing(_) => Self::Conflict,
            ReadError::Malformed { .. } => Self::Fatal(SubmitError::Platform(error)),
        }
    }
}

impl From<StoreError> for AttemptError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Conflict | StoreError::Unresolved => Self::Conflict,
            StoreError::Unavailable => Self::Unavailable,
            StoreError::Refused(_) => Self::Fatal(SubmitError::Platform(ReadError::Store(error))),
        }
    }
}

/// A random part of a pause that doubles with each attempt, so that rivals do not meet again.
pub(crate) fn retry_delay(attempt: u32) -> Duration {
    let doubled = RETRY_DELAY_BASE * (1 << attempt.min(DOUBLINGS_MAX));
    doubled.min(RETRY_DELAY_MAX).mul_f64(rand::random_range(0.1..1.0))
}
