//! The session of one caller: dispatches its statements and tracks its transaction.

mod memory;

use super::job::{StatementJob, retry_text, retry_text_after};
use super::state::{SessionState, StateFull};
use super::transaction::OpenTransaction;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::limits::{ClaimError, RefusedOperation};
use crate::settings::{DatabaseName, KeyDigest, RouteKind, RouteRule};
use crate::statement::{
    CallerStatement, PreparedStatement, RequestId, StatementBody, StatementEffect, StatementError,
    StatementOutcome, StatementReply, TransactionState,
};
use rudder_core::{LogStamp, ServiceName, SessionFloor};
use rudder_decisions::MemoryReservation;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One of this many served statements is logged, which keeps the volume and cost of the log small
/// compared with the statements themselves.
const SERVED_SAMPLE: u64 = 64;

/// State of the session's transaction.
enum SessionPhase {
    Idle,
    Open(Box<OpenTransaction>),
    /// The transaction failed and its connection was released. `reported` is set once the caller
    /// has received the error.
    Failed {
        reported: bool,
    },
}

/// One caller's session: its session values, prepared statements, transaction, and the log
/// positions of its own commits.
pub struct CallerSession {
    engine: Arc<ProxyEngine>,
    database: DatabaseName,
    key: KeyDigest,
    session_state: SessionState,
    /// Memory of the running request and of the reply that the caller has not taken.
    request_memory: MemoryReservation,
    /// Size in bytes of the last rows that were read, and when.
    last_rows: Option<(usize, Instant)>,
    floors: Vec<SessionFloor>,
    phase: SessionPhase,
    /// Last operation, if the account's limit refused it.
    refused: Option<RefusedOperation>,
}

impl CallerSession {
    pub(crate) fn new(engine: Arc<ProxyEngine>, database: DatabaseName, key: KeyDigest) -> Self {
        let request_memory = engine.caller_memory().request_reservation();
        let session_state = SessionState::new(engine.caller_memory().session_reservation());
        Self {
            engine,
            database,
            key,
            session_state,
            request_memory,
            last_rows: None,
            floors: Vec::new(),
            phase: SessionPhase::Idle,
            refused: None,
        }
    }

    /// Returns the transaction state of the session between statements.
    #[must_use]
    pub fn state(&self) -> TransactionState {
        match self.phase {
            SessionPhase::Idle => TransactionState::Idle,
            SessionPhase::Open(_) => TransactionState::Open,
            SessionPhase::Failed { .. } => TransactionState::Failed,
        }
    }

    /// Idle timeout of the open transaction; `None` outside of transactions.
    #[must_use]
    pub fn transaction_idle_timeout(&self) -> Option<Duration> {
        matches!(self.phase, SessionPhase::Open(_)).then(|| self.engine.transaction_idle())
    }

    /// Rolls back the open transaction after the idle timeout or because this instance shuts down.
    /// The caller receives the error with its next statement.
    pub fn expire_transaction(&mut self) {
        if let SessionPhase::Open(open) = std::mem::replace(&mut self.phase, SessionPhase::Idle) {
            open.abandon();
            self.phase = SessionPhase::Failed { reported: false };
        }
    }

    /// Runs one statement and records its outcome. Its memory stays reserved, for the reply, until
    /// [`Self::finish_reply`].
    pub async fn run(&mut self, id: RequestId, statement: CallerStatement) -> StatementReply {
        let started_at = Instant::now();
        let reply = self.dispatch(id.clone(), statement).await;
        record_statement(&id, &self.database, started_at.elapsed(), &reply);
        self.reserve_reply(reply)
    }

    async fn dispatch(&mut self, id: RequestId, statement: CallerStatement) -> StatementReply {
        if statement == CallerStatement::Malformed {
            return self.refuse(StatementError::Malformed, "this cannot be understood");
        }
        match &self.phase {
            SessionPhase::Failed { reported } => {
                let reported = *reported;
                self.run_in_failed_transaction(&statement, reported)
            }
            _ => self.run_statement(id, statement).await,
        }
    }

