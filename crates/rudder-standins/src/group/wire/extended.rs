//! Extended query protocol: prepared statements, portals and batches.

use super::encode::{is_binary, put, put_columns, put_complete, put_error, put_parameters};
use super::session::{BlockState, BoundParameters, ClientSession, StatementError};
use crate::group::slots::lock;
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::StatementPlan;
use crate::group::sql::value::{SqlType, SqlValue};
use crate::group::tables::database::GroupDatabase;
use crate::group::tables::describe::{output_columns, parameter_types};
use crate::group::tables::result::{OutputColumn, StatementResult};
use pgwire::messages::PgWireFrontendMessage as FrontendMessage;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, MESSAGE_TYPE_BYTE_SYNC, Parse,
    ParseComplete, PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use std::io;
use std::sync::Arc;

/// A prepared statement.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    plans: Arc<[StatementPlan]>,
    kinds: Arc<[SqlType]>,
}

impl PreparedStatement {
    fn plan(&self) -> &StatementPlan {
        self.plans.first().unwrap_or(&StatementPlan::Empty)
    }
}

/// Prepared statement with bound parameters, and its result once it has run.
#[derive(Debug)]
pub(crate) struct QueryPortal {
    statement: Arc<PreparedStatement>,
    parameters: BoundParameters,
    formats: Vec<i16>,
    result: Option<StatementResult>,
}

/// Prepared statements sorted by name; the unnamed one has the empty name.
#[derive(Debug, Default)]
pub(crate) struct StatementTable {
    entries: Vec<(String, Arc<PreparedStatement>)>,
}

impl StatementTable {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|(known, _)| known.as_str().cmp(name))
    }

    fn get(&self, name: &str) -> Result<Arc<PreparedStatement>, SqlError> {
        match self.find(name) {
            Ok(index) => Ok(Arc::clone(&self.entries[index].1)),
            Err(_) => Err(SqlError::UnknownStatement(name.to_owned())),
        }
    }

    fn insert(&mut self, name: String, statement: PreparedStatement) -> Result<(), SqlError> {
        let statement = Arc::new(statement);
        match self.find(&name) {
            Ok(_) if !name.is_empty() => Err(SqlError::DuplicateStatement(name)),
            Ok(index) => {
                self.entries[index].1 = statement;
                Ok(())
            }
            Err(index) => {
                self.entries.insert(index, (name, statement));
                Ok(())
            }
        }
    }

    /// Removes one statement, or all if no name is given.
    pub(crate) fn deallocate(&mut self, name: Option<&str>) -> Result<(), SqlError> {
        let Some(name) = name else {
            self.entries.clear();
            return Ok(());
        };
        match self.find(name) {
            Ok(index) => {
                self.entries.remove(index);
                Ok(())
            }
            Err(_) => Err(SqlError::UnknownStatement(name.to_owned())),
        }
    }
}

/// Portals sorted by name; the unnamed one has the empty name.
#[derive(Debug, Default)]
pub(crate) struct PortalTable {
    entries: Vec<(String, QueryPortal)>,
}

impl PortalTable {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|(known, _)| known.as_str().cmp(name))
    }

    fn get(&self, name: &str) -> Result<&QueryPortal, SqlError> {
        match self.find(name) {
            Ok(index) => Ok(&self.entries[index].1),
            Err(_) => Err(SqlError::UnknownPortal(name.to_owned())),
        }
    }

    fn take(&mut self, name: &str) -> Result<QueryPortal, SqlError> {
        match self.find(name) {
            Ok(index) => Ok(self.entries.remove(index).1),
            Err(_) => Err(SqlError::UnknownPortal(name.to_owned())),
        }
    }

    fn insert(&mut self, name: String, portal: QueryPortal) {
        match self.find(&name) {
            Ok(index) => self.entries[index].1 = portal,
            Err(index) => self.entries.insert(index, (name, portal)),
        }
    }

    /// Closes all portals, as at the end of a transaction.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }
}

impl ClientSession {
    /// Handles a message of the extended protocol.
    pub(crate) async fn extended_message(&mut self, message: FrontendMessage) -> io::Result<()> {
        if let FrontendMessage::Sync(_) = message {
            self.sync();
            return Ok(());
        }
        // After an error the rest of the batch must not run, since the client sent it on the
        // assumption that the earlier statements succeed.
        if self.skip_until_sync {
            return Ok(());
        }
        match self.extended_step(message).await {
            Ok(()) => Ok(()),
            Err(StatementError::Connection(error)) => Err(error),
            Err(StatementError::Sql(error)) => {
                self.mark_failed();
                self.skip_until_sync = true;
                put_error("ERROR", &error, &mut self.client.output);
                Ok(())
            }
        }
    }

    async fn extended_step(&mut self, message: FrontendMessage) -> Result<(), StatementError> {
        match message {
            FrontendMessage::Parse(parse) => self.parse(parse)?,
            FrontendMessage::Bind(bind) => self.bind(bind)?,
            FrontendMessage::Describe(describe) => self.describe(&describe)?,
            FrontendMessage::Close(close) => self.close(&close),
            FrontendMessage::Execute(execute) => self.execute(execute).await?,
            FrontendMessage::Flush(_) => self.client.flush().await?,
            _ => return Err(SqlError::Protocol("unexpected message".to_owned()).into()),
        }
        Ok(())
    }

    fn sync(&mut self) {
        if !self.skip_until_sync
            && let Err(error) = self.end_implicit()
        {
            self.mark_failed();
            put_error("ERROR", &error, &mut self.client.output);
        }
        self.skip_until_sync = false;
        if self.block == BlockState::None {
            self.portals.clear();
        }
        self.send_ready();
    }

