//! A member's report of its own role, term and log.

use crate::error::ParseError;
use crate::stamp::{LogStamp, LogTerm};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The role that a member believes it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberRole {
    /// Accepts writes: the member was promoted at the highest term that it has accepted. A member
    /// that accepts a greater term reports itself as a replica from then on; otherwise a fenced
    /// primary would be taken for the primary of the term that fenced it.
    Primary,
    /// Applies the log of a primary and serves reads.
    Replica,
}

impl fmt::Display for MemberRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        })
    }
}

impl FromStr for MemberRole {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "primary" => Ok(Self::Primary),
            "replica" => Ok(Self::Replica),
            _ => Err(ParseError::Shape {
                what: "member role",
                text: text.to_owned(),
                expected: "primary or replica",
            }),
        }
    }
}

crate::plain_data! {
    /// A member's report of its role, the highest term it accepted, and the end of its log.
    #[derive(Copy, Serialize, Deserialize)]
    pub struct MemberStatus {
        /// The role that the member believes it has.
        pub role: MemberRole,
        /// The highest term that the member accepted; it rejects lower ones.
        pub accepted: LogTerm,
        /// The last entry of its log.
        pub received: LogStamp,
        /// The last entry that is visible to its reads.
        pub applied: LogStamp,
    }
}