    fn run_in_failed_transaction(
        &mut self,
        statement: &CallerStatement,
        reported: bool,
    ) -> StatementReply {
        let aborted = |state| {
            let text = "the transaction was rolled back; nothing of it is kept";
            StatementReply::refusal(StatementError::Aborted, text, state)
        };
        match statement {
            CallerStatement::Rollback => {
                self.phase = SessionPhase::Idle;
                StatementReply::without_member(TransactionState::Idle)
            }
            CallerStatement::Commit => {
                self.phase = SessionPhase::Idle;
                aborted(TransactionState::Idle)
            }
            _ if !reported => {
                self.phase = SessionPhase::Failed { reported: true };
                aborted(TransactionState::Failed)
            }
            _ => self.refuse(StatementError::Malformed, "the transaction failed; roll it back"),
        }
    }

    async fn run_statement(&mut self, id: RequestId, statement: CallerStatement) -> StatementReply {
        match statement {
            CallerStatement::Begin { read_only } => self.begin(read_only),
            CallerStatement::Commit => self.commit(id).await,
            CallerStatement::Rollback => self.roll_back(),
            CallerStatement::SetValue(value) => {
                let changed = self.session_state.set_value(value);
                self.reply_local(changed)
            }
            CallerStatement::Prepare { name, prepared } => {
                let changed = self.session_state.prepare(name, prepared);
                self.reply_local(changed)
            }
            CallerStatement::Deallocate(name) => self.deallocate(&name),
            CallerStatement::Read(text) => {
                let body = StatementBody::Text(text);
                self.run_on_member(id, body, StatementEffect::Read, None).await
            }
            CallerStatement::Write(text) => {
                let body = StatementBody::Text(text);
                self.run_on_member(id, body, StatementEffect::Write, None).await
            }
            CallerStatement::Execute { name, arguments } => {
                self.execute(id, &name, arguments).await
            }
            CallerStatement::Malformed => {
                self.refuse(StatementError::Malformed, "this cannot be understood")
            }
        }
    }

    fn refuse(&self, error: StatementError, text: &str) -> StatementReply {
        StatementReply::refusal(error, text, self.state())
    }

    fn begin(&mut self, read_only: bool) -> StatementReply {
        if matches!(self.phase, SessionPhase::Open(_)) {
            return self.refuse(StatementError::Malformed, "a transaction is open");
        }
        let access = match self.access() {
            Ok(access) => access,
            Err(reply) => return reply,
        };
        self.phase = SessionPhase::Open(Box::new(OpenTransaction::new(read_only, access)));
        StatementReply::without_member(TransactionState::Open)
    }

    /// Returns the route and account that the current settings grant to this caller.
    fn access(&self) -> Result<RouteAccess, StatementReply> {
        self.engine.access(&self.database, &self.key).map_err(|error| {
            log::info!(
                database:% = self.database, reason:% = error;
                "a session lost access to its database"
            );
            let text = match error {
                StatementError::Busy => retry_text("no settings are known to be current"),
                ref error => format!("{error}: {}", self.database),
            };
            self.refuse(error, &text)
        })
    }

    fn roll_back(&mut self) -> StatementReply {
        match std::mem::replace(&mut self.phase, SessionPhase::Idle) {
            SessionPhase::Open(open) => {
                open.abandon();
                StatementReply::without_member(TransactionState::Idle)
            }
            phase => {
                self.phase = phase;
                self.refuse(StatementError::Malformed, "no transaction is open")
            }
        }
    }

    /// Returns the reply to a statement that only changed session state and used no member.
    fn reply_local(&self, changed: Result<(), StateFull>) -> StatementReply {
        match changed {
            Ok(()) => StatementReply::without_member(self.state()),
            Err(StateFull::Memory) => {
                self.engine.caller_memory().record_refusal("session_memory");
                let text = retry_text(&StateFull::Memory.to_string());
                self.refuse(StatementError::Busy, &text)
            }
            Err(error) => self.refuse(StatementError::TooLarge, &error.to_string()),
        }
    }

