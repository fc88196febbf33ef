//! Writes and strict reads, which run only at the primary and only under a valid lease.

use super::job::{StatementJob, refuse};
use crate::clock::boot_time;
use crate::duty::request_sample;
use crate::engine::ProxyEngine;
use crate::group::{AcquireError, ExchangeError, GroupMember, PooledLink, ServiceGroup};
use crate::lead::LeaderLease;
use crate::settings::RouteRule;
use crate::statement::{StatementEffect, StatementError, StatementReply, TransactionState};
use rudder_decisions::WaitingWork;
use std::sync::Arc;
use std::time::Duration;

/// Delay before a statement is retried at the primary after an attempt that had no effect.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A connection to the primary with the lease that covers its replies.
pub(super) struct PrimaryConnection {
    pub(super) link: PooledLink,
    pub(super) member: Arc<GroupMember>,
    pub(super) lease: LeaderLease,
    pub(super) guard: InFlightGuard,
}

/// Counts a statement as in flight until dropped, so that a change of primary waits for its reply.
pub(crate) struct InFlightGuard {
    group: Arc<ServiceGroup>,
}

impl InFlightGuard {
    pub(super) fn new(group: &Arc<ServiceGroup>) -> Self {
        group.with_leases(crate::lead::LeaseTable::begin_statement);
        Self { group: Arc::clone(group) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.group.with_leases(crate::lead::LeaseTable::end_statement);
    }
}

/// Outcome of one attempt at the primary.
enum StrictOutcome {
    Reply(StatementReply),
    /// Nothing ran, or the statement is a read: it can be retried. Holds the reason.
    Retry(&'static str),
    /// A read ran and failed; it is retried once.
    ReadFailed(StatementReply),
}

impl StrictOutcome {
    /// Returns whether the statement succeeded.
    fn is_done(&self) -> bool {
        matches!(self, Self::Reply(reply) if reply.error().is_none())
    }
}

impl ProxyEngine {
    /// Runs a single write or strict read at the primary.
    pub(crate) async fn run_strict(&self, route: &RouteRule, job: &StatementJob) -> StatementReply {
        let group = self.group(&route.service);
        let mut failed: Option<StatementReply> = None;
        loop {
            let reject = |failed: Option<StatementReply>, reason| {
                // The read ran, so a refusal that says it was not run would be wrong.
                failed.unwrap_or_else(|| refuse(&group, job, reason, TransactionState::Idle))
            };
            let connection =
                match self.acquire_primary(&group, job, WaitingWork::StrictStatement).await {
                    Ok(connection) => connection,
                    Err(reason) => return reject(failed, reason),
                };
            let reason = match self.attempt(&group, job, connection).await {
                StrictOutcome::Reply(reply) => return reply,
                StrictOutcome::Retry(reason) => reason,
                StrictOutcome::ReadFailed(reply) if failed.is_some() => return reply,
                StrictOutcome::ReadFailed(reply) => {
                    failed = Some(reply);
                    "the read failed"
                }
            };
            if job.wait_remaining() < RETRY_DELAY {
                return reject(failed, reason);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(
        &self,
        group: &Arc<ServiceGroup>,
        job: &StatementJob,
        connection: PrimaryConnection,
    ) -> StrictOutcome {
        let PrimaryConnection { mut link, member, lease, guard } = connection;
        let sent_at = boot_time();
        // With this floor a primary that restarted with an empty log refuses reads: it lacks
        // positions that were observed there before.
        let (floor, commit_floor) = match job.effect {
            StatementEffect::Read => (group.newest_position(), None),
            StatementEffect::Write => (None, group.next_commit_floor()),
        };
        let result = job.run_on(&mut link, floor, job.time_remaining()).await;
        let outcome = match result {
            Ok(reply) => {
                let outcome = classify_reply(group, job, &lease, sent_at, reply, link);
                if commit_floor.is_some() && outcome.is_done() {
                    group.raise_acknowledged(commit_floor);
                }
                outcome
            }
            Err(error) => {
                // Triggers the watch of the primary, which distinguishes a failed connection from a
                // failed primary.
                request_sample(self, group).await;
                classify_failure(group, job, &member, &lease, &error)
            }
        };
        drop(guard);
        outcome
    }

    /// Waits for a primary with a valid lease and for a connection to it. Fails with the reason
    /// when the job's wait deadline passes.
    pub(super) async fn acquire_primary(
        &self,
        group: &Arc<ServiceGroup>,
        job: &StatementJob,
        work: WaitingWork,
    ) -> Result<PrimaryConnection, &'static str> {
        loop {
            let remaining = job.wait_remaining();
            let Some((member, _)) = self.serving_primary(group) else {
                if remaining.is_zero() {
                    return Err("no primary is confirmed");
                }
                self.request_records();
                group.wait_changed(remaining).await;
                continue;
            };
            let link = match member.pool().acquire(&job.link_request(work), remaining).await {
                Ok(link) => link,
                Err(AcquireError::WaitOver) => return Err("all connections are in use"),
                Err(AcquireError::Unreachable(_)) if remaining < RETRY_DELAY => {
                    return Err("the primary cannot be reached");
                }
                Err(AcquireError::Unreachable(_)) => {
                    group.wait_changed(RETRY_DELAY).await;
                    continue;
                }
            };
            // The primary may have changed while this request waited for the connection.
            match self.serving_primary(group) {
                Some((now_member, lease)) if Arc::ptr_eq(&now_member, &member) => {
                    let guard = InFlightGuard::new(group);
                    return Ok(PrimaryConnection { link, member, lease, guard });
                }
                _ => {}
            }
        }
    }
}

fn classify_reply(
    group: &ServiceGroup,
    job: &StatementJob,
    lease: &LeaderLease,
    sent_at: Duration,
    reply: StatementReply,
    link: PooledLink,
) -> StrictOutcome {
    let Some(error) = reply.error() else {
        return accept_under_lease(group, job, lease, sent_at, reply);
    };
    log::info!(
        request:% = job.id, service:% = group.service(), member:% = lease.primary,
        reason:% = error; "the primary did not serve a statement"
    );
    match error {
        StatementError::Busy => StrictOutcome::Retry("the primary is busy"),
        StatementError::ReadOnly => StrictOutcome::Retry("the primary has lost the lead"),
        StatementError::Lagging => StrictOutcome::Retry("the primary lacks what it had"),
        StatementError::UnknownName => {
            link.close();
            StrictOutcome::Retry("the primary forgot a prepared statement")
        }
        StatementError::Failed if job.effect == StatementEffect::Read => {
            StrictOutcome::ReadFailed(reply)
        }
        _ => StrictOutcome::Reply(reply),
    }
}

fn accept_under_lease(
    group: &ServiceGroup,
    job: &StatementJob,
    lease: &LeaderLease,
    sent_at: Duration,
    reply: StatementReply,
) -> StrictOutcome {
    // Replies of a superseded primary are withheld: the lease may have expired while the statement
    // ran, and another member may have been promoted since.
    if !group.holds(lease) {
        log::warn!(
            request:% = job.id, service:% = group.service(), member:% = lease.primary,
            epoch:% = lease.epoch, outcome = "withheld"; "the lease expired while a statement ran"
        );
        return match job.effect {
            StatementEffect::Read => StrictOutcome::Retry("the primary is no longer confirmed"),
            StatementEffect::Write => StrictOutcome::Reply(in_doubt("the primary was changed")),
        };
    }
    if let Some(position) = reply.position {
        group.record_position(lease, sent_at, position);
    }
    StrictOutcome::Reply(reply)
}

fn classify_failure(
    group: &ServiceGroup,
    job: &StatementJob,
    member: &GroupMember,
    lease: &LeaderLease,
    error: &ExchangeError,
) -> StrictOutcome {
    log::info!(
        request:% = job.id, service:% = group.service(), member:% = member.name(),
        epoch:% = lease.epoch, reason:% = error.reason, sent = error.sent;
        "the primary gave no answer"
    );
    match job.effect {
        StatementEffect::Write if error.sent => {
            StrictOutcome::Reply(in_doubt("no answer from the primary"))
        }
        _ if job.time_remaining().is_zero() => {
            let text = "the primary did not answer in time";
            let idle = TransactionState::Idle;
            StrictOutcome::Reply(StatementReply::refusal(StatementError::TimedOut, text, idle))
        }
        _ => StrictOutcome::Retry("the primary gave no answer"),
    }
}

/// Returns the reply to a write that may or may not have been committed.
pub(crate) fn in_doubt(text: &str) -> StatementReply {
    StatementReply::refusal(StatementError::InDoubt, text, TransactionState::Idle)
}
