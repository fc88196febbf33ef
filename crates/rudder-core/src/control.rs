//! Control statements, which query a member's status and set its role.
//!
//! The simulated group of rudder-standins executes them itself; a deployment maps them to functions
//! of its database.

use crate::ident::MemberName;
use crate::stamp::LogTerm;
use std::fmt;

/// Columns of the single row that every control statement returns, in order, as text.
pub const STATUS_COLUMNS: [&str; 6] =
    ["role", "accepted_term", "received_term", "received", "applied_term", "applied"];

/// SQLSTATE with which a member rejects a control statement or write of a superseded term.
pub const TERM_REFUSED_SQLSTATE: &str = "RU001";

/// A control statement. Each returns one row of [`STATUS_COLUMNS`], read after its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlStatement {
    /// Reports the status.
    Status,
    /// Accepts this term: the member rejects writes and log entries of lower terms from then on.
    /// Idempotent.
    Fence(LogTerm),
    /// Makes the member the primary of this term; rejected unless its accepted term is exactly this
    /// one. Idempotent.
    Promote(LogTerm),
    /// Accepts this term and replicates from the named member, dropping log entries that the named
    /// member does not have.
    Follow(LogTerm, MemberName),
}

impl fmt::Display for ControlStatement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => f.write_str("SHOW rudder.status"),
            Self::Fence(term) => write!(f, "SELECT rudder.fence({term})"),
            Self::Promote(term) => write!(f, "SELECT rudder.promote({term})"),
            Self::Follow(term, leader) => write!(f, "SELECT rudder.follow({term}, '{leader}')"),
        }
    }
}
