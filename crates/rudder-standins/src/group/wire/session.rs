//! Client session: transaction state and execution of single statements.

use super::cancel::CancelKey;
use super::client::ClientStream;
use super::encode::{put, put_notice, put_ready};
use super::extended::{PortalTable, StatementTable};
use super::session_settings::SessionSettings;
use crate::group::handle::apply_knob_command;
use crate::group::member::GroupMember;
use crate::group::slots::lock;
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::StatementPlan;
use crate::group::sql::scalar::SessionInfo;
use crate::group::sql::value::{SqlType, SqlValue};
use crate::group::tables::describe::{status_columns, text_column};
use crate::group::tables::result::{CommandTag, StatementResult};
use crate::group::tables::run::{RunScope, run_plan};
use crate::group::tables::transaction::OpenTransaction;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;
use rudder_core::MemberStatus;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// State of the session's transaction block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockState {
    /// No block: statements commit at the end of their message or batch.
    None,
    Open,
    /// A statement failed: only the end of the block or a rollback to a savepoint is accepted.
    Failed,
}

/// Failure of a statement or of its connection.
#[derive(Debug)]
pub(crate) enum StatementError {
    /// The statement failed; the session continues.
    Sql(SqlError),
    /// The connection failed.
    Connection(io::Error),
}

impl From<SqlError> for StatementError {
    fn from(error: SqlError) -> Self {
        Self::Sql(error)
    }
}

impl From<io::Error> for StatementError {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

/// Parameter values of a statement, with their types.
#[derive(Clone, Debug)]
pub(crate) struct BoundParameters {
    pub(crate) values: Arc<[SqlValue]>,
    pub(crate) kinds: Arc<[SqlType]>,
}

impl BoundParameters {
    /// Creates an empty list of parameters.
    pub(crate) fn none() -> Self {
        Self { values: Arc::new([]), kinds: Arc::new([]) }
    }
}

/// One client's session with a member.
#[derive(Debug)]
pub(crate) struct ClientSession {
    pub(crate) member: Arc<GroupMember>,
    pub(crate) members: Arc<[Arc<GroupMember>]>,
    pub(crate) client: ClientStream,
    pub(crate) info: Arc<SessionInfo>,
    pub(crate) key: CancelKey,
    pub(crate) cancel: Arc<Notify>,
    pub(crate) settings: SessionSettings,
    /// Settings before the block, restored by a rollback.
    pub(crate) settings_at_begin: Option<SessionSettings>,
    /// Settings without the `SET LOCAL` changes of the block, restored by a commit.
    pub(crate) settings_without_local: Option<SessionSettings>,
    pub(crate) transaction: Option<OpenTransaction>,
    pub(crate) block: BlockState,
    /// Whether the block was opened read-only.
    pub(crate) read_only: bool,
    pub(crate) statements: StatementTable,
    pub(crate) portals: PortalTable,
    /// Set by an error in a batch: all messages up to `Sync` are ignored.
    pub(crate) skip_until_sync: bool,
}

impl ClientSession {
    /// Returns the transaction status for `ReadyForQuery`.
    pub(crate) fn status(&self) -> TransactionStatus {
        match self.block {
            BlockState::None => TransactionStatus::Idle,
            BlockState::Open => TransactionStatus::Transaction,
            BlockState::Failed => TransactionStatus::Error,
        }
    }

    /// Appends `ReadyForQuery`.
    pub(crate) fn send_ready(&mut self) {
        put_ready(self.status(), &mut self.client.output);
    }

    /// Runs one statement. `only_statement` states that no other statement belongs to its implicit
    /// transaction, so that it may run and commit in one step.
    pub(crate) async fn run(
        &mut self,
        plan: &StatementPlan,
        parameters: &BoundParameters,
        only_statement: bool,
    ) -> Result<StatementResult, StatementError> {
        if self.block == BlockState::Failed && !plan.allowed_in_failed_block() {
            return Err(SqlError::Aborted.into());
        }
        // The member may have been frozen while the session waited for the client. A statement
        // sent to a frozen member must not take effect before it is thawed.
        self.member.wait_thawed().await;
        if plan.takes_slot() {
            self.run_in_slot(plan, parameters, only_statement).await
        } else {
            self.run_control(plan).map_err(StatementError::Sql)
        }
    }

    /// Aborts the implicit transaction or marks the block as failed, after a statement failed.
    pub(crate) fn mark_failed(&mut self) {
        match self.block {
            BlockState::None => self.transaction = None,
            BlockState::Open | BlockState::Failed => self.block = BlockState::Failed,
        }
    }

