//! Serves a read from a replica that holds what the session must see and is fresh enough, else from
//! the primary, else refuses it with the reason.

use super::attempt::{AttemptError, AttemptWork, MemberAttempt, bounds_of};
use super::response::put_ready;
use super::serve::{SessionEnd, refuse, refuse_settings};
use super::session::{CallerSession, FloorKnowledge, PinnedConnection};
use super::write::READ_ONLY;
use super::{session_change, write};
use crate::context::InstanceContext;
use crate::exchange::{
    BatchOutcome, CallerBatch, ExchangeError, HoldRule, ReplySink, drain_batch, encode_batch,
    relay_batch,
};
use crate::group::{ConfirmOutcome, GroupState};
use rudder_core::{
    MemberRole, MemberStatus, ReadDecision, ReadRequirement, RefusalNotice, decide_read,
};
use rudder_decisions::{ReadDemand, ReadRoute, RouteChoice, RouteReason, WorkClass};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Maximum number of attempts for one read before it is refused.
const ATTEMPTS_MAX: u32 = 8;

/// Retry delay in the refusal of a read, if no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Result of an attempt.
enum ReadEnd {
    /// The response was sent to the caller.
    Served,
    /// The member's data was too old; another member may serve the read.
    TooOld,
    /// The member failed before any response reached the caller.
    Failed,
    /// The member rejected the statement as a write.
    Writes,
}

/// Serves a read.
pub(crate) async fn serve(
    context: &Arc<InstanceContext>,
    session: &mut CallerSession,
    batch: &CallerBatch,
    group: &Arc<GroupState>,
) -> Result<(), SessionEnd> {
    group.record_use(session.caller.queue_wait).await;
    let arrived = group.reports.now();
    let deadline = Instant::now() + session.caller.queue_wait + group.timing.read_wait;
    let mut excluded: Vec<usize> = Vec::new();
    let mut waited = Duration::ZERO;
    let work = AttemptWork::of(batch, WorkClass::Read);
    let mut attempts = 0;
    let mut too_old = false;
    while attempts < ATTEMPTS_MAX {
        let mut changes = group.reports.subscribe();
        let choice = choose(context, session, group, &excluded, waited);
        let member = match choice.route {
            ReadRoute::Replica(member) | ReadRoute::Primary(member) => member,
            // The member is tried once it should have caught up: its status here may be outdated.
            ReadRoute::WaitFor(member, pause) => {
                tokio::time::sleep(pause).await;
                waited += pause;
                member
            }
            // Waits for a change. Otherwise a read would be refused while the first statuses of a
            // recently unused group are still to arrive, or during a failover.
            ReadRoute::Refuse => {
                excluded.clear();
                match timeout_at(deadline.into(), changes.changed()).await {
                    Ok(Ok(())) => continue,
                    _ => break,
                }
            }
        };
        attempts += 1;
        log_route(session, group, member, choice.reason);
        let attempt = MemberAttempt::begin(session, group, member, work, deadline).await;
        let attempt = match attempt {
            Ok(attempt) => attempt,
            // The members tried before were too old, and admission only reports that the deadline
            // for another attempt has passed. Refusing as overloaded would be wrong.
            Err(AttemptError::Refused(_)) if too_old => break,
            Err(AttemptError::Refused(reason)) => {
                let notice = RefusalNotice::Overloaded { retry_after: reason.retry_after };
                return refuse(session, batch, &notice).await;
            }
            Err(AttemptError::Settings(fields)) => {
                return refuse_settings(session, batch, &fields).await;
            }
            Err(AttemptError::Pool(_)) => {
                group.record_outcome(member, false);
                excluded.push(member);
                continue;
            }
        };
        match run(session, batch, attempt, arrived).await? {
            ReadEnd::Served => return Ok(()),
            ReadEnd::Writes => return write::serve(session, batch, group).await,
            ReadEnd::TooOld => {
                too_old = true;
                excluded.push(member);
            }
            ReadEnd::Failed if group.try_spend_retry(WorkClass::Read) => excluded.push(member),
            ReadEnd::Failed => break,
        }
    }
    let notice = match group.primary() {
        Some(_) => RefusalNotice::TooStale { retry_after: RETRY_AFTER },
        None => RefusalNotice::NoPrimary { retry_after: RETRY_AFTER },
    };
    refuse(session, batch, &notice).await
}

/// Chooses the member for a read. The index in the route refers to the group's members.
fn choose(
    context: &InstanceContext,
    session: &mut CallerSession,
    group: &GroupState,
    excluded: &[usize],
    waited: Duration,
) -> RouteChoice {
    let known = session.learn_floor(group);
    let (mut views, mut indexes) = group.routing_views();
    for index in (0..indexes.len()).rev() {
        let barred = !known && views[index].role == MemberRole::Replica;
        if barred || excluded.contains(&indexes[index]) {
            views.remove(index);
            indexes.remove(index);
        }
    }
    let demand = ReadDemand {
        floor: session.floor(),
        floor_age: session.floor_at.elapsed(),
        max_staleness: session.bound(),
        domain: context.domain().clone(),
        wait_max: group.timing.read_wait.saturating_sub(waited),
    };
    let choice = context.policies.reads.choose(&demand, &views, &mut rand::rng());
    let route = match choice.route {
        ReadRoute::Replica(index) => ReadRoute::Replica(indexes[index]),
        ReadRoute::Primary(index) => ReadRoute::Primary(indexes[index]),
        ReadRoute::WaitFor(index, pause) => ReadRoute::WaitFor(indexes[index], pause),
        ReadRoute::Refuse => ReadRoute::Refuse,
    };
    RouteChoice { route, reason: choice.reason }
}