    fn deallocate(&mut self, name: &str) -> StatementReply {
        if self.session_state.remove_prepared(name) {
            return StatementReply::without_member(self.state());
        }
        self.fail(StatementError::UnknownName, "there is no such prepared name")
    }

    /// Returns an error raised by this instance. Like any other error it aborts an open
    /// transaction.
    fn fail(&mut self, error: StatementError, text: &str) -> StatementReply {
        if let SessionPhase::Open(open) = std::mem::replace(&mut self.phase, SessionPhase::Idle) {
            open.abandon();
            self.phase = SessionPhase::Failed { reported: true };
        }
        self.refuse(error, text)
    }

    async fn execute(&mut self, id: RequestId, name: &str, arguments: String) -> StatementReply {
        let Some(prepared) = self.session_state.prepared(name).cloned() else {
            return self.fail(StatementError::UnknownName, "there is no such prepared name");
        };
        let body = StatementBody::Execute { alias: prepared.alias(), arguments };
        self.run_on_member(id, body, prepared.effect, Some(prepared)).await
    }

    async fn run_on_member(
        &mut self,
        id: RequestId,
        body: StatementBody,
        effect: StatementEffect,
        prepared: Option<PreparedStatement>,
    ) -> StatementReply {
        if matches!(self.phase, SessionPhase::Open(_)) {
            return self.run_in_transaction(id, body, effect, prepared).await;
        }
        let access = match self.access() {
            Ok(access) => access,
            Err(reply) => return reply,
        };
        let engine = Arc::clone(&self.engine);
        let grant = match engine.claim_operation(&access, &id, self.refused.take()).await {
            Ok(grant) => grant,
            Err(error) => return self.refuse_claim(&error),
        };
        let route = Arc::clone(&access.route);
        let job =
            StatementJob::new(id, body, effect, prepared, self.session_state.values(), &access);
        let floor = self.session_floor(&route.service);
        let reply = engine.run_single(&access, &job, floor).await;
        if let (Some(grant), true, false) = (grant, reply.error().is_some(), job.may_have_run()) {
            engine.return_grant(grant).await;
        }
        if effect == StatementEffect::Write && reply.error().is_none() {
            self.raise_floor(&route.service, reply.position);
        }
        reply
    }

    async fn run_in_transaction(
        &mut self,
        id: RequestId,
        body: StatementBody,
        effect: StatementEffect,
        prepared: Option<PreparedStatement>,
    ) -> StatementReply {
        let SessionPhase::Open(mut open) = std::mem::replace(&mut self.phase, SessionPhase::Idle)
        else {
            return self.refuse(StatementError::Malformed, "no transaction is open");
        };
        if let Err(error) = self.check_account(&open) {
            open.abandon();
            self.phase = SessionPhase::Failed { reported: true };
            return self.refuse(error, "the account of this transaction lost its key");
        }
        if let Err(error) = open.claim(&self.engine, &id, self.refused.take()).await {
            self.phase = SessionPhase::Failed { reported: true };
            return self.refuse_claim(&error);
        }
        let floor = self.session_floor(open.service());
        let job = StatementJob::new(
            id,
            body,
            effect,
            prepared,
            self.session_state.values(),
            open.access(),
        );
        let reply = open.run(&self.engine, &job, floor).await;
        if reply.state == TransactionState::Failed {
            open.abandon();
            self.phase = SessionPhase::Failed { reported: true };
        } else {
            self.phase = SessionPhase::Open(open);
        }
        reply
    }

    /// Returns the refusal of an operation whose claim failed, and keeps its reservation.
    fn refuse_claim(&mut self, error: &ClaimError) -> StatementReply {
        self.refused = RefusedOperation::of(error);
        self.refuse(StatementError::Busy, &refusal_text(error))
    }

