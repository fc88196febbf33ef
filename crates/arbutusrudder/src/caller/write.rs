//! Serves a write at the primary, and acknowledges it only once a majority holds it at the
//! primary's own term.

use super::acknowledge::{await_majority, leading_term};
use super::attempt::{AttemptError, AttemptWork, MemberAttempt, bounds_of};
use super::keyed::{self, KeyedRequest, run_internal};
use super::local::report_token;
use super::read::may_serve;
use super::response::{put_ready, put_refusal};
use super::serve::{SessionEnd, refuse, refuse_settings};
use super::session::{CallerSession, FloorKnowledge, PinnedConnection};
use super::session_change;
use crate::exchange::{
    BatchEnd, BatchOutcome, CallerBatch, ExchangeError, HeldReplies, HoldRule, ReplyQueue,
    ReplySink, drain_batch, encode_batch, relay_batch,
};
use crate::group::GroupState;
use rudder_core::{LogStamp, MemberStatus, RefusalNotice, TERM_REFUSED_SQLSTATE};
use rudder_decisions::{MemberHealth, RefusalReason, WorkClass};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Retry delay in the refusal of a write that found no primary, if no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// SQLSTATE with which a replica rejects a write.
pub(super) const READ_ONLY: &str = "25006";

/// Delay before the next attempt after a member turned out not to be the primary.
const REROUTE_DELAY: Duration = Duration::from_millis(20);

/// Result of an attempt.
pub(crate) enum WriteEnd {
    /// The response was sent to the caller.
    Answered,
    /// The batch provably did not run: a retry is safe.
    NotRun,
}

/// Serves a write, or a batch that begins a transaction.
pub(crate) async fn serve(
    session: &mut CallerSession,
    batch: &CallerBatch,
    group: &Arc<GroupState>,
) -> Result<(), SessionEnd> {
    let deadline = Instant::now() + session.caller.queue_wait;
    group.record_use(session.caller.queue_wait).await;
    let work = AttemptWork::of(batch, WorkClass::Write);
    let mut keyed = KeyedRequest::of(session, batch);
    let mut tried = false;
    loop {
        let primary = await_primary(group, deadline).await;
        let Some(member) = primary.filter(|_| Instant::now() < deadline) else {
            let notice = RefusalNotice::NoPrimary { retry_after: RETRY_AFTER };
            return refuse_write(session, batch, keyed.as_ref(), notice).await;
        };
        log_route(session, group, member);
        let attempt = MemberAttempt::begin(session, group, member, work, deadline).await;
        let attempt = match attempt {
            Ok(attempt) => attempt,
            Err(AttemptError::Refused(reason)) => {
                let notice = refusal_notice(&reason, tried);
                return refuse_write(session, batch, keyed.as_ref(), notice).await;
            }
            Err(AttemptError::Settings(fields)) => {
                return refuse_settings(session, batch, &fields).await;
            }
            Err(AttemptError::Pool(_)) => {
                group.record_outcome(member, false);
                tokio::time::sleep(REROUTE_DELAY).await;
                continue;
            }
        };
        let end = match &mut keyed {
            Some(keyed) if batch.begins().is_none() => {
                keyed::run(session, batch, attempt, keyed).await?
            }
            _ => run(session, batch, attempt).await?,
        };
        if let (Some(pinned), Some(keyed)) = (&mut session.pinned, &keyed) {
            pinned.key = Some(keyed.key.clone());
        }
        match end {
            WriteEnd::Answered => return Ok(()),
            WriteEnd::NotRun => tokio::time::sleep(REROUTE_DELAY).await,
        }
        tried = true;
    }
}

/// Returns the refusal for a write that admission control rejected. `tried` is true if an earlier
/// attempt found that its member was not the confirmed primary.
///
/// Admission rejects every request past its deadline. If the deadline passed while a primary was
/// sought, a refusal as overloaded would be wrong, since no requests are waiting.
pub(super) fn refusal_notice(reason: &RefusalReason, tried: bool) -> RefusalNotice {
    if tried {
        return RefusalNotice::NoPrimary { retry_after: RETRY_AFTER };
    }
    RefusalNotice::Overloaded { retry_after: reason.retry_after }
}

