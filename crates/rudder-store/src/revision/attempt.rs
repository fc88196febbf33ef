//! Retry policy and errors for attempts at a conditional update.

use super::read::ReadError;
use super::submit::SubmitError;
use crate::store::StoreError;
use std::time::Duration;

/// Maximum number of attempts. Operators submit manually, so more conflicts than this indicate a
/// fault rather than concurrent submissions.
pub(crate) const ATTEMPTS_MAX: u32 = 24;

/// Base delay after a failed attempt. It doubles with each attempt up to the maximum, and a random
/// fraction of it is used.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(20);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
const DOUBLINGS_MAX: u32 = 10;

/// Reasons why one attempt failed.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// Another writer made a change, or a response was lost: read again and retry.
    Conflict,
    /// The platform did not respond: retry.
    Unavailable,
    /// The error is permanent; a retry cannot succeed.
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
            StoreError::Conflict | StoreError::OutcomeUnknown => Self::Conflict,
            StoreError::Unavailable => Self::Unavailable,
            StoreError::Refused(_) => Self::Fatal(SubmitError::Platform(ReadError::Store(error))),
        }
    }
}

/// Returns the exponential backoff for this attempt, with jitter so that concurrent writers do not
/// retry at the same time.
pub(crate) fn retry_delay(attempt: u32) -> Duration {
    let doubled = RETRY_DELAY_BASE * (1 << attempt.min(DOUBLINGS_MAX));
    doubled.min(RETRY_DELAY_MAX).mul_f64(rand::random_range(0.1..1.0))
}
