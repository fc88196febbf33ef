//! The border over which members are asked for their status and told their role.

use async_trait::async_trait;
use displaydoc::Display;
use rudder_core::{ControlStatement, LogTerm, MemberStatus};
use std::time::Duration;

/// Why a control statement brought no status.
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

/// One member's control channel.
#[async_trait]
pub trait MemberControl: Send + Sync {
    /// Runs a control statement and returns the status after its effect, within `timeout`.
    async fn run(
        &self,
        statement: &ControlStatement,
        timeout: Duration,
    ) -> Result<MemberStatus, ControlError>;
}