/// Refuses a write that cannot be attempted again. After an attempt under a key that may have
/// committed, the outcome is reported as unknown instead of "not run".
async fn refuse_write(
    session: &mut CallerSession,
    batch: &CallerBatch,
    keyed: Option<&KeyedRequest>,
    notice: RefusalNotice,
) -> Result<(), SessionEnd> {
    let sent = keyed.is_some_and(KeyedRequest::may_have_committed);
    let notice = if sent { RefusalNotice::Unresolved } else { notice };
    refuse(session, batch, &notice).await
}

/// Returns the member believed to be the primary; waits for one until the deadline.
async fn await_primary(group: &Arc<GroupState>, deadline: Instant) -> Option<usize> {
    let mut changes = group.reports.subscribe();
    loop {
        let up = |index: &usize| group.members[*index].health() != MemberHealth::Down;
        let leader = group.primary().map(|belief| belief.index).filter(up);
        if leader.is_some() {
            return leader;
        }
        timeout_at(deadline.into(), changes.changed()).await.ok()?.ok()?;
    }
}

fn log_route(session: &CallerSession, group: &GroupState, member: usize) {
    log::info!(
        target: "rudder::route", service:% = group.service.name,
        member:% = group.members[member].name(), class = "write",
        kind:% = session.caller.kind, reason = "primary"; "write routed"
    );
}

async fn run(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
) -> Result<WriteEnd, SessionEnd> {
    let arrived = attempt.group.reports.now();
    let mut queue = encode_batch(&mut attempt.pooled, batch);
    let status_requested = may_pipeline_status(batch) && attempt.request_next_status().is_ok();
    let before = match attempt.first_status().await {
        Ok(status) => status,
        Err(error) => return Ok(fail_attempt(session, batch, attempt, &error).await),
    };
    // A transaction must not read at an isolated primary. Its commit would end as unknown, but its
    // earlier reads could return stale data or miss the session's own writes.
    let begins = batch.begins().is_some() && !batch.ends();
    if begins && !may_serve(session, &attempt, &before, arrived).await {
        return Ok(reject_transaction(session, batch, attempt, queue).await);
    }
    let group = Arc::clone(&attempt.group);
    let bounds = bounds_of(&group, attempt.member, batch);
    let mut sink = ReplySink::new(&mut session.link, HoldRule::UntilCommit);
    let relayed = relay_batch(&mut attempt.pooled, &mut queue, &mut sink, bounds).await;
    let held = sink.into_held();
    let outcome = match relayed {
        Ok(outcome) => outcome,
        Err(error) if held.relayed || matches!(error, ExchangeError::Caller(_)) => {
            attempt.abandon(session, &error).await;
            return Err(SessionEnd::Broken(error));
        }
        Err(error) => return Ok(fail_attempt(session, batch, attempt, &error).await),
    };
    if is_not_run(&outcome, &held) {
        let settled = !status_requested || attempt.next_status().await.is_ok();
        if settled && outcome.status == b'I' {
            attempt.finish(session).await;
        }
        return Ok(WriteEnd::NotRun);
    }
    if outcome.status != b'I' {
        held.release(&mut session.link);
        return Ok(pin(session, batch, attempt, &outcome, &before, status_requested).await);
    }
    let committed = held.completions > 0 && outcome.last_tag != b"ROLLBACK" && batch.executes;
    if !committed {
        let settled = !status_requested || attempt.next_status().await.is_ok();
        if !settled {
            attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
            report_unresolved(session);
            return Ok(WriteEnd::Answered);
        }
        held.release(&mut session.link);
        finish_uncommitted(session, batch, attempt, &outcome).await;
        return Ok(WriteEnd::Answered);
    }
    let Some(stamp) = attempt.commit_stamp(leading_term(&before), status_requested).await else {
        attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
        report_unresolved(session);
        return Ok(WriteEnd::Answered);
    };
    if outcome.error.is_none() {
        session_change::apply(session, batch, &mut attempt.pooled, &outcome);
    }
    let member = attempt.member;
    attempt.finish(session).await;
    if await_majority(&group, member, stamp).await {
        held.release(&mut session.link);
        record_commit(session, stamp);
        put_ready(session.link.write_buffer(), b'I');
    } else {
        report_unresolved(session);
    }
    Ok(WriteEnd::Answered)
}

