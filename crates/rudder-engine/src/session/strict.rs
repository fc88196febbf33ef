//! Writes and strict reads: only at the primary, and only under a lease.

use super::job::{StatementJob, refuse};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{AcquireError, ExchangeError, GroupMember, PooledLink, ServiceGroup};
use crate::lead::LeaderLease;
use crate::settings::RouteRule;
use crate::statement::{StatementEffect, StatementError, StatementReply, TransactionState};
use rudder_decisions::WaitingWork;
use std::sync::Arc;
use std::time::Duration;

/// The pause before the primary is tried again after it said that it ran nothing.
const AGAIN_PAUSE: Duration = Duration::from_millis(20);

/// A connection to the primary, and the permission to answer for it.
pub(super) struct StrictStart {
    pub(super) link: PooledLink,
    pub(super) member: Arc<GroupMember>,
    pub(super) lease: LeaderLease,
    pub(super) flight: InFlight,
}

/// Counts a statement under way, so that a change of primary waits for its answer.
pub(crate) struct InFlight {
    group: Arc<ServiceGroup>,
}

impl InFlight {
    pub(super) fn new(group: &Arc<ServiceGroup>) -> Self {
        group.with_leases(crate::lead::LeaseTable::enter);
        Self { group: Arc::clone(group) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.group.with_leases(crate::lead::LeaseTable::leave);
    }
}

/// What one attempt at the primary came to.
enum StrictEnd {
    Answer(StatementReply),
    /// Nothing ran, or it was a read: it may be sent again.
    Again(&'static str),
    /// A read ran and failed.
    FailedRead(StatementReply),
}

impl ProxyEngine {
    /// Serves a single write or strict read.
    pub(crate) async fn run_strict(&self, route: &RouteRule, job: &StatementJob) -> StatementReply {
        let group = self.group(&route.service);
        let mut failed: Option<StatementReply> = None;
        loop {
            let give_up = |failed: Option<StatementReply>, reason| {
                // Where it has run, a refusal that says otherwise would not be true.
                failed.unwrap_or_else(|| refuse(&group, job, reason, TransactionState::Idle))
            };
            let start = match self.start_strict(&group, job, WaitingWork::StrictStatement).await {
                Ok(start) => start,
                Err(reason) => return give_up(failed, reason),
            };
            let reason = match self.attempt(&group, job, start).await {
                StrictEnd::Answer(reply) => return reply,
                StrictEnd::Again(reason) => reason,
                StrictEnd::FailedRead(reply) if failed.is_some() => return reply,
                StrictEnd::FailedRead(reply) => {
                    failed = Some(reply);
                    "the read failed"
                }
            };
            if job.wait_left() < AGAIN_PAUSE {
                return give_up(failed, reason);
            }
            tokio::time::sleep(AGAIN_PAUSE).await;
        }
    }

    async fn attempt(
        &self,
        group: &Arc<ServiceGroup>,
        job: &StatementJob,
        start: StrictStart,
    ) -> StrictEnd {
        let StrictStart { mut link, member, lease, flight } = start;
        let sent_at = boot_time();
        // Guards against a primary that restarted with an empty log: it lacks what was seen there.
        let floor = match job.effect {
            StatementEffect::Read => group.newest_position(),
            StatementEffect::Write => None,
        };
        let answer = job.run_on(&mut link, floor, job.time_left()).await;
        let end = match answer {
            Ok(reply) => judge_reply(group, job, &lease, sent_at, reply, link),
            Err(error) => {
                // The watch tells at once whether it is the connection or the primary.
                self.want_position();
                judge_failure(group, job, &member, &lease, &error)
            }
        };
        drop(flight);
        end
    }

