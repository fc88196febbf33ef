//! Reason for which a message from a peer was rejected.

use displaydoc::Display;
use rudder_core::ParseError;

/// Reason for which a message from a peer was rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum WireError {
    /// the message is empty
    Empty,
    /// the message has version {0}, which this program does not know; upgrade it
    Version(u8),
    /// the message is {0} bytes long, which is more than allowed
    TooLong(usize),
    /// the message is cut off or malformed
    Malformed,
    /// the message has {0} bytes after its end
    Trailing(usize),
    /// the message holds a value out of range: {0}
    Value(ParseError),
    /// the message holds an unknown code {0}
    Code(u8),
    /// the message could not be encoded
    Encode,
}

impl std::error::Error for WireError {}

impl From<ParseError> for WireError {
    fn from(error: ParseError) -> Self {
        Self::Value(error)
    }
}