    /// Commits the implicit transaction, at the end of a message or batch.
    pub(crate) fn end_implicit(&mut self) -> Result<(), SqlError> {
        if self.block != BlockState::None {
            return Ok(());
        }
        match self.transaction.take() {
            Some(transaction) => self.member.commit(transaction).map(drop),
            None => Ok(()),
        }
    }

    async fn run_in_slot(
        &mut self,
        plan: &StatementPlan,
        parameters: &BoundParameters,
        only_statement: bool,
    ) -> Result<StatementResult, StatementError> {
        self.update_role();
        let scope = self.scope(parameters);
        let sleep = sleep_time(plan, &scope)?;
        let permit = match self.member.slots.try_acquire() {
            Some(permit) => permit,
            None => {
                self.client.flush().await?;
                let member = Arc::clone(&self.member);
                let permit = self.cancellable(member.slots.acquire()).await?;
                permit.ok_or(SqlError::Cancelled)?
            }
        };
        let service = self.member.slots.next_service_time();
        if !service.is_zero() || !sleep.is_zero() {
            self.client.flush().await?;
            let member = Arc::clone(&self.member);
            self.cancellable(async {
                if !service.is_zero() {
                    member.slots.wait_service_time(service).await;
                }
                if !sleep.is_zero() {
                    tokio::time::sleep(sleep).await;
                }
            })
            .await?;
        }
        self.member.wait_thawed().await;
        let result = self.run_data(plan, &scope, only_statement)?;
        drop(permit);
        Ok(result)
    }

