//! Reads with a staleness bound, which a replica may serve.

use super::caller::staleness_bound;
use super::job::{StatementJob, refuse};
use crate::duty::request_sample;
use crate::engine::ProxyEngine;
use crate::group::{
    AcquireError, ExchangeError, GroupMember, PlacementContext, PooledLink, ServiceGroup,
    acquire_any, order_members, read_choices,
};
use crate::settings::RouteRule;
use crate::statement::{StatementError, StatementReply, TransactionState};
use rudder_core::{LogStamp, MemberName};
use rudder_decisions::WaitingWork;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum time that a member gets to respond before the read is sent to another one. Longer than
/// almost all reads take (some 10 to 400 ms), so that slow reads are not run twice.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);

/// Delay before the members are tried again after none of them could serve the read.
const ROUND_DELAY: Duration = Duration::from_millis(25);

/// Delay before the primary's position is requested again: the first request may reach an instance
/// that has just started and has no position either.
const POSITION_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Command to run at a member that may be a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStep {
    /// A single statement.
    Statement,
    /// The `BEGIN` of a read-only transaction.
    Begin,
}

impl ReadStep {
    fn work(self) -> WaitingWork {
        match self {
            Self::Statement => WaitingWork::Read,
            Self::Begin => WaitingWork::ReadTransaction,
        }
    }
}

/// A connection on which the step was run, and its member.
pub(super) struct ReadConnection {
    pub(super) link: PooledLink,
    pub(super) member: Arc<GroupMember>,
}

/// Reason why no member served a read.
pub(super) enum ReadFailure {
    /// The reply to return to the caller.
    Reply(StatementReply),
    /// The position that a replica must have applied is unknown, but the primary can serve the
    /// read. Refusing instead would last for as long as no instance can watch the primary, for
    /// example while connections of failed machines occupy it. Its reply also carries its position.
    UnknownPosition,
}

impl From<StatementReply> for ReadFailure {
    fn from(reply: StatementReply) -> Self {
        Self::Reply(reply)
    }
}

/// Outcome of an attempt that did not serve the read.
enum AttemptFailure {
    /// This member did not serve the read; another one may.
    TryNext,
    /// The read ran and failed here. This reply is returned if no other member serves the read.
    Failed(StatementReply),
    /// The reply is returned without another attempt.
    Final(StatementReply),
}