fn log_route(session: &CallerSession, group: &GroupState, member: usize, reason: RouteReason) {
    log::info!(
        target: "rudder::route", service:% = group.service.name,
        member:% = group.members[member].name(), class = "read",
        kind:% = session.caller.kind, reason:% = reason; "read routed"
    );
}

async fn run(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    arrived: Duration,
) -> Result<ReadEnd, SessionEnd> {
    let mut queue = encode_batch(&mut attempt.pooled, batch);
    let status = match attempt.first_status().await {
        Ok(status) => status,
        Err(error) => return fail(session, attempt, &error).await,
    };
    if !may_serve(session, &attempt, &status, arrived).await {
        let group = Arc::clone(&attempt.group);
        let bounds = bounds_of(&group, attempt.member, batch);
        return match drain_batch(&mut attempt.pooled, &mut queue, bounds).await {
            Ok(outcome) if outcome.status == b'I' => {
                attempt.finish(session).await;
                Ok(ReadEnd::TooOld)
            }
            Ok(_) => {
                attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
                Ok(ReadEnd::TooOld)
            }
            Err(error) => fail(session, attempt, &error).await,
        };
    }
    let group = Arc::clone(&attempt.group);
    let bounds = bounds_of(&group, attempt.member, batch);
    let mut sink = ReplySink::new(&mut session.link, HoldRule::UntilRow);
    let relayed = relay_batch(&mut attempt.pooled, &mut queue, &mut sink, bounds).await;
    let held = sink.into_held();
    match relayed {
        Ok(outcome) if is_hidden_write(&outcome) && !held.relayed => {
            attempt.finish(session).await;
            Ok(ReadEnd::Writes)
        }
        Ok(outcome) => {
            held.release(&mut session.link);
            count_read(&status);
            conclude(session, batch, attempt, &outcome).await;
            Ok(ReadEnd::Served)
        }
        Err(error) if held.relayed || matches!(error, ExchangeError::Caller(_)) => {
            attempt.abandon(session, &error).await;
            Err(SessionEnd::Broken(error))
        }
        Err(error) => fail(session, attempt, &error).await,
    }
}

async fn fail(
    session: &CallerSession,
    attempt: MemberAttempt,
    error: &ExchangeError,
) -> Result<ReadEnd, SessionEnd> {
    attempt.abandon(session, error).await;
    Ok(ReadEnd::Failed)
}

fn is_hidden_write(outcome: &BatchOutcome) -> bool {
    outcome.error.as_ref().is_some_and(|error| error.sqlstate == READ_ONLY)
}

/// Whether the member's response may be sent to the caller, by the status that the member itself
/// gave on the same connection before the read.
pub(super) async fn may_serve(
    session: &CallerSession,
    attempt: &MemberAttempt,
    status: &MemberStatus,
    arrived: Duration,
) -> bool {
    let group = &attempt.group;
    let bound = session.bound();
    let unknown = session.knowledge != FloorKnowledge::Known;
    let requirement = ReadRequirement { floor: session.floor(), bound, as_of: group.reports.now() };
    let decision = group.reports.with_samples(|samples| decide_read(status, &requirement, samples));
    match decision {
        ReadDecision::Serve => !unknown || confirm_leadership(attempt, status, arrived).await,
        ReadDecision::TooOldForSession => false,
        ReadDecision::TooOldForBound => confirm_leadership(attempt, status, arrived).await,
    }
}

/// Whether the member is the confirmed primary: a majority, queried after the read arrived, must
/// not have accepted a greater term. Otherwise an isolated primary could serve stale data as
/// current.
async fn confirm_leadership(
    attempt: &MemberAttempt,
    status: &MemberStatus,
    arrived: Duration,
) -> bool {
    if status.role != MemberRole::Primary {
        return false;
    }
    let within = attempt.group.timing.ack_timeout;
    let outcome = attempt.group.confirm_term(status.accepted, arrived, within).await;
    outcome == ConfirmOutcome::Acknowledged
}

fn count_read(status: &MemberStatus) {
    metrics::counter!("rudder_reads_total", "role" => status.role.to_string()).increment(1);
}

/// Ends the response. Returns the connection to the pool, or keeps it for the open transaction.
async fn conclude(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    outcome: &BatchOutcome,
) {
    session_change::apply(session, batch, &mut attempt.pooled, outcome);
    if outcome.status == b'I' {
        attempt.finish(session).await;
    } else {
        let settings_before = session.settings.clone();
        let group = Arc::clone(&attempt.group);
        let member = attempt.member;
        let pooled = attempt.into_pooled();
        session.pinned = Some(PinnedConnection {
            group,
            member,
            pooled,
            term: None,
            status: outcome.status,
            settings_before,
            skipping: false,
            key: None,
        });
    }
    put_ready(session.link.write_buffer(), outcome.status);
}