/// Rolls back a transaction that began at a member that may not serve it. Nothing was committed.
async fn reject_transaction(
    session: &CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    mut queue: ReplyQueue,
) -> WriteEnd {
    let group = Arc::clone(&attempt.group);
    let bounds = bounds_of(&group, attempt.member, batch);
    let drained = drain_batch(&mut attempt.pooled, &mut queue, bounds).await;
    let undone = match drained {
        Ok(_) => {
            run_internal(&mut attempt.pooled, "ROLLBACK", bounds.member_timeout).await.map(drop)
        }
        Err(error) => Err(error),
    };
    match undone {
        Ok(()) => attempt.finish(session).await,
        Err(error) => attempt.abandon(session, &error).await,
    }
    WriteEnd::NotRun
}

/// Whether the status request can be sent along with the batch. A COPY would read it as data, and a
/// Flush leaves the batch open.
fn may_pipeline_status(batch: &CallerBatch) -> bool {
    batch.end != BatchEnd::Flush && !batch.copies_in() && batch.begins().is_none()
}

/// Whether the member rejected the whole batch because it is not the primary, and the caller has
/// received nothing of it.
pub(crate) fn is_not_run(outcome: &BatchOutcome, held: &HeldReplies) -> bool {
    let refused = |sqlstate: &str| sqlstate == READ_ONLY || sqlstate == TERM_REFUSED_SQLSTATE;
    held.completions == 0
        && !held.relayed
        && outcome.error.as_ref().is_some_and(|error| refused(&error.sqlstate))
}

/// Ends an attempt whose connection failed after the batch was sent, so that it is unknown whether
/// it ran.
async fn fail_attempt(
    session: &mut CallerSession,
    batch: &CallerBatch,
    attempt: MemberAttempt,
    error: &ExchangeError,
) -> WriteEnd {
    attempt.abandon(session, error).await;
    if !batch.executes {
        return WriteEnd::NotRun;
    }
    report_unresolved(session);
    WriteEnd::Answered
}

/// Reports to the caller that the outcome is unknown.
pub(crate) fn report_unresolved(session: &mut CallerSession) {
    metrics::counter!("rudder_refusals_total", "class" => "unknown", "sqlstate" => "08007")
        .increment(1);
    put_refusal(session.link.write_buffer(), &RefusalNotice::Unresolved);
    put_ready(session.link.write_buffer(), b'I');
}

/// Ends the response to a batch that committed nothing and left no transaction open.
pub(crate) async fn finish_uncommitted(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    outcome: &BatchOutcome,
) {
    session_change::apply(session, batch, &mut attempt.pooled, outcome);
    attempt.finish(session).await;
    put_ready(session.link.write_buffer(), b'I');
}

/// Raises the session's floor to an acknowledged commit, and reports the new token.
pub(crate) fn record_commit(session: &mut CallerSession, stamp: LogStamp) {
    metrics::counter!("rudder_commits_total").increment(1);
    let service = session.service.clone();
    session.token.raise(&service, stamp);
    session.floor_at = Instant::now();
    // The session's own acknowledged write is at or after all of its earlier ones in the log.
    session.knowledge = FloorKnowledge::Known;
    report_token(session);
}

/// Reserves the connection for the session's transaction.
async fn pin(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    outcome: &BatchOutcome,
    before: &MemberStatus,
    status_requested: bool,
) -> WriteEnd {
    if status_requested && attempt.next_status().await.is_err() {
        attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
        report_unresolved(session);
        return WriteEnd::Answered;
    }
    let settings_before = session.settings.clone();
    session_change::apply(session, batch, &mut attempt.pooled, outcome);
    let group = Arc::clone(&attempt.group);
    let member = attempt.member;
    let pooled = attempt.into_pooled();
    let flushed = outcome.status == 0;
    session.pinned = Some(PinnedConnection {
        group,
        member,
        pooled,
        term: leading_term(before),
        status: if flushed { b'I' } else { outcome.status },
        settings_before,
        skipping: flushed && outcome.error.is_some(),
        key: None,
    });
    if !flushed {
        put_ready(session.link.write_buffer(), outcome.status);
    }
    WriteEnd::Answered
}
