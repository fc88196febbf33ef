//! What a failed call says about its effect.

use super::call::ApiVerb;
use crate::store::StoreError;
use std::error::Error;
use std::fmt;
use std::io;

/// How a call failed.
#[derive(Debug)]
pub(crate) enum CallFault {
    /// The API answered with an error.
    Answered(Box<kube::core::Status>),
    /// Nothing left this process, or nobody listens at the address.
    Unsent(String),
    /// The connection broke, or the answer could not be read.
    Broken(String),
    /// No answer came in time.
    Silent,
}

impl CallFault {
    /// The fault as the metrics name it.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Answered(status) if status.code == 404 => "absent",
            Self::Answered(status) if status.code == 409 => "conflict",
            Self::Answered(_) => "refused",
            Self::Unsent(_) => "unsent",
            Self::Broken(_) => "broken",
            Self::Silent => "timeout",
        }
    }
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "{}: {}", status.code, status.message),
            Self::Unsent(reason) | Self::Broken(reason) => f.write_str(reason),
            Self::Silent => f.write_str("no answer in time"),
        }
    }
}

impl From<kube::Error> for CallFault {
    fn from(error: kube::Error) -> Self {
        match error {
            kube::Error::Api(status) => Self::Answered(status),
            kube::Error::BuildRequest(error) => Self::Unsent(error.to_string()),
            error if nobody_listens(&error) => Self::Unsent(error.to_string()),
            error => Self::Broken(error.to_string()),
        }
    }
}

/// Whether connecting itself failed, so that the request cannot have been sent.
fn nobody_listens(error: &kube::Error) -> bool {
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
pub(crate) fn read_error(fault: &CallFault) -> StoreError {
    match fault {
        CallFault::Answered(status) if is_busy(status.code) => StoreError::Unavailable,
        CallFault::Answered(status) => StoreError::Refused(status.message.clone()),
        CallFault::Unsent(_) | CallFault::Broken(_) | CallFault::Silent => StoreError::Unavailable,
    }
}

/// The error of a call that changes something.
///
/// Guards against a change that took effect although its answer was lost: only what provably left
/// nothing behind is reported as unavailable, everything else as unresolved, so that the writer
/// reads back instead of trying again.
pub(crate) fn write_error(verb: ApiVerb, fault: &CallFault) -> StoreError {
    match fault {
        CallFault::Answered(status) if status.code == 409 => StoreError::Conflict,
        // A replaced or removed object that is gone was changed since it was read. For a new one
        // it is the kind or the namespace that is missing.
        CallFault::Answered(status) if status.code == 404 && verb != ApiVerb::Create => {
            StoreError::Conflict
        }
        CallFault::Answered(status) if status.code == 429 => StoreError::Unavailable,
        CallFault::Answered(status) if status.code >= 500 => StoreError::Unresolved,
        CallFault::Answered(status) => StoreError::Refused(status.message.clone()),
        CallFault::Unsent(_) => StoreError::Unavailable,
        CallFault::Broken(_) | CallFault::Silent => StoreError::Unresolved,
    }
}

/// Too many requests, or a server that cannot answer now.
fn is_busy(code: u16) -> bool {
    code == 429 || code >= 500
}