impl ProxyEngine {
    /// Runs a single read at a member within the staleness bound.
    pub(crate) async fn read_bounded(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> StatementReply {
        let mut failed = None;
        let step = ReadStep::Statement;
        let read = self.read_at_any_member(route, job, session_floor, step, &mut failed).await;
        match (read, failed) {
            (Ok((reply, _)), _) => reply,
            // The read ran, so a refusal that says it was not run would be wrong.
            (Err(_), Some(failed)) => failed,
            (Err(ReadFailure::Reply(reply)), None) => reply,
            (Err(ReadFailure::UnknownPosition), None) => self.run_strict(route, job).await,
        }
    }

    /// Begins a read-only transaction at a member within the staleness bound.
    pub(super) async fn begin_bounded(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Result<ReadConnection, ReadFailure> {
        let step = ReadStep::Begin;
        let (_, connection) =
            self.read_at_any_member(route, job, session_floor, step, &mut None).await?;
        Ok(connection)
    }

    /// Runs a step at the first member that serves it. A read that fails at one member is tried
    /// once at each of the others; `failed` is set to the last such reply.
    async fn read_at_any_member(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
        step: ReadStep,
        failed: &mut Option<StatementReply>,
    ) -> Result<(StatementReply, ReadConnection), ReadFailure> {
        let refused =
            |group: &ServiceGroup, reason| refuse(group, job, reason, state_after(step)).into();
        let group = self.group(&route.service);
        let mut tried: Vec<MemberName> = Vec::new();
        let mut reason = "no member could be reached";
        loop {
            let Some(floor) = self.read_floor(&group, route, job, session_floor).await else {
                if self.serving_primary(&group).is_some() {
                    return Err(ReadFailure::UnknownPosition);
                }
                return Err(refused(&group, "the primary's position is not known"));
            };
            let floor_age = group.age_of(floor);
            let context = PlacementContext { own: self.identity().place(), floor, floor_age };
            let mut members = order_members(&group.members(), &context);
            members.retain(|member| !tried.contains(member.name()));
            if members.is_empty() {
                if let Some(reply) = failed.take() {
                    return Err(reply.into());
                }
                if job.wait_remaining() < ROUND_DELAY {
                    return Err(refused(&group, reason));
                }
                tokio::time::sleep(ROUND_DELAY).await;
                tried.clear();
                continue;
            }
            let is_last = members.len() == 1;
            let choices = read_choices(&group, &members, &context);
            let request = job.link_request(step.work());
            reason = "no member could serve the read in time";
            let (member, link) = match acquire_any(&choices, &request, job.wait_remaining()).await {
                Ok((index, link)) => (&members[index], link),
                Err(AcquireError::WaitOver) => {
                    return Err(refused(&group, reason));
                }
                Err(AcquireError::Unreachable(_)) => {
                    tried.extend(
                        members.iter().take(choices.len()).map(|member| member.name().clone()),
                    );
                    continue;
                }
            };
            match self.try_member(member, link, job, floor, step, is_last).await {
                Ok((reply, link)) => {
                    return Ok((reply, ReadConnection { link, member: Arc::clone(member) }));
                }
                Err(AttemptFailure::Final(reply)) => return Err(reply.into()),
                Err(AttemptFailure::TryNext) => tried.push(member.name().clone()),
                Err(AttemptFailure::Failed(reply)) => {
                    *failed = Some(reply);
                    tried.push(member.name().clone());
                }
            }
            if job.time_remaining().is_zero() {
                return Err(timed_out(job, step).into());
            }
        }
    }

    /// Returns the position that a member must have applied to serve this read: the later of the
    /// staleness bound's floor and the session's own commits. Without a sample of the primary's
    /// position it waits for one, but only [`POSITION_RETRY_DELAY`] if the primary can be read, and
    /// not at all if the readers do not sample all primaries.
    async fn read_floor(
        &self,
        group: &Arc<ServiceGroup>,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Option<LogStamp> {
        let bound = staleness_bound(route).unwrap_or_default();
        let is_sampled = self.watch_plan().is_close();
        let position_deadline = Instant::now() + POSITION_RETRY_DELAY;
        loop {
            if let Some(floor) = group.bounded_floor(bound) {
                let own = session_floor.map(|floor| group.clamp_floor(floor));
                return Some(own.map_or(floor, |own| own.max(floor)));
            }
            let remaining = job.wait_remaining();
            let may_wait = is_sampled && Instant::now() < position_deadline;
            let readable = !may_wait && self.serving_primary(group).is_some();
            if remaining.is_zero() || readable {
                return None;
            }
            group.request_position();
            self.request_records();
            group.wait_changed(remaining.min(POSITION_RETRY_DELAY)).await;
        }
    }

    async fn try_member(
        &self,
        member: &Arc<GroupMember>,
        mut link: PooledLink,
        job: &StatementJob,
        floor: LogStamp,
        step: ReadStep,
        is_last: bool,
    ) -> Result<(StatementReply, PooledLink), AttemptFailure> {
        member.record_attempt(floor);
        let remaining = job.time_remaining();
        let timeout =
            if is_last { remaining } else { remaining.min(MIN_ATTEMPT_TIMEOUT.max(remaining / 2)) };
        let result = match step {
            ReadStep::Statement => job.run_on(&mut link, Some(floor), timeout).await,
            ReadStep::Begin => job.begin_on(&mut link, true, Some(floor), timeout).await,
        };
        match result {
            Ok(reply) => classify_reply(&self.group(&job.service), member, job, reply, link, step),
            Err(error) => {
                log_attempt(member, job, &error);
                // Triggers the watch of the primary, which detects a failed primary.
                request_sample(self, &self.group(&job.service)).await;
                member.deprioritize();
                Err(AttemptFailure::TryNext)
            }
        }
    }
}

fn classify_reply(
    group: &ServiceGroup,
    member: &Arc<GroupMember>,
    job: &StatementJob,
    reply: StatementReply,
    link: PooledLink,
    step: ReadStep,
) -> Result<(StatementReply, PooledLink), AttemptFailure> {
    if let Some(position) = reply.position {
        group.record_applied(member, position);
    }
    let Some(error) = reply.error() else { return Ok((reply, link)) };
    log::info!(
        request:% = job.id, service:% = job.service, member:% = member.name(), reason:% = error,
        outcome = "next_member"; "a member did not serve a read"
    );
    match error {
        // The member lags for this floor only; reads with a lower floor may still be sent to it.
        StatementError::Lagging => Err(AttemptFailure::TryNext),
        StatementError::Busy | StatementError::ReadOnly => {
            member.deprioritize();
            Err(AttemptFailure::TryNext)
        }
        StatementError::UnknownName => {
            link.close();
            Err(AttemptFailure::TryNext)
        }
        _ if step == ReadStep::Begin => Err(AttemptFailure::TryNext),
        StatementError::Failed => {
            member.deprioritize();
            Err(AttemptFailure::Failed(reply))
        }
        _ => Err(AttemptFailure::Final(reply)),
    }
}

fn log_attempt(member: &GroupMember, job: &StatementJob, error: &ExchangeError) {
    log::info!(
        request:% = job.id, service:% = job.service, member:% = member.name(),
        reason:% = error.reason, sent = error.sent, outcome = "next_member";
        "a read got no answer"
    );
}

fn timed_out(job: &StatementJob, step: ReadStep) -> StatementReply {
    log::info!(
        request:% = job.id, service:% = job.service, outcome = "timed_out"; "a read ran out of time"
    );
    let text = "no member answered in time";
    StatementReply::refusal(StatementError::TimedOut, text, state_after(step))
}

fn state_after(step: ReadStep) -> TransactionState {
    match step {
        ReadStep::Statement => TransactionState::Idle,
        ReadStep::Begin => TransactionState::Failed,
    }
}
