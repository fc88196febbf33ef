//! What members say of themselves while a primary is changed.

use super::control::{MemberReport, STATUS_LIMIT, dial, exchange, order_on_pooled, read_report};
use crate::border::{LinkError, MemberLink};
use crate::engine::ProxyEngine;
use crate::group::GroupMember;
use crate::statement::{MemberCommand, StatementError};
use std::sync::Arc;
use std::time::Duration;

/// The most time for an answer on a connection that was used before. A new one can still be opened
/// afterwards within the time for a question.
const KEPT_LIMIT: Duration = Duration::from_millis(200);

/// Asks one member again and again on one connection: opening one takes two round trips more than
/// the question itself, and a slot of a member that the reads of a lost primary keep busy.
pub(super) struct StatusWatch {
    engine: Arc<ProxyEngine>,
    member: Arc<GroupMember>,
    link: Option<Box<dyn MemberLink>>,
}

impl StatusWatch {
    fn new(engine: &Arc<ProxyEngine>, member: &Arc<GroupMember>) -> Self {
        Self { engine: Arc::clone(engine), member: Arc::clone(member), link: None }
    }

    pub(super) async fn ask(&mut self) -> Result<MemberReport, LinkError> {
        // A question that is given up loses its connection: the late answer is not read.
        let answer = tokio::time::timeout(STATUS_LIMIT, self.talk()).await;
        answer.unwrap_or(Err(LinkError::Silent))
    }

    /// Asks on the connection that is open, and on a new one if that gives no answer.
    ///
    /// Guards against a change that passes over the most advanced member, because the connection
    /// on which it was asked before was reset or went silent meanwhile.
    async fn talk(&mut self) -> Result<MemberReport, LinkError> {
        if let Some(mut link) = self.link.take() {
            let kept = exchange(link.as_mut(), MemberCommand::Status);
            if let Ok(Ok(reply)) = tokio::time::timeout(KEPT_LIMIT, kept).await {
                self.link = Some(link);
                return read_report(&self.engine, &self.member, &reply);
            }
        }
        let mut link = match dial(&self.engine, &self.member).await {
            Err(LinkError::Refused(StatementError::ConnectionLimit)) => {
                let reply = order_on_pooled(&self.member, MemberCommand::Status).await?;
                return read_report(&self.engine, &self.member, &reply);
            }
            dialed => dialed?,
        };
        let reply = exchange(link.as_mut(), MemberCommand::Status).await?;
        self.link = Some(link);
        read_report(&self.engine, &self.member, &reply)
    }
}

/// The connections on which a change of primary asks members, kept from one question to the next.
///
/// Guards against a change that is held up by its own questions: it asks the candidates before it
/// stops anyone and again before it promotes one, while they serve the reads of the lost primary
/// as well, and each new connection waits for a slot there.
#[derive(Default)]
pub(super) struct StatusDesk {
    watches: Vec<StatusWatch>,
}

impl StatusDesk {
    /// Takes out the connection to a member, or one that is to be opened.
    pub(super) fn take(
        &mut self,
        engine: &Arc<ProxyEngine>,
        member: &Arc<GroupMember>,
    ) -> StatusWatch {
        let found = self.watches.iter().position(|watch| Arc::ptr_eq(&watch.member, member));
        match found {
            Some(index) => self.watches.swap_remove(index),
            None => StatusWatch::new(engine, member),
        }
    }

    /// Asks several members at once; those that do not answer are left out.
    pub(super) async fn ask_all(
        &mut self,
        engine: &Arc<ProxyEngine>,
        members: &[Arc<GroupMember>],
    ) -> Vec<MemberReport> {
        let mut questions = tokio::task::JoinSet::new();
        for member in members {
            let mut watch = self.take(engine, member);
            questions.spawn(async move {
                let answer = watch.ask().await;
                (watch, answer)
            });
        }
        let mut reports = Vec::new();
        while let Some(joined) = questions.join_next().await {
            match joined {
                Ok((watch, Ok(report))) => {
                    reports.push(report);
                    self.watches.push(watch);
                }
                Ok((watch, Err(error))) => {
                    let member = watch.member.name();
                    log::info!(member:% = member, reason:% = error; "a member gave no status");
                }
                Err(error) => log::error!(reason:% = error; "a question to a member failed"),
            }
        }
        reports.sort_by(|left, right| left.member.cmp(&right.member));
        reports
    }
}
