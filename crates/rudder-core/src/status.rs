//! What a member says about itself.

use crate::error::ParseError;
use crate::stamp::{LogStamp, LogTerm};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The role that a member believes it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberRole {
    /// Accepts writes: it was promoted at the very term that is the highest it accepted. A member
    /// that accepts a greater term reports itself a replica from then on; otherwise a fenced
    /// primary would pass for the primary of the term that it was fenced with.
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
    /// A member's own report: its role, the highest term it accepted, and how far its log goes.
    #[derive(Copy, Serialize, Deserialize)]
    pub struct MemberStatus {
        /// The role that the member believes it has.
        pub role: MemberRole,
        /// The highest term that the member accepted; it refuses lower ones.
        pub accepted: LogTerm,
        /// The last entry of its log.
        pub received: LogStamp,
        /// The last entry that its reads show.
        pub applied: LogStamp,
    }
}
