//! What a failed call says about its effect.

use super::call::ApiVerb;
use crate::store::StoreError;
use std::error::Error;
use std::fmt;
use std::io;

/// How a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The API answered with an error.
    ErrorResponse(Box<kube::core::Status>),
    /// Nothing left this process, or nobody listens at the address.
    NotSent(String),
    /// The connection broke, or the answer could not be read.
    ConnectionLost(String),
    /// No answer came in time.
    TimedOut,
}

impl CallError {
    /// The fault as the metrics name it.
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
            Self::TimedOut => f.write_str("no answer in time"),
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

/// Whether connecting itself failed, so that the request cannot have been sent.
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

/// The error of a call that changes nothing.
pub(crate) fn read_error(error: &CallError) -> StoreError {
    match error {
        CallError::ErrorResponse(status) if is_unavailable(status.code) => StoreError::Unavailable,
        CallError::ErrorResponse(status) => StoreError::Refused(status.message.clone()),
        CallError::NotSent(_) | CallError::ConnectionLost(_) | CallError::TimedOut => {
            StoreError::Unavailable
        }
    }
}

/// The error of a call that changes something.
///
/// Guards against a change that took effect although its answer was lost: only what provably left
/// nothing behind is reported as unavailable, everything else as unresolved, so that the writer
/// reads back instead of trying again.
pub(crate) fn write_error(verb: ApiVerb, error: &CallError) -> StoreError {
    match error {
        CallError::ErrorResponse(status) if status.code == 409 => StoreError::Conflict,
        // A replaced or removed object that is gone was changed since it was read. For a new one
        // it is the kind or the namespace that is missing.
        CallError::ErrorResponse(status) if status.code == 404 && verb != ApiVerb::Create => {
            StoreError::Conflict
        }
        CallError::ErrorResponse(status) if status.code == 429 => StoreError::Unavailable,
        CallError::ErrorResponse(status) if status.code >= 500 => StoreError::Unresolved,
        CallError::ErrorResponse(status) => StoreError::Refused(status.message.clone()),
        CallError::NotSent(_) => StoreError::Unavailable,
        CallError::ConnectionLost(_) | CallError::TimedOut => StoreError::Unresolved,
    }
}

/// Too many requests, or a server that cannot answer now.
fn is_unavailable(code: u16) -> bool {
    code == 429 || code >= 500
}
