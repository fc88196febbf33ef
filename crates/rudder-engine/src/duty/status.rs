//! What members say of themselves while a primary is changed.

use super::control::{MemberReport, STATUS_TIMEOUT, dial, exchange, parse_report, send_on_pooled};
use crate::border::{LinkError, MemberLink};
use crate::engine::ProxyEngine;
use crate::group::GroupMember;
use crate::statement::{MemberCommand, StatementError};
use std::sync::Arc;
use std::time::Duration;

/// The most time for an answer on a connection that was used before. A new one can still be opened
/// afterwards within the time for a question.
const REUSED_LINK_TIMEOUT: Duration = Duration::from_millis(200);

/// Asks one member again and again on one connection: opening one takes two round trips more than
/// the question itself, and a slot of a member that the reads of a lost primary keep busy.
pub(super) struct StatusClient {
    engine: Arc<ProxyEngine>,
    member: Arc<GroupMember>,
    link: Option<Box<dyn MemberLink>>,
}

impl StatusClient {
    fn new(engine: &Arc<ProxyEngine>, member: &Arc<GroupMember>) -> Self {
        Self { engine: Arc::clone(engine), member: Arc::clone(member), link: None }
    }

    pub(super) async fn fetch(&mut self) -> Result<MemberReport, LinkError> {
        // A question that is given up loses its connection: the late answer is not read.
        let result = tokio::time::timeout(STATUS_TIMEOUT, self.try_fetch()).await;
        result.unwrap_or(Err(LinkError::Silent))
    }

    /// Asks on the connection that is open, and on a new one if that gives no answer.
    ///
    /// Guards against a change that passes over the most advanced member, because the connection
    /// on which it was asked before was reset or went silent meanwhile.
    async fn try_fetch(&mut self) -> Result<MemberReport, LinkError> {
        if let Some(mut link) = self.link.take() {
            let reused = exchange(link.as_mut(), MemberCommand::Status);
            if let Ok(Ok(reply)) = tokio::time::timeout(REUSED_LINK_TIMEOUT, reused).await {
                self.link = Some(link);
                return parse_report(&self.engine, &self.member, &reply);
            }
        }
        let mut link = match dial(&self.engine, &self.member).await {
            Err(LinkError::Refused(StatementError::ConnectionLimit)) => {
                let reply = send_on_pooled(&self.member, MemberCommand::Status).await?;
                return parse_report(&self.engine, &self.member, &reply);
            }
            dialed => dialed?,
        };
        let reply = exchange(link.as_mut(), MemberCommand::Status).await?;
        self.link = Some(link);
        parse_report(&self.engine, &self.member, &reply)
    }
}

/// The connections on which a change of primary asks members, kept from one question to the next.
///
/// Guards against a change that is held up by its own questions: it asks the candidates before it
/// stops anyone and again before it promotes one, while they serve the reads of the lost primary
/// as well, and each new connection waits for a slot there.
#[derive(Default)]
pub(super) struct StatusClients {
    clients: Vec<StatusClient>,
}

impl StatusClients {
    /// Takes out the connection to a member, or one that is to be opened.
    pub(super) fn take(
        &mut self,
        engine: &Arc<ProxyEngine>,
        member: &Arc<GroupMember>,
    ) -> StatusClient {
        let found = self.clients.iter().position(|client| Arc::ptr_eq(&client.member, member));
        match found {
            Some(index) => self.clients.swap_remove(index),
            None => StatusClient::new(engine, member),
        }
    }

    /// Asks several members at once; those that do not answer are left out.
    pub(super) async fn fetch_all(
        &mut self,
        engine: &Arc<ProxyEngine>,
        members: &[Arc<GroupMember>],
    ) -> Vec<MemberReport> {
        let mut requests = tokio::task::JoinSet::new();
        for member in members {
            let mut client = self.take(engine, member);
            requests.spawn(async move {
                let result = client.fetch().await;
                (client, result)
            });
        }
        let mut reports = Vec::new();
        while let Some(joined) = requests.join_next().await {
            match joined {
                Ok((client, Ok(report))) => {
                    reports.push(report);
                    self.clients.push(client);
                }
                Ok((client, Err(error))) => {
                    let member = client.member.name();
                    log::info!(member:% = member, reason:% = error; "a member did not report its status");
                }
                Err(error) => log::error!(reason:% = error; "a status request to a member failed"),
            }
        }
        reports.sort_by(|left, right| left.member.cmp(&right.member));
        reports
    }
}
