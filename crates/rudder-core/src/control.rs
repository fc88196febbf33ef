//! The statements by which a member is asked for its state and told its role.
//!
//! The stand-in group answers them itself; a deployment maps them to its database's functions.

use crate::ident::MemberName;
use crate::stamp::LogTerm;
use std::fmt;

/// The columns of the single row that every control statement answers, in order, as text.
pub const STATUS_COLUMNS: [&str; 6] =
    ["role", "accepted_term", "received_term", "received", "applied_term", "applied"];

/// SQLSTATE with which a member refuses a control statement or write of a superseded term.
pub const TERM_REFUSED_SQLSTATE: &str = "RU001";

/// A control statement. Each answers one row of [`STATUS_COLUMNS`], taken after its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlStatement {
    /// Report the status.
    Status,
    /// Accept this term: refuse writes and log entries of lower terms from now on. Idempotent.
    Fence(LogTerm),
    /// Become primary of this term; refused unless exactly this term is accepted. Idempotent.
    Promote(LogTerm),
    /// Accept this term and replicate from this member, dropping entries it does not have.
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
