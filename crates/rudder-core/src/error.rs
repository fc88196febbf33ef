//! The error of parsing any value of this package.

use displaydoc::Display;

/// Why a text is not a value of the wanted type.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum ParseError {
    /// {what} "{text}" must be 1 to 63 characters out of a-z, 0-9, "-", "_" and "."
    Name {
        /// The type that was wanted.
        what: &'static str,
        /// The text that was given.
        text: String,
    },
    /// {what} "{text}" is not a number in range
    Number {
        /// The type that was wanted.
        what: &'static str,
        /// The text that was given.
        text: String,
    },
    /// "{text}" is not a {what}: expected {expected}
    Shape {
        /// The type that was wanted.
        what: &'static str,
        /// The text that was given.
        text: String,
        /// The shape that would be right.
        expected: &'static str,
    },
}

impl std::error::Error for ParseError {}
