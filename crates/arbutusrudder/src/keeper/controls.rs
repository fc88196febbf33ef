//! Sends control statements to members without waiting for one after another.

use super::config::KeeperMember;
use rudder_core::{ControlStatement, MemberName, MemberStatus};
use rudder_endpoint::ControlError;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What came of one control statement.
#[derive(Clone, Debug)]
pub(super) struct ControlAnswer {
    pub(super) member: MemberName,
    pub(super) statement: ControlStatement,
    pub(super) asked_at: Instant,
    pub(super) result: Result<MemberStatus, ControlError>,
}

/// The control channels of one group, and the statements in flight on them.
pub(super) struct GroupControls {
    members: Vec<KeeperMember>,
    within: Duration,
    in_flight: JoinSet<ControlAnswer>,
}

impl GroupControls {
    pub(super) fn new(members: &[KeeperMember], within: Duration) -> Self {
        Self { members: members.to_vec(), within, in_flight: JoinSet::new() }
    }

    /// Starts a statement; its answer comes out of [`Self::next`].
    pub(super) fn send(&mut self, member: &MemberName, statement: ControlStatement) {
        let Some(known) = self.members.iter().find(|known| known.member.name == *member) else {
            return;
        };
        let (control, within, member) = (known.control.clone(), self.within, member.clone());
        self.in_flight.spawn(async move {
            let asked_at = Instant::now();
            let answer = tokio::time::timeout(within, control.run(&statement, within)).await;
            let result = answer.unwrap_or(Err(ControlError::TimedOut));
            ControlAnswer { member, statement, asked_at, result }
        });
    }

    /// Forgets the statements in flight; they may still take effect.
    pub(super) fn abandon(&mut self) {
        self.in_flight = JoinSet::new();
    }

    /// The next answer; pending for ever while nothing is in flight.
    pub(super) async fn next(&mut self) -> ControlAnswer {
        loop {
            match self.in_flight.join_next().await {
                Some(Ok(answer)) => return answer,
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}
