//! Status requests to members during a change of primary.

use super::control::{MemberReport, STATUS_TIMEOUT, dial, exchange, parse_report, send_on_pooled};
use crate::engine::ProxyEngine;
use crate::group::GroupMember;
use crate::interfaces::{LinkError, MemberLink};
use crate::statement::{MemberCommand, StatementError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the timeout of a status request that is spent on a reused connection. It leaves enough
/// to open a new connection afterwards.
const REUSED_LINK_PART: (u32, u32) = (2, 5);

/// Timeout of a status request whose answer is needed. A slow member queues it behind the reads that
/// a lost primary no longer serves.
const PATIENT_TIMEOUT: Duration = Duration::from_millis(2000);

/// Sends repeated status requests to one member on one connection. Opening a connection takes two
/// more round trips than the request itself, and a connection slot of a member that is busy with
/// the reads of a lost primary.
pub(super) struct StatusClient {
    engine: Arc<ProxyEngine>,
    member: Arc<GroupMember>,
    link: Option<Box<dyn MemberLink>>,
}

impl StatusClient {
    fn new(engine: &Arc<ProxyEngine>, member: &Arc<GroupMember>) -> Self {
        Self { engine: Arc::clone(engine), member: Arc::clone(member), link: None }
    }

    pub(super) async fn fetch(&mut self, timeout: Duration) -> Result<MemberReport, LinkError> {
        // A request that times out drops its connection, so that its late reply is never read.
        let result = tokio::time::timeout(timeout, self.try_fetch(timeout)).await;
        result.unwrap_or(Err(LinkError::Silent))
    }

    /// Requests the status on the open connection, and on a new one if that gives no reply.
    /// Otherwise a change could pass over the most advanced member because its open connection was
    /// reset or has stopped responding.
    async fn try_fetch(&mut self, timeout: Duration) -> Result<MemberReport, LinkError> {
        if let Some(mut link) = self.link.take() {
            let (part, whole) = REUSED_LINK_PART;
            let reused_timeout = timeout * part / whole;
            let reused = exchange(link.as_mut(), MemberCommand::Status, reused_timeout);
            if let Ok(reply) = reused.await {
                self.link = Some(link);
                return parse_report(&self.engine, &self.member, &reply);
            }
        }
        let mut link = match dial(&self.engine, &self.member, timeout).await {
            Err(LinkError::Refused(StatementError::ConnectionLimit)) => {
                let reply = send_on_pooled(&self.member, MemberCommand::Status, timeout).await?;
                return parse_report(&self.engine, &self.member, &reply);
            }
            dialed => dialed?,
        };
        let reply = exchange(link.as_mut(), MemberCommand::Status, timeout).await?;
        self.link = Some(link);
        parse_report(&self.engine, &self.member, &reply)
    }
}

/// Status connections of a change of primary, reused between requests.
///
/// A change requests the candidates' status before it stops any instance and again before it
/// promotes one. The candidates also serve the reads of the lost primary, so each new connection
/// would wait for a slot and delay the change.
#[derive(Default)]
pub(super) struct StatusClients {
    clients: Vec<StatusClient>,
}

impl StatusClients {
    /// Removes and returns the client of a member, or returns a new one.
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

    /// Requests the status of several members concurrently. Members that do not respond in time are
    /// left out.
    pub(super) async fn fetch_all(
        &mut self,
        engine: &Arc<ProxyEngine>,
        members: &[Arc<GroupMember>],
    ) -> Vec<MemberReport> {
        self.fetch_round(engine, members, STATUS_TIMEOUT, |_| true).await
    }

    /// The same, but waits up to [`PATIENT_TIMEOUT`] for slow members, until the reports are
    /// `sufficient`.
    pub(super) async fn fetch_until(
        &mut self,
        engine: &Arc<ProxyEngine>,
        members: &[Arc<GroupMember>],
        sufficient: impl Fn(&[MemberReport]) -> bool,
    ) -> Vec<MemberReport> {
        self.fetch_round(engine, members, PATIENT_TIMEOUT, sufficient).await
    }

    async fn fetch_round(
        &mut self,
        engine: &Arc<ProxyEngine>,
        members: &[Arc<GroupMember>],
        timeout: Duration,
        sufficient: impl Fn(&[MemberReport]) -> bool,
    ) -> Vec<MemberReport> {
        let started_at = Instant::now();
        let mut requests = tokio::task::JoinSet::new();
        for member in members {
            let mut client = self.take(engine, member);
            requests.spawn(async move {
                let result = client.fetch(timeout).await;
                (client, result)
            });
        }
        let mut reports = Vec::new();
        loop {
            // Each request ends after `timeout`; without the others it may end sooner.
            let may_end_early = timeout > STATUS_TIMEOUT && sufficient(&reports);
            let joined = if may_end_early {
                let next = requests.join_next();
                let next = tokio::time::timeout_at(started_at + STATUS_TIMEOUT, next);
                next.await.ok().flatten()
            } else {
                requests.join_next().await
            };
            let Some(joined) = joined else { break };
            match joined {
                Ok((client, Ok(report))) => {
                    reports.push(report);
                    self.clients.push(client);
                }
                Ok((client, Err(error))) => {
                    let member = client.member.name();
                    log::info!(
                        member:% = member, reason:% = error; "a member did not report its status"
                    );
                }
                Err(error) => log::error!(reason:% = error; "a status request to a member failed"),
            }
        }
        reports.sort_by(|left, right| left.member.cmp(&right.member));
        reports
    }
}
