//! One statement on its way to a member.

use crate::clock::boot_time;
use crate::engine::RouteAccess;
use crate::group::{ExchangeError, LinkRequest, LinkUser, PooledLink, ServiceGroup};
use crate::statement::{
    MemberCommand, RequestId, SessionValue, StatementBody, StatementEffect, StatementError,
    StatementReply, StatementShape, TransactionState,
};
use rand::RngExt;
use rudder_core::{AccountName, LogStamp, ServiceName};
use rudder_decisions::WaitingWork;
use std::time::{Duration, Instant};

/// The part of a request's latency target that it may wait before a member gets it. A request
/// that waited longer could hardly be answered in time; told now, its caller still can elsewhere.
const WAIT_DIVISOR: u32 = 4;

/// The shortest and the longest time after which a refused caller is asked to come back; spread
/// so that callers who were refused together do not return together.
const RETRY_AFTER_RANGE_MS: std::ops::Range<u64> = 100..400;

/// A statement with all that it needs.
#[derive(Clone, Debug)]
pub(crate) struct StatementJob {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    /// The client account of the caller, if it has one.
    pub(crate) account: Option<AccountName>,
    pub(crate) body: StatementBody,
    pub(crate) effect: StatementEffect,
    /// The prepared shape that the body names, if it does.
    pub(crate) shape: Option<StatementShape>,
    /// The session's values, sorted.
    pub(crate) values: Vec<SessionValue>,
    pub(crate) priority: u8,
    started_at: Instant,
    /// Until when a connection and a primary may be waited for.
    pub(crate) wait_until: Instant,
    /// Until when an answer is of use.
    pub(crate) deadline: Instant,
}

impl StatementJob {
    pub(crate) fn new(
        id: RequestId,
        body: StatementBody,
        effect: StatementEffect,
        shape: Option<StatementShape>,
        values: &[SessionValue],
        access: &RouteAccess,
    ) -> Self {
        let route = &access.route;
        let now = Instant::now();
        Self {
            id,
            service: route.service.clone(),
            account: access.account.clone(),
            body,
            effect,
            shape,
            values: values.to_vec(),
            priority: route.priority,
            started_at: now,
            wait_until: now + route.latency_target.min(route.statement_timeout) / WAIT_DIVISOR,
            deadline: now + route.statement_timeout,
        }
    }

    /// What this work needs of a connection.
    pub(crate) fn link_request(&self, work: WaitingWork) -> LinkRequest {
        LinkRequest { user: LinkUser::Caller(self.account.clone()), rank: work.rank(self.priority) }
    }

    /// How long a connection may still be waited for.
    pub(crate) fn wait_remaining(&self) -> Duration {
        self.wait_until.saturating_duration_since(Instant::now())
    }

    /// How long an answer may still be waited for.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Runs the statement on a connection, with values and names laid on in the same write.
    pub(crate) async fn run_on(
        &self,
        link: &mut PooledLink,
        floor: Option<LogStamp>,
        timeout: Duration,
    ) -> Result<StatementReply, ExchangeError> {
        let mut commands = link.session().commands_for(&self.values, self.shape.as_ref());
        commands.push(MemberCommand::Statement {
            id: self.id.clone(),
            floor,
            body: self.body.clone(),
        });
        run_all(link, &commands, timeout).await
    }

    /// Begins a transaction on a connection, values and names laid on before.
    pub(crate) async fn begin_on(
        &self,
        link: &mut PooledLink,
        read_only: bool,
        floor: Option<LogStamp>,
        timeout: Duration,
    ) -> Result<StatementReply, ExchangeError> {
        let mut commands = link.session().commands_for(&self.values, self.shape.as_ref());
        commands.push(MemberCommand::Begin { read_only, floor });
        run_all(link, &commands, timeout).await
    }
}

/// Runs commands of which all but the last prepare the connection; the last one's answer counts.
async fn run_all(
    link: &mut PooledLink,
    commands: &[MemberCommand],
    timeout: Duration,
) -> Result<StatementReply, ExchangeError> {
    let mut replies = link.exchange(commands, timeout).await?;
    let last = replies.pop();
    let setup_error = replies.iter().find_map(StatementReply::error);
    match (last, setup_error) {
        (Some(last), None) => Ok(last),
        // Guards against an answer that was made with another caller's values: without its
        // preparation a statement's answer is worth nothing, and may have run.
        (_, error) => {
            let reason = error.map_or_else(|| "no answer".to_owned(), ToString::to_string);
            let reason = crate::border::LinkError::Protocol(reason);
            Err(ExchangeError { reason, sent: true })
        }
    }
}

/// Says when to come back, and why the request was not run.
pub(crate) fn retry_text(reason: &str) -> String {
    let after = rand::rng().random_range(RETRY_AFTER_RANGE_MS);
    retry_text_after(Duration::from_millis(after), reason)
}

/// The same with a time to come back.
pub(crate) fn retry_text_after(after: Duration, reason: &str) -> String {
    format!("not run, retry after {} ms: {reason}", after.as_millis())
}

/// The refusal of a request that was not run, with the knowledge that decided it in the log.
pub(crate) fn refuse(
    group: &ServiceGroup,
    job: &StatementJob,
    reason: &str,
    state: TransactionState,
) -> StatementReply {
    let now = boot_time();
    let age_ms = |at: Duration| now.saturating_sub(at).as_millis();
    let (epoch, record_age_ms) =
        group.with_leases(|leases| (leases.epoch(), age_ms(leases.confirmed_at())));
    let sample_age_ms = match group.newest_sample() {
        Some(sample) => age_ms(sample.sent_at).to_string(),
        None => "none".to_owned(),
    };
    log::info!(
        request:% = job.id, service:% = job.service, effect:? = job.effect, reason = reason,
        epoch:% = epoch, record_age_ms = record_age_ms, sample_age_ms = sample_age_ms.as_str(),
        waited_ms = job.started_at.elapsed().as_millis(), outcome = "not_run";
        "a statement was refused"
    );
    StatementReply::refusal(StatementError::Busy, &retry_text(reason), state)
}
