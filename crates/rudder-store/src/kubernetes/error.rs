//! Errors of calls, and what they imply for the effect of the call.

use super::call::ApiVerb;
use crate::store::StoreError;
use std::error::Error;
use std::fmt;
use std::io;

/// Reasons why a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The API responded with an error.
    ErrorResponse(Box<kube::core::Status>),
    /// The request was not sent, or the connection could not be established.
    NotSent(String),
    /// The connection was lost, or the response could not be read.
    ConnectionLost(String),
    /// No response was received before the timeout.
    TimedOut,
}

impl CallError {
    /// Returns the label of the error in the metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::ErrorResponse(status) if status.code == 404 => "absent",
            Self::ErrorResponse(status) if status.code == 409 => "conflict",
            Self::ErrorResponse(_) => "refused",
            Self::NotSent(_) => "unsent",
            Self::ConnectionLost(_) => "broken",
            Self::TimedOut => "timeout",
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ErrorResponse(status) => write!(f, "{}: {}", status.code, status.message),
            Self::NotSent(reason) | Self::ConnectionLost(reason) => f.write_str(reason),
            Self::TimedOut => f.write_str("no response before the timeout"),
        }
    }
}

impl From<kube::Error> for CallError {
    fn from(error: kube::Error) -> Self {
        match error {
            kube::Error::Api(status) => Self::ErrorResponse(status),
            kube::Error::BuildRequest(error) => Self::NotSent(error.to_string()),
            error if is_connect_error(&error) => Self::NotSent(error.to_string()),
            error => Self::ConnectionLost(error.to_string()),
        }
    }
}

/// Whether establishing the connection failed, so that the request cannot have been sent.
fn is_connect_error(error: &kube::Error) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            let kinds = [
                io::ErrorKind::ConnectionRefused,
                io::ErrorKind::HostUnreachable,
                io::ErrorKind::NetworkUnreachable,
            ];
            return kinds.contains(&error.kind());
        }
        cause = error.source();
    }
    false
}

/// Converts the error of a read call.
pub(crate) fn read_error(error: &CallError) -> StoreError {
    match error {
        CallError::ErrorResponse(status) if is_unavailable(status.code) => StoreError::Unavailable,
        CallError::ErrorResponse(status) => StoreError::Refused(status.message.clone()),
        CallError::NotSent(_) | CallError::ConnectionLost(_) | CallError::TimedOut => {
            StoreError::Unavailable
        }
    }
}

/// Converts the error of a write call.
///
/// A write may take effect although its response is lost. Only failures that certainly changed
/// nothing become `Unavailable`. All others become `OutcomeUnknown`, so that the writer reads the
/// object back instead of retrying.
pub(crate) fn write_error(verb: ApiVerb, error: &CallError) -> StoreError {
    match error {
        CallError::ErrorResponse(status) if status.code == 409 => StoreError::Conflict,
        // If the object to replace or delete does not exist, it was deleted since it was read. For
        // a new object, the kind or the namespace does not exist.
        CallError::ErrorResponse(status) if status.code == 404 && verb != ApiVerb::Create => {
            StoreError::Conflict
        }
        CallError::ErrorResponse(status) if status.code == 429 => StoreError::Unavailable,
        CallError::ErrorResponse(status) if status.code >= 500 => StoreError::OutcomeUnknown,
        CallError::ErrorResponse(status) => StoreError::Refused(status.message.clone()),
        CallError::NotSent(_) => StoreError::Unavailable,
        CallError::ConnectionLost(_) | CallError::TimedOut => StoreError::OutcomeUnknown,
    }
}

/// Whether the status code stands for too many requests or a server error.
fn is_unavailable(code: u16) -> bool {
    code == 429 || code >= 500
}
