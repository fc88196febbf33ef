//! Interface for control statements, which read a member's status and set its role.

use async_trait::async_trait;
use displaydoc::Display;
use rudder_core::{ControlStatement, LogTerm, MemberStatus};
use std::time::Duration;

/// Error of a control statement that returned no status.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum ControlError {
    /// the member cannot be reached: {0}
    Unreachable(String),
    /// the member did not answer in time; the statement may have taken effect
    TimedOut,
    /// the member has accepted term {0}, which is greater
    Superseded(LogTerm),
    /// the member refused the statement: {0}
    Refused(String),
}

impl std::error::Error for ControlError {}

/// Control channel of one member.
#[async_trait]
pub trait MemberControl: Send + Sync {
    /// Runs a control statement within `timeout` and returns the status after its effect.
    async fn run(
        &self,
        statement: &ControlStatement,
        timeout: Duration,
    ) -> Result<MemberStatus, ControlError>;
}