    /// Waits for `work` until the client cancels the statement or its timeout expires.
    async fn cancellable<T>(&self, work: impl Future<Output = T>) -> Result<T, SqlError> {
        let timeout = self.settings.statement_timeout();
        let timer = async {
            match timeout {
                Some(timeout) => tokio::time::sleep(timeout).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            result = work => Ok(result),
            () = self.cancel.notified() => Err(SqlError::Cancelled),
            () = timer => Err(SqlError::TimedOut),
        }
    }

    /// Creates the scope in which statements run.
    pub(crate) fn scope(&self, parameters: &BoundParameters) -> RunScope {
        RunScope {
            parameters: Arc::clone(&parameters.values),
            kinds: Arc::clone(&parameters.kinds),
            info: Arc::clone(&self.info),
        }
    }

    fn run_data(
        &mut self,
        plan: &StatementPlan,
        scope: &RunScope,
        only_statement: bool,
    ) -> Result<StatementResult, SqlError> {
        let write = plan.write_name();
        if let Some(statement) = write {
            if self.read_only {
                return Err(SqlError::ReadOnly(statement));
            }
            lock(&self.member.state).check_writable(statement)?;
        }
        let only_statement =
            only_statement && self.block == BlockState::None && self.transaction.is_none();
        match plan {
            StatementPlan::CopyIn(_) | StatementPlan::CopyOut(_) => {
                self.open_transaction();
                Ok(StatementResult::done(CommandTag::Plain("COPY")))
            }
            _ if only_statement && write.is_some() => self.run_and_commit(plan, scope),
            _ if only_statement => run_plan(plan, &mut self.snapshot(), scope),
            _ => run_plan(plan, self.open_transaction(), scope),
        }
    }

    /// Runs and commits a single statement under the member's lock, so that it reads and changes
    /// the latest rows and cannot conflict.
    fn run_and_commit(
        &mut self,
        plan: &StatementPlan,
        scope: &RunScope,
    ) -> Result<StatementResult, SqlError> {
        let result = {
            let mut state = lock(&self.member.state);
            let mut transaction = state.begin();
            let result = run_plan(plan, &mut transaction, scope)?;
            state.commit(transaction)?;
            result
        };
        self.member.shared.notify_replication();
        Ok(result)
    }

    /// Returns the open transaction; begins one if there is none.
    pub(crate) fn open_transaction(&mut self) -> &mut OpenTransaction {
        let transaction = match self.transaction.take() {
            Some(transaction) => transaction,
            None => self.snapshot(),
        };
        self.transaction.insert(transaction)
    }

    /// Begins a transaction on the latest rows, independent of the session's open one.
    fn snapshot(&self) -> OpenTransaction {
        lock(&self.member.state).begin()
    }

    /// Updates the member's role in the session data, for functions such as `pg_is_in_recovery`.
    fn update_role(&mut self) {
        let replica = self.member.is_replica();
        if replica != self.info.replica {
            Arc::make_mut(&mut self.info).replica = replica;
        }
    }

    fn run_control(&mut self, plan: &StatementPlan) -> Result<StatementResult, SqlError> {
        match plan {
            StatementPlan::Control(statement) => self.member.control(statement).map(status_result),
            StatementPlan::Knob(command) => {
                apply_knob_command(&self.members, &self.member, command)?;
                Ok(StatementResult::rows(
                    vec![text_column("knob")],
                    vec![vec![SqlValue::text("ok")]],
                ))
            }
            StatementPlan::Notice(text) => {
                let row = vec![SqlValue::text("sent")];
                let result = StatementResult::rows(vec![text_column("notice")], vec![row]);
                Ok(result.with_notice("NOTICE", "00000", text.as_ref().to_owned()))
            }
            StatementPlan::Begin { read_only } => Ok(self.begin_block(*read_only)),
            StatementPlan::Commit => self.commit_block(),
            StatementPlan::Rollback => Ok(self.roll_back()),
            StatementPlan::Savepoint(name) => {
                self.open_transaction().create_savepoint(Arc::clone(name));
                Ok(StatementResult::done(CommandTag::Plain("SAVEPOINT")))
            }
            StatementPlan::RollbackTo(name) => {
                self.open_transaction().roll_back_to(name)?;
                if self.block == BlockState::Failed {
                    self.block = BlockState::Open;
                }
                Ok(StatementResult::done(CommandTag::Plain("ROLLBACK")))
            }
            StatementPlan::Release(name) => {
                self.open_transaction().release_savepoint(name)?;
                Ok(StatementResult::done(CommandTag::Plain("RELEASE")))
            }
            StatementPlan::Set { name, value, local } => self.set(name, value.as_ref(), *local),
            StatementPlan::ResetAll => {
                let reports = self.settings.reset_all();
                self.report_settings(reports);
                Ok(StatementResult::done(CommandTag::Plain("RESET")))
            }
            StatementPlan::DiscardAll => self.discard_all(),
            StatementPlan::Deallocate(name) => {
                self.statements.deallocate(name.as_deref())?;
                Ok(StatementResult::done(CommandTag::Plain("DEALLOCATE")))
            }
            StatementPlan::Show(name) => {
                let value = SqlValue::text(self.show_value(name)?);
                let mut result = StatementResult::rows(vec![text_column(name)], vec![vec![value]]);
                result.tag = CommandTag::Plain("SHOW");
                Ok(result)
            }
            StatementPlan::NoOp(tag) => Ok(StatementResult::done(CommandTag::Plain(tag))),
            _ => Err(SqlError::Unsupported("this statement here".to_owned())),
        }
    }

    /// Returns the value of a setting or of a status that `SHOW` reports.
    fn show_value(&self, name: &str) -> Result<&str, SqlError> {
        let flag = match name {
            "transaction_read_only" => self.read_only || self.member.is_replica(),
            "in_hot_standby" => self.member.is_replica(),
            _ => return self.settings.get(name),
        };
        Ok(if flag { "on" } else { "off" })
    }

    /// Reports changed settings to the client.
    pub(crate) fn report_settings(&mut self, reports: impl IntoIterator<Item = (String, String)>) {
        for (name, value) in reports {
            put(&ParameterStatus::new(name, value), &mut self.client.output);
        }
    }

    /// Sends the notices of a result.
    pub(crate) fn send_notices(&mut self, result: &StatementResult) {
        for notice in &result.notices {
            put_notice(notice, &mut self.client.output);
        }
    }
}

fn status_result(status: MemberStatus) -> StatementResult {
    let texts = [
        status.role.to_string(),
        status.accepted.to_string(),
        status.received.term.to_string(),
        status.received.position.to_string(),
        status.applied.term.to_string(),
        status.applied.position.to_string(),
    ];
    let row = texts.iter().map(|text| SqlValue::text(text)).collect();
    StatementResult::rows(status_columns(), vec![row])
}

/// Returns the duration of a `pg_sleep` among the columns.
fn sleep_time(plan: &StatementPlan, scope: &RunScope) -> Result<Duration, SqlError> {
    let StatementPlan::Select(select) = plan else { return Ok(Duration::ZERO) };
    let Some(sleep) = &select.sleep else { return Ok(Duration::ZERO) };
    let text = sleep.evaluate(scope.row(None, &[]))?.to_text();
    let seconds: f64 = text.parse().map_err(|_| SqlError::InvalidText("double precision", text))?;
    Duration::try_from_secs_f64(seconds).map_err(|_| SqlError::OutOfRange)
}