    /// Waits for a primary with a lease, and for a connection to it.
    pub(super) async fn start_strict(
        &self,
        group: &Arc<ServiceGroup>,
        job: &StatementJob,
        work: WaitingWork,
    ) -> Result<StrictStart, &'static str> {
        loop {
            let left = job.wait_left();
            let Some((member, _)) = self.leader(group) else {
                if left.is_zero() {
                    return Err("no primary is confirmed");
                }
                self.want_records();
                group.wait_changed(left).await;
                continue;
            };
            let link = match member.pool().acquire(&job.link_request(work), left).await {
                Ok(link) => link,
                Err(AcquireError::WaitOver) => return Err("all connections are in use"),
                Err(AcquireError::Down(_)) if left < AGAIN_PAUSE => {
                    return Err("the primary cannot be reached");
                }
                Err(AcquireError::Down(_)) => {
                    group.wait_changed(AGAIN_PAUSE).await;
                    continue;
                }
            };
            // Looked at again: the primary may have changed while the connection was waited for.
            match self.leader(group) {
                Some((now_member, lease)) if Arc::ptr_eq(&now_member, &member) => {
                    let flight = InFlight::new(group);
                    return Ok(StrictStart { link, member, lease, flight });
                }
                _ => {}
            }
        }
    }
}

fn judge_reply(
    group: &ServiceGroup,
    job: &StatementJob,
    lease: &LeaderLease,
    sent_at: Duration,
    reply: StatementReply,
    link: PooledLink,
) -> StrictEnd {
    let Some(error) = reply.error() else {
        return judge_success(group, job, lease, sent_at, reply);
    };
    log::info!(
        request:% = job.id, service:% = group.service(), member:% = lease.primary,
        reason:% = error; "the primary did not serve a statement"
    );
    match error {
        StatementError::Busy => StrictEnd::Again("the primary is busy"),
        StatementError::ReadOnly => StrictEnd::Again("the primary has lost the lead"),
        StatementError::Lagging => StrictEnd::Again("the primary lacks what it had"),
        StatementError::UnknownName => {
            link.close();
            StrictEnd::Again("the primary forgot a prepared statement")
        }
        StatementError::Failed if job.effect == StatementEffect::Read => {
            StrictEnd::FailedRead(reply)
        }
        _ => StrictEnd::Answer(reply),
    }
}

fn judge_success(
    group: &ServiceGroup,
    job: &StatementJob,
    lease: &LeaderLease,
    sent_at: Duration,
    reply: StatementReply,
) -> StrictEnd {
    // Guards against an answer by a superseded primary: the lease may have expired while the
    // statement ran, and another member may have been promoted since.
    if !group.holds(lease) {
        log::warn!(
            request:% = job.id, service:% = group.service(), member:% = lease.primary,
            epoch:% = lease.epoch, outcome = "withheld"; "the lease expired while a statement ran"
        );
        return match job.effect {
            StatementEffect::Read => StrictEnd::Again("the primary is no longer confirmed"),
            StatementEffect::Write => StrictEnd::Answer(in_doubt("the primary was changed")),
        };
    }
    if let Some(position) = reply.position {
        group.note_position(lease, sent_at, position);
    }
    StrictEnd::Answer(reply)
}

fn judge_failure(
    group: &ServiceGroup,
    job: &StatementJob,
    member: &GroupMember,
    lease: &LeaderLease,
    error: &ExchangeError,
) -> StrictEnd {
    log::info!(
        request:% = job.id, service:% = group.service(), member:% = member.name(),
        epoch:% = lease.epoch, reason:% = error.reason, sent = error.sent;
        "the primary gave no answer"
    );
    match job.effect {
        StatementEffect::Write if error.sent => {
            StrictEnd::Answer(in_doubt("no answer from the primary"))
        }
        _ if job.time_left().is_zero() => {
            let text = "the primary did not answer in time";
            let idle = TransactionState::Idle;
            StrictEnd::Answer(StatementReply::refusal(StatementError::TimedOut, text, idle))
        }
        _ => StrictEnd::Again("the primary gave no answer"),
    }
}

/// The answer to a change that may have been kept.
pub(super) fn in_doubt(text: &str) -> StatementReply {
    StatementReply::refusal(StatementError::InDoubt, text, TransactionState::Idle)
}
