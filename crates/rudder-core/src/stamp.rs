//! Terms, log positions, and the stamp that combines and orders them.

use crate::derive::number_type;
use crate::error::ParseError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

number_type! {
    /// The term of a primary; each promotion uses a greater one.
    LogTerm(u64)
}
number_type! {
    /// A position in a group's replication log.
    LogPosition(u64)
}

/// A point in a group's history: the term that wrote the entry, then its position.
///
/// Stamps compare by term first. A promotion fences a majority and keeps the most advanced log, so
/// every log that ends in a later term contains every acknowledged entry of the earlier terms.
///
/// ```
/// use rudder_core::LogStamp;
/// let older: LogStamp = "1:90".parse()?;
/// let newer: LogStamp = "2:80".parse()?;
/// assert!(older < newer);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogStamp {
    /// The term of the entry.
    pub term: LogTerm,
    /// The position of the entry.
    pub position: LogPosition,
}

impl LogStamp {
    /// Creates a stamp from plain numbers.
    ///
    /// ```
    /// assert_eq!(rudder_core::LogStamp::new(3, 14).to_string(), "3:14");
    /// ```
    #[must_use]
    pub const fn new(term: u64, position: u64) -> Self {
        Self { term: LogTerm(term), position: LogPosition(position) }
    }
}

impl fmt::Display for LogStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.position)
    }
}

impl FromStr for LogStamp {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((term, position)) = text.split_once(':') else {
            return Err(ParseError::Shape {
                what: "log stamp",
                text: text.to_owned(),
                expected: "term:position",
            });
        };
        Ok(Self { term: term.parse()?, position: position.parse()? })
    }
}
