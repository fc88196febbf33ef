//! Status requests and control commands to members, on dedicated connections.

use crate::engine::ProxyEngine;
use crate::group::{AcquireError, GroupMember, LinkRequest, LinkUser};
use crate::interfaces::{LinkError, MemberLink};
use crate::statement::{MemberCommand, StatementError, StatementReply};
use rudder_core::{LogTerm, MemberName, MemberStatus, plain_data};
use std::time::Duration;

/// Timeout of one status request or command: two round trips between regions, and the wait for a
/// connection slot of a busy member.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Rank of control commands among callers' statements in a connection pool; the lowest value goes
/// first.
const CONTROL_RANK: u8 = 0;

plain_data! {
    /// Status that a member reported.
    pub(super) struct MemberReport {
        pub(super) member: MemberName,
        pub(super) status: MemberStatus,
    }
}

/// Requests the status of one member.
pub(super) async fn fetch_status(
    engine: &ProxyEngine,
    member: &GroupMember,
) -> Result<MemberReport, LinkError> {
    let reply = send_command(engine, member, MemberCommand::Status).await?;
    parse_report(engine, member, &reply)
}

pub(super) fn parse_report(
    engine: &ProxyEngine,
    member: &GroupMember,
    reply: &StatementReply,
) -> Result<MemberReport, LinkError> {
    match engine.dependencies().dialer.read_status(reply) {
        Some(status) => Ok(MemberReport { member: member.name().clone(), status }),
        None => Err(LinkError::Protocol(format!("invalid status reply: {:?}", reply.outcome))),
    }
}

/// Demotes a superseded primary to a replica.
pub(super) async fn step_down(engine: &ProxyEngine, member: &GroupMember, term: LogTerm) {
    let outcome = send_command(engine, member, MemberCommand::StepDown(term)).await;
    let outcome =
        outcome.map_or_else(|error| error.to_string(), |reply| format!("{:?}", reply.outcome));
    log::info!(
        member:% = member.name(), term:% = term, outcome:% = outcome;
        "a previous primary was ordered to step down"
    );
}

async fn send_command(
    engine: &ProxyEngine,
    member: &GroupMember,
    command: MemberCommand,
) -> Result<StatementReply, LinkError> {
    let call = async {
        match dial(engine, member, STATUS_TIMEOUT).await {
            Err(LinkError::Refused(StatementError::ConnectionLimit)) => {
                send_on_pooled(member, command, STATUS_TIMEOUT).await
            }
            dialed => exchange(dialed?.as_mut(), command, STATUS_TIMEOUT).await,
        }
    };
    tokio::time::timeout(STATUS_TIMEOUT, call).await.unwrap_or(Err(LinkError::Silent))
}

pub(super) async fn dial(
    engine: &ProxyEngine,
    member: &GroupMember,
    timeout: Duration,
) -> Result<Box<dyn MemberLink>, LinkError> {
    let dial = engine.dependencies().dialer.dial(member.pool().target(), None);
    tokio::time::timeout(timeout, dial).await.unwrap_or(Err(LinkError::Silent))
}

pub(super) async fn exchange(
    link: &mut dyn MemberLink,
    command: MemberCommand,
    timeout: Duration,
) -> Result<StatementReply, LinkError> {
    let call = async {
        link.send(&[command]).await?;
        link.receive().await
    };
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(LinkError::Silent))
}

/// Sends a command on a pooled connection that callers also use, for members that accept no more
/// connections. A member without a known status is no candidate, so a change of primary could
/// otherwise overlook the most advanced member.
pub(super) async fn send_on_pooled(
    member: &GroupMember,
    command: MemberCommand,
    timeout: Duration,
) -> Result<StatementReply, LinkError> {
    let call = async {
        let request = LinkRequest { user: LinkUser::Control, rank: CONTROL_RANK };
        let acquired = member.pool().acquire(&request, timeout).await;
        let mut link = acquired.map_err(|error| match error {
            AcquireError::WaitOver => LinkError::Silent,
            AcquireError::Unreachable(reason) => reason,
        })?;
        let result = link.exchange(&[command], timeout).await;
        let mut replies = result.map_err(|error| error.reason)?;
        replies.pop().ok_or(LinkError::Silent)
    };
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(LinkError::Silent))
}
