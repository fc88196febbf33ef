//! The outcome classes of requests that did not succeed, and the SQLSTATEs that callers receive.

use std::fmt;
use std::time::Duration;

/// The conclusion that a caller may draw about a request that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OutcomeClass {
    /// The request did not run; it may be sent again.
    NotRun,
    /// The request may or may not have taken effect.
    Unknown,
    /// The endpoint ran the request and returned an error of its own.
    Failed,
    /// A request with the same key has already run, here or elsewhere, and its change is kept.
    AlreadyRun,
}

impl fmt::Display for OutcomeClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
            Self::AlreadyRun => "already_run",
        })
    }
}

/// SQLSTATE of a rejection because too many requests are waiting.
const OVERLOADED: &str = "53300";
/// SQLSTATE of a rejection because no primary is confirmed.
const NO_PRIMARY: &str = "57P03";
/// SQLSTATE of a rejection because the instance is shutting down.
const LEAVING: &str = "57P01";
/// SQLSTATE of a request whose outcome cannot be determined.
const UNRESOLVED: &str = "08007";
/// SQLSTATE of a read for which no member has recent enough data.
const TOO_STALE: &str = "RU002";
/// SQLSTATE of a request whose key has already run.
const ALREADY_RUN: &str = "RU003";
/// SQLSTATE of a transaction that was rolled back before its commit was sent.
const TRANSACTION_LOST: &str = "40000";
/// SQLSTATE of a request that the proxy cannot serve as it was sent.
const UNSUPPORTED: &str = "0A000";

/// A rejection by the proxy itself, as opposed to an error returned by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefusalNotice {
    /// Too many requests are waiting, for this service or this caller.
    Overloaded {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// No primary is confirmed.
    NoPrimary {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// No settings are in force yet at this instance.
    Starting {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// No member has data recent enough for the session or the staleness bound.
    TooStale {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// This instance is shutting down.
    Leaving,
    /// The request was sent, and whether it took effect is not known.
    Unresolved,
    /// A request with this key has already run.
    AlreadyRun {
        /// The result of the first run: the command tag of its last statement.
        outcome: String,
    },
    /// The transaction's connection failed before its commit was sent: it was rolled back.
    TransactionLost,
    /// The request is not supported as sent.
    Unsupported(String),
}

impl RefusalNotice {
    /// Returns the outcome class that the caller may rely on.
    ///
    /// ```
    /// use rudder_core::{OutcomeClass, RefusalNotice};
    /// assert_eq!(RefusalNotice::Unresolved.class(), OutcomeClass::Unknown);
    /// ```
    #[must_use]
    pub fn class(&self) -> OutcomeClass {
        match self {
            Self::Unresolved => OutcomeClass::Unknown,
            Self::AlreadyRun { .. } => OutcomeClass::AlreadyRun,
            _ => OutcomeClass::NotRun,
        }
    }

    /// Returns the SQLSTATE sent to the caller.
    ///
    /// ```
    /// assert_eq!(rudder_core::RefusalNotice::Unresolved.sqlstate(), "08007");
    /// ```
    #[must_use]
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Self::Overloaded { .. } => OVERLOADED,
            Self::NoPrimary { .. } | Self::Starting { .. } => NO_PRIMARY,
            Self::TooStale { .. } => TOO_STALE,
            Self::Leaving => LEAVING,
            Self::Unresolved => UNRESOLVED,
            Self::AlreadyRun { .. } => ALREADY_RUN,
            Self::TransactionLost => TRANSACTION_LOST,
            Self::Unsupported(_) => UNSUPPORTED,
        }
    }

    /// Returns the delay after which the caller may retry, if it is known.
    ///
    /// ```
    /// assert_eq!(rudder_core::RefusalNotice::Leaving.retry_after(), None);
    /// ```
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Overloaded { retry_after }
            | Self::NoPrimary { retry_after }
            | Self::Starting { retry_after }
            | Self::TooStale { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

impl fmt::Display for RefusalNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overloaded { .. } => f.write_str("not run: too many requests are waiting"),
            Self::NoPrimary { .. } => f.write_str("not run: no primary is confirmed at present"),
            Self::Starting { .. } => f.write_str("not run: no settings are in force here yet"),
            Self::TooStale { .. } => f.write_str("not run: no member is fresh enough at present"),
            Self::Leaving => f.write_str("not run: this instance is shutting down"),
            Self::Unresolved => f.write_str("outcome unknown: the request may have taken effect"),
            Self::AlreadyRun { outcome } => {
                write!(f, "not run again: a request with this key has run: {outcome}")
            }
            Self::TransactionLost => {
                f.write_str("not run: the transaction was rolled back as its connection failed")
            }
            Self::Unsupported(what) => write!(f, "not run: {what}"),
        }
    }
}
