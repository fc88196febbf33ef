//! A single statement with its deadlines, and its execution on a connection to a member.

use crate::clock::boot_time;
use crate::engine::RouteAccess;
use crate::group::{ExchangeError, LinkRequest, LinkUser, PooledLink, ServiceGroup};
use crate::settings::RouteRule;
use crate::statement::{
    MemberCommand, PreparedStatement, RequestId, SessionValue, StatementBody, StatementEffect,
    StatementError, StatementReply, TransactionState,
};
use rand::RngExt;
use rudder_core::{AccountName, LogStamp, ServiceName};
use rudder_decisions::WaitingWork;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Fraction of the latency target (one part in this many) that a request may wait before it is sent
/// to a member. After a longer wait it would hardly complete in time; an early refusal lets the
/// caller retry elsewhere.
const WAIT_DIVISOR: u32 = 4;

/// Range of the random retry delay that refused callers are given, in milliseconds. The spread
/// keeps callers that were refused together from retrying at the same time.
const RETRY_AFTER_RANGE_MS: std::ops::Range<u64> = 100..400;

/// A statement with everything needed to run it at a member.
#[derive(Clone, Debug)]
pub(crate) struct StatementJob {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    /// Client account of the caller, if any.
    pub(crate) account: Option<AccountName>,
    pub(crate) body: StatementBody,
    pub(crate) effect: StatementEffect,
    /// Prepared statement that the body refers to, if any.
    pub(crate) prepared: Option<PreparedStatement>,
    /// Session values, sorted by name.
    pub(crate) values: Vec<SessionValue>,
    pub(crate) priority: u8,
    started_at: Instant,
    /// Deadline for obtaining a connection and a confirmed primary.
    pub(crate) wait_until: Instant,
    /// Deadline for the response.
    pub(crate) deadline: Instant,
    /// Whether a member may have run the statement, or begun its transaction.
    may_have_run: Arc<AtomicBool>,
}

impl StatementJob {
    pub(crate) fn new(
        id: RequestId,
        body: StatementBody,
        effect: StatementEffect,
        prepared: Option<PreparedStatement>,
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
            prepared,
            values: values.to_vec(),
            priority: route.priority,
            started_at: now,
            wait_until: now + wait_limit(route),
            deadline: now + route.statement_timeout,
            may_have_run: Arc::default(),
        }
    }

    /// Returns the job with the time to wait for a connection starting anew.
    pub(crate) fn with_renewed_wait(&self, route: &RouteRule) -> Self {
        let now = Instant::now();
        Self { wait_until: (now + wait_limit(route)).min(self.deadline), ..self.clone() }
    }

    /// Returns the connection request for this job.
    pub(crate) fn link_request(&self, work: WaitingWork) -> LinkRequest {
        LinkRequest { user: LinkUser::Caller(self.account.clone()), rank: work.rank(self.priority) }
    }

    /// Time left to obtain a connection.
    pub(crate) fn wait_remaining(&self) -> Duration {
        self.wait_until.saturating_duration_since(Instant::now())
    }

    /// Time left to receive the response.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Runs the statement on a connection. Missing session values and prepared statements are sent
    /// in the same write.
    pub(crate) async fn run_on(
        &self,
        link: &mut PooledLink,
        floor: Option<LogStamp>,
        timeout: Duration,
    ) -> Result<StatementReply, ExchangeError> {
        let mut commands = link.session().commands_for(&self.values, self.prepared.as_ref());
        commands.push(MemberCommand::Statement {
            id: self.id.clone(),
            floor,
            body: self.body.clone(),
        });
        self.record_attempt(run_all(link, &commands, timeout).await)
    }

    /// Begins a transaction on a connection. Missing session values and prepared statements are
    /// sent in the same write.
    pub(crate) async fn begin_on(
        &self,
        link: &mut PooledLink,
        read_only: bool,
        floor: Option<LogStamp>,
        timeout: Duration,
    ) -> Result<StatementReply, ExchangeError> {
        let mut commands = link.session().commands_for(&self.values, self.prepared.as_ref());
        commands.push(MemberCommand::Begin { read_only, floor });
        self.record_attempt(run_all(link, &commands, timeout).await)
    }

    /// Returns whether a member may have run the statement, or begun its transaction.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Records that the statement may have run at a member without a connection of this instance.
    pub(crate) fn record_run(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }

    fn record_attempt(
        &self,
        result: Result<StatementReply, ExchangeError>,
    ) -> Result<StatementReply, ExchangeError> {
        let not_run = match &result {
            Ok(reply) => reply.error().is_some_and(|error| {
                error.guarantees_not_run() || *error == StatementError::ConnectionLimit
            }),
            Err(error) => !error.sent,
        };
        if !not_run {
            self.record_run();
        }
        result
    }
}

/// Time that a request may wait for a connection.
fn wait_limit(route: &RouteRule) -> Duration {
    route.latency_target.min(route.statement_timeout) / WAIT_DIVISOR
}

/// Runs commands of which all but the last prepare the connection; returns the last one's reply.
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
        // If the preparation failed, the statement may have run with another caller's values, so
        // its reply cannot be used.
        (_, error) => {
            let reason = error.map_or_else(|| "no answer".to_owned(), ToString::to_string);
            let reason = crate::interfaces::LinkError::Protocol(reason);
            Err(ExchangeError { reason, sent: true })
        }
    }
}

/// Returns the text of a refusal with the reason and a random retry delay.
pub(crate) fn retry_text(reason: &str) -> String {
    let after = rand::rng().random_range(RETRY_AFTER_RANGE_MS);
    retry_text_after(Duration::from_millis(after), reason)
}

/// Returns the text of a refusal with the reason and the given retry delay.
pub(crate) fn retry_text_after(after: Duration, reason: &str) -> String {
    format!("not run, retry after {} ms: {reason}", after.as_millis())
}

/// Returns the refusal of a request that was not run, and logs the state that led to the decision. A
/// single read that a member may have run is reported as unanswered.
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
    let may_have_run = state == TransactionState::Idle && job.may_have_run();
    let outcome = if may_have_run { "timed_out" } else { "not_run" };
    log::info!(
        request:% = job.id, service:% = job.service, effect:? = job.effect, reason = reason,
        epoch:% = epoch, record_age_ms = record_age_ms, sample_age_ms = sample_age_ms.as_str(),
        waited_ms = job.started_at.elapsed().as_millis(), outcome = outcome;
        "a statement was refused"
    );
    if may_have_run {
        let text = "no member answered the read in time";
        return StatementReply::refusal(StatementError::TimedOut, text, state);
    }
    StatementReply::refusal(StatementError::Busy, &retry_text(reason), state)
}
