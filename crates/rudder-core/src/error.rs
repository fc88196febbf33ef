//! The error returned when a value of this package cannot be parsed.

use displaydoc::Display;

/// Reason why a text is not a value of the expected type.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum ParseError {
    /// {what} "{text}" must be 1 to 63 characters out of a-z, 0-9, "-", "_" and "."
    Name {
        /// The expected type.
        what: &'static str,
        /// The rejected text.
        text: String,
    },
    /// {what} "{text}" is not a number in range
    Number {
        /// The expected type.
        what: &'static str,
        /// The rejected text.
        text: String,
    },
    /// "{text}" is not a {what}: expected {expected}
    Shape {
        /// The expected type.
        what: &'static str,
        /// The rejected text.
        text: String,
        /// The expected format.
        expected: &'static str,
    },
}

impl std::error::Error for ParseError {}
