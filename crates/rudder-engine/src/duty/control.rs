//! Questions and orders to members, on connections of their own.

use crate::border::LinkError;
use crate::engine::ProxyEngine;
use crate::group::GroupMember;
use crate::statement::MemberCommand;
use rudder_core::{LogTerm, MemberName, MemberStatus, plain_data};
use std::sync::Arc;
use std::time::Duration;

/// The most time for a question: two round trips between regions, and a busy member's slot.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

plain_data! {
    /// What a member said of itself.
    pub(super) struct MemberReport {
        pub(super) member: MemberName,
        pub(super) status: MemberStatus,
    }
}

/// Asks one member.
pub(super) async fn ask_status(
    engine: &ProxyEngine,
    member: &GroupMember,
) -> Result<MemberReport, LinkError> {
    let reply = order(engine, member, MemberCommand::Status).await?;
    match engine.borders().dialer.read_status(&reply) {
        Some(status) => Ok(MemberReport { member: member.name().clone(), status }),
        None => Err(LinkError::Protocol(format!("unreadable status: {:?}", reply.outcome))),
    }
}

/// Asks several members at once; those that do not answer are left out.
pub(super) async fn ask_statuses(
    engine: &Arc<ProxyEngine>,
    members: &[Arc<GroupMember>],
) -> Vec<MemberReport> {
    let mut questions = tokio::task::JoinSet::new();
    for member in members {
        let engine = Arc::clone(engine);
        let member = Arc::clone(member);
        questions.spawn(async move { (member.name().clone(), ask_status(&engine, &member).await) });
    }
    let mut reports = Vec::new();
    while let Some(answer) = questions.join_next().await {
        match answer {
            Ok((_, Ok(report))) => reports.push(report),
            Ok((member, Err(error))) => {
                log::info!(member:% = member, reason:% = error; "a member gave no status");
            }
            Err(error) => log::error!(reason:% = error; "a question to a member failed"),
        }
    }
    reports.sort_by(|left, right| left.member.cmp(&right.member));
    reports
}

/// Makes a superseded primary a replica.
pub(super) async fn step_down(engine: &ProxyEngine, member: &GroupMember, term: LogTerm) {
    let outcome = order(engine, member, MemberCommand::StepDown(term)).await;
    let outcome =
        outcome.map_or_else(|error| error.to_string(), |reply| format!("{:?}", reply.outcome));
    log::info!(
        member:% = member.name(), term:% = term, outcome:% = outcome; "a primary was told to step down"
    );
}

async fn order(
    engine: &ProxyEngine,
    member: &GroupMember,
    command: MemberCommand,
) -> Result<crate::statement::StatementReply, LinkError> {
    let talk = async {
        let mut link = engine.borders().dialer.dial(member.pool().target()).await?;
        link.send(&[command]).await?;
        link.receive().await
    };
    tokio::time::timeout(STATUS_LIMIT, talk).await.unwrap_or(Err(LinkError::Silent))
}