    /// Returns the tables as visible to the next statement.
    fn visible_tables(&self) -> GroupDatabase {
        match &self.transaction {
            Some(transaction) => transaction.current.clone(),
            None => lock(&self.member.state).log.database().clone(),
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let plans = self.member.shared.cache.plans(&parse.query)?;
        if plans.len() > 1 {
            return Err(SqlError::Syntax(
                "cannot insert multiple commands into a prepared statement".to_owned(),
            ));
        }
        let plan = plans.first().unwrap_or(&StatementPlan::Empty);
        if self.block == BlockState::Failed && !plan.allowed_in_failed_block() {
            return Err(SqlError::Aborted);
        }
        let tables = self.visible_tables();
        let kinds = parameter_types(plan, &tables, &parse.type_oids);
        output_columns(plan, &tables, &kinds)?;
        let statement = PreparedStatement { kinds: kinds.into(), plans };
        self.statements.insert(parse.name.unwrap_or_default(), statement)?;
        put(&ParseComplete::new(), &mut self.client.output);
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let statement = self.statements.get(bind.statement_name.as_deref().unwrap_or_default())?;
        if bind.parameters.len() != statement.kinds.len() {
            return Err(SqlError::Protocol(format!(
                "bind message supplies {} parameters, but prepared statement requires {}",
                bind.parameters.len(),
                statement.kinds.len()
            )));
        }
        let mut values = Vec::with_capacity(bind.parameters.len());
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let binary = is_binary(&bind.parameter_format_codes, index);
            values.push(parameter_value(bytes.as_deref(), statement.kinds[index], binary)?);
        }
        let parameters =
            BoundParameters { values: values.into(), kinds: Arc::clone(&statement.kinds) };
        let formats = bind.result_column_format_codes;
        let portal = QueryPortal { statement, parameters, formats, result: None };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        put(&BindComplete::new(), &mut self.client.output);
        Ok(())
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), SqlError> {
        let name = describe.name.as_deref().unwrap_or_default();
        let tables = self.visible_tables();
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let statement = self.statements.get(name)?;
            let columns = columns_of(&statement, &tables)?;
            put_parameters(&statement.kinds, &mut self.client.output);
            put_columns(columns.as_deref(), &[], &mut self.client.output);
            return Ok(());
        }
        let portal = self.portals.get(name)?;
        let columns = columns_of(&portal.statement, &tables)?;
        put_columns(columns.as_deref(), &portal.formats, &mut self.client.output);
        Ok(())
    }

    fn close(&mut self, close: &Close) {
        let name = close.name.as_deref().unwrap_or_default();
        // In this protocol it is no error to close a statement or portal that does not exist.
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let _ = self.statements.deallocate(Some(name));
        } else {
            let _ = self.portals.take(name);
        }
        put(&CloseComplete::new(), &mut self.client.output);
    }

    async fn execute(&mut self, execute: Execute) -> Result<(), StatementError> {
        let name = execute.name.unwrap_or_default();
        let mut portal = self.portals.take(&name)?;
        let statement = Arc::clone(&portal.statement);
        let plan = statement.plan();
        let mut result = match portal.result.take() {
            Some(result) => result,
            None => match plan {
                StatementPlan::Empty => {
                    put(&EmptyQueryResponse::new(), &mut self.client.output);
                    return Ok(());
                }
                plan => {
                    let only_statement = self.ends_batch().await?;
                    let result = self.run(plan, &portal.parameters, only_statement).await?;
                    self.send_notices(&result);
                    result
                }
            },
        };
        match plan {
            StatementPlan::CopyIn(copy) => return self.copy_in(copy, false).await,
            StatementPlan::CopyOut(copy) => return self.copy_out(copy).await,
            _ => {}
        }
        let count = match usize::try_from(execute.max_rows) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(count) => count,
        };
        let sent = self.send_rows(&mut result, &portal.formats, count).await?;
        if sent == count {
            put(&PortalSuspended::new(), &mut self.client.output);
        } else {
            put_complete(result.tag, sent as u64, &mut self.client.output);
        }
        portal.result = Some(result);
        self.portals.insert(name, portal);
        Ok(())
    }

    /// Returns whether the batch ends after this message, so that its only statement may run and
    /// commit in one step.
    ///
    /// Waiting for the next message cannot deadlock: a client that waits for the response must have
    /// sent `Sync` or `Flush`.
    async fn ends_batch(&mut self) -> io::Result<bool> {
        if self.block != BlockState::None || self.transaction.is_some() {
            return Ok(false);
        }
        Ok(self.client.peek_type().await? == Some(MESSAGE_TYPE_BYTE_SYNC))
    }
}

fn columns_of(
    statement: &PreparedStatement,
    tables: &GroupDatabase,
) -> Result<Option<Vec<OutputColumn>>, SqlError> {
    output_columns(statement.plan(), tables, &statement.kinds)
}

fn parameter_value(
    bytes: Option<&[u8]>,
    kind: SqlType,
    binary: bool,
) -> Result<SqlValue, SqlError> {
    match bytes {
        None => Ok(SqlValue::Null),
        Some(bytes) if binary => SqlValue::from_binary(kind, bytes),
        Some(bytes) => {
            let text = std::str::from_utf8(bytes).map_err(|_| {
                SqlError::InvalidText("text", "bytes that are not UTF-8".to_owned())
            })?;
            SqlValue::from_text(kind, text)
        }
    }
}