    /// Checks that the caller's key still belongs to the account that began the transaction. Route
    /// changes do not affect an open transaction.
    fn check_account(&self, open: &OpenTransaction) -> Result<(), StatementError> {
        match self.engine.access(&self.database, &self.key) {
            Ok(access) if access.account != open.access().account => {
                Err(StatementError::Unauthorized)
            }
            Err(StatementError::Unauthorized) => Err(StatementError::Unauthorized),
            Ok(_) | Err(_) => Ok(()),
        }
    }

    async fn commit(&mut self, id: RequestId) -> StatementReply {
        let SessionPhase::Open(mut open) = std::mem::replace(&mut self.phase, SessionPhase::Idle)
        else {
            return self.refuse(StatementError::Malformed, "no transaction is open");
        };
        if let Err(error) = self.check_account(&open) {
            open.abandon();
            return self.refuse(error, "the account of this transaction lost its key");
        }
        let service = open.service().clone();
        if let Err(error) = open.claim(&self.engine, &id, self.refused.take()).await {
            return self.refuse_claim(&error);
        }
        let floor = self.session_floor(&service);
        let body = StatementBody::Commit;
        let effect = StatementEffect::Read;
        let job =
            StatementJob::new(id, body, effect, None, self.session_state.values(), open.access());
        let wrote = open.wrote();
        let reply = open.commit(&self.engine, &job, floor).await;
        if wrote && reply.error().is_none() {
            self.raise_floor(&service, reply.position);
        }
        reply
    }

    fn session_floor(&self, service: &ServiceName) -> Option<LogStamp> {
        let found = self.floors.binary_search_by(|floor| floor.service.cmp(service));
        found.ok().map(|index| self.floors[index].stamp)
    }

    /// Raises the session's floor for a service to the position of its own commit.
    fn raise_floor(&mut self, service: &ServiceName, position: Option<LogStamp>) {
        let Some(stamp) = position else { return };
        match self.floors.binary_search_by(|floor| floor.service.cmp(service)) {
            Ok(index) => self.floors[index].stamp = self.floors[index].stamp.max(stamp),
            Err(index) => {
                self.floors.insert(index, SessionFloor { service: service.clone(), stamp });
            }
        }
    }
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        // A caller that disconnects during a transaction has not requested a commit.
        if let SessionPhase::Open(open) = std::mem::replace(&mut self.phase, SessionPhase::Idle) {
            open.abandon();
        }
    }
}

/// Text of the refusal when the account's operation limit rejects the operation.
fn refusal_text(error: &ClaimError) -> String {
    retry_text_after(error.retry_after(), &error.to_string())
}

/// Updates the metrics and logs one of [`SERVED_SAMPLE`] statements served by a member. Statements
/// that were not served are all logged where the decision is made.
fn record_statement(
    id: &RequestId,
    database: &DatabaseName,
    elapsed: Duration,
    reply: &StatementReply,
) {
    let outcome = match &reply.outcome {
        StatementOutcome::Done(proof) if proof.is_empty() => "local",
        StatementOutcome::Done(_) => "served",
        StatementOutcome::Error { error, .. } => error.label(),
    };
    metrics::counter!("rudder_statements_total", "outcome" => outcome).increment(1);
    if outcome == "local" {
        return;
    }
    metrics::histogram!("rudder_statement_seconds").record(elapsed.as_secs_f64());
    // The sample is chosen by a hash of the request id, so that all instances log the same
    // requests.
    let sampled = xxhash_rust::xxh3::xxh3_64(id.0.as_bytes()).is_multiple_of(SERVED_SAMPLE);
    if outcome == "served" && sampled {
        log::info!(
            request:% = id, database:% = database, took_ms = elapsed.as_millis(),
            position = reply.position.map_or_else(String::new, |at| at.to_string()).as_str(),
            outcome = outcome;
            "a statement was served"
        );
    }
}

/// Staleness bound of a route's reads; `None` if replicas may not serve them.
pub(super) fn staleness_bound(route: &RouteRule) -> Option<Duration> {
    match route.kind {
        RouteKind::Strict => None,
        RouteKind::Bounded(bound) | RouteKind::ReadYourWrites(bound) => Some(bound),
    }
}
