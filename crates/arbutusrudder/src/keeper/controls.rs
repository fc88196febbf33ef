//! Sends control statements to members concurrently.

use super::config::KeeperMember;
use rudder_core::{ControlStatement, MemberName, MemberStatus};
use rudder_endpoint::ControlError;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The result of one control statement.
#[derive(Clone, Debug)]
pub(super) struct ControlResponse {
    pub(super) member: MemberName,
    pub(super) statement: ControlStatement,
    pub(super) requested_at: Instant,
    pub(super) result: Result<MemberStatus, ControlError>,
}

/// The control channels of one group's members, with the statements in flight.
pub(super) struct GroupControls {
    members: Vec<KeeperMember>,
    timeout: Duration,
    in_flight: JoinSet<ControlResponse>,
}

impl GroupControls {
    pub(super) fn new(members: &[KeeperMember], timeout: Duration) -> Self {
        Self { members: members.to_vec(), timeout, in_flight: JoinSet::new() }
    }

    /// Sends a statement; [`Self::next`] returns its response.
    pub(super) fn send(&mut self, member: &MemberName, statement: ControlStatement) {
        let Some(configured) =
            self.members.iter().find(|configured| configured.member.name == *member)
        else {
            return;
        };
        let (control, timeout, member) = (configured.control.clone(), self.timeout, member.clone());
        self.in_flight.spawn(async move {
            let requested_at = Instant::now();
            let response = tokio::time::timeout(timeout, control.run(&statement, timeout)).await;
            let result = response.unwrap_or(Err(ControlError::TimedOut));
            ControlResponse { member, statement, requested_at, result }
        });
    }

    /// Discards the responses to the statements in flight; the statements may still take effect.
    pub(super) fn discard_in_flight(&mut self) {
        self.in_flight = JoinSet::new();
    }

    /// Waits for the next response; never returns while nothing is in flight.
    pub(super) async fn next(&mut self) -> ControlResponse {
        loop {
            match self.in_flight.join_next().await {
                Some(Ok(response)) => return response,
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}
