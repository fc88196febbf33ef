//! Reads that a replica may serve.

use super::caller::bound_of;
use super::job::{StatementJob, refuse};
use crate::engine::ProxyEngine;
use crate::group::{
    AcquireError, ExchangeError, GroupMember, PooledLink, ReadPlace, ServiceGroup, order_members,
};
use crate::settings::RouteRule;
use crate::statement::{StatementError, StatementReply, TransactionState};
use rudder_core::{LogStamp, MemberName};
use std::sync::Arc;
use std::time::Duration;

/// The least time that a member gets for its answer before another one is asked. Longer than
/// almost all reads take (some 10 to 400 ms), so that slow ones are not run twice.
const ATTEMPT_MIN: Duration = Duration::from_millis(450);

/// The pause before the members are tried anew when none could serve.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// How long word of the primary's position is awaited before it is asked for again: the first
/// question may meet a reader that has just started and knows none either.
const WORD_PAUSE: Duration = Duration::from_millis(60);

/// What is to be run at a member that may be a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStep {
    /// The statement itself.
    Statement,
    /// The beginning of a read-only transaction.
    Begin,
}

/// A connection in a read-only transaction.
pub(super) struct ReadStart {
    pub(super) link: PooledLink,
    pub(super) member: Arc<GroupMember>,
}

/// The end of one attempt that did not serve.
enum AttemptEnd {
    /// Another member may do better.
    Next,
    /// This answer is final.
    Final(StatementReply),
}

impl ProxyEngine {
    /// Serves a single read.
    pub(crate) async fn read_bounded(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> StatementReply {
        match self.read_at_some_member(route, job, session_floor, ReadStep::Statement).await {
            Ok((reply, _)) | Err(reply) => reply,
        }
    }

    /// Begins a read-only transaction.
    pub(super) async fn begin_bounded(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Result<ReadStart, StatementReply> {
        let (_, start) =
            self.read_at_some_member(route, job, session_floor, ReadStep::Begin).await?;
        Ok(start)
    }

    async fn read_at_some_member(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
        step: ReadStep,
    ) -> Result<(StatementReply, ReadStart), StatementReply> {
        let group = self.group(&route.service);
        let mut tried: Vec<MemberName> = Vec::new();
        let mut reason = "no member could be reached";
        loop {
            let Some(floor) = self.read_floor(&group, route, job, session_floor).await else {
                let reason = "the primary's position is not known";
                return Err(refuse(&group, job, reason, state_after(step)));
            };
            let place = ReadPlace { own: self.identity().place(), floor: Some(floor) };
            let members = order_members(&group.members(), &place);
            let mut left = members.iter().filter(|member| !tried.contains(member.name()));
            let Some(member) = left.next() else {
                if job.wait_left() < ROUND_PAUSE {
                    return Err(refuse(&group, job, reason, state_after(step)));
                }
                tokio::time::sleep(ROUND_PAUSE).await;
                tried.clear();
                continue;
            };
            let last = left.next().is_none();
            match self.try_member(member, job, floor, step, last).await {
                Ok((reply, link)) => {
                    return Ok((reply, ReadStart { link, member: Arc::clone(member) }));
                }
                Err(AttemptEnd::Final(reply)) => return Err(reply),
                Err(AttemptEnd::Next) => {
                    reason = "no member could serve the read in time";
                    tried.push(member.name().clone());
                }
            }
            if job.time_left().is_zero() {
                return Err(timed_out(job, step));
            }
        }
    }

    /// What a member's log must hold for this read: what the bound asks for and what the session
    /// wrote. Waits for a sample of the primary's position where there is none.
    async fn read_floor(
        &self,
        group: &Arc<ServiceGroup>,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Option<LogStamp> {
        let bound = bound_of(route).unwrap_or_default();
        loop {
            if let Some(floor) = group.bounded_floor(bound) {
                let own = session_floor.map(|floor| group.reachable(floor));
                return Some(own.map_or(floor, |own| own.max(floor)));
            }
            let left = job.wait_left();
            if left.is_zero() {
                return None;
            }
            self.want_position();
            self.want_word();
            group.wait_changed(left.min(WORD_PAUSE)).await;
        }
    }

    async fn try_member(
        &self,
        member: &Arc<GroupMember>,
        job: &StatementJob,
        floor: LogStamp,
        step: ReadStep,
        last: bool,
    ) -> Result<(StatementReply, PooledLink), AttemptEnd> {
        let mut link = match member.pool().acquire(job.priority, job.wait_left()).await {
            Ok(link) => link,
            Err(AcquireError::WaitOver | AcquireError::Down(_)) => return Err(AttemptEnd::Next),
        };
        let left = job.time_left();
        let limit = if last { left } else { left.min(ATTEMPT_MIN.max(left / 2)) };
        let answer = match step {
            ReadStep::Statement => job.run_on(&mut link, Some(floor), limit).await,
            ReadStep::Begin => job.begin_on(&mut link, true, Some(floor), limit).await,
        };
        match answer {
            Ok(reply) => judge_reply(member, job, reply, link, step),
            Err(error) => {
                log_attempt(member, job, &error);
                // The watch tells at once whether a primary is lost.
                self.want_position();
                member.doubt();
                Err(AttemptEnd::Next)
            }
        }
    }
}

fn judge_reply(
    member: &Arc<GroupMember>,
    job: &StatementJob,
    reply: StatementReply,
    link: PooledLink,
    step: ReadStep,
) -> Result<(StatementReply, PooledLink), AttemptEnd> {
    if let Some(position) = reply.position {
        member.note_applied(position);
    }
    let Some(error) = reply.error() else { return Ok((reply, link)) };
    log::info!(
        request:% = job.id, service:% = job.service, member:% = member.name(), reason:% = error,
        outcome = "next_member"; "a member did not serve a read"
    );
    match error {
        StatementError::Lagging | StatementError::Busy | StatementError::ReadOnly => {
            member.doubt();
            Err(AttemptEnd::Next)
        }
        StatementError::UnknownName => {
            link.close();
            Err(AttemptEnd::Next)
        }
        _ if step == ReadStep::Begin => Err(AttemptEnd::Next),
        _ => Err(AttemptEnd::Final(reply)),
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
