//! Simple query protocol.

use super::encode::{put, put_columns, put_complete, put_error, put_row};
use super::session::{BoundParameters, ClientSession, StatementError};
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::StatementPlan;
use crate::group::tables::result::StatementResult;
use pgwire::messages::response::EmptyQueryResponse;
use std::io;

impl ClientSession {
    /// Handles a `Query` message, whose statements form one implicit transaction.
    pub(crate) async fn simple_query(&mut self, text: &str) -> io::Result<()> {
        match self.simple_statements(text).await {
            Ok(()) => {}
            Err(StatementError::Connection(error)) => return Err(error),
            Err(StatementError::Sql(error)) => {
                self.mark_failed();
                put_error("ERROR", &error, &mut self.client.output);
            }
        }
        self.send_ready();
        Ok(())
    }

    async fn simple_statements(&mut self, text: &str) -> Result<(), StatementError> {
        let plans = self.member.shared.cache.plans(text)?;
        if plans.is_empty() {
            put(&EmptyQueryResponse::new(), &mut self.client.output);
            return Ok(());
        }
        let parameters = BoundParameters::none();
        let only_statement = plans.len() == 1;
        for (index, plan) in plans.iter().enumerate() {
            let result = self.run(plan, &parameters, only_statement).await?;
            let last = index + 1 == plans.len();
            self.send_simple(plan, result, last).await?;
        }
        Ok(())
    }

    /// Sends a result. The implicit transaction is committed before its last statement is reported
    /// as complete.
    async fn send_simple(
        &mut self,
        plan: &StatementPlan,
        mut result: StatementResult,
        last: bool,
    ) -> Result<(), StatementError> {
        match plan {
            StatementPlan::CopyIn(copy) => return self.copy_in(copy, last).await,
            StatementPlan::CopyOut(copy) => return self.copy_out(copy).await,
            _ if last => self.end_implicit()?,
            _ => {}
        }
        self.send_notices(&result);
        if let Some(columns) = &result.columns {
            put_columns(Some(columns), &[], &mut self.client.output);
        }
        let sent = self.send_rows(&mut result, &[], usize::MAX).await?;
        put_complete(result.tag, sent as u64, &mut self.client.output);
        Ok(())
    }

    /// Sends up to `count` rows of a result and returns the number of rows sent.
    pub(crate) async fn send_rows(
        &mut self,
        result: &mut StatementResult,
        formats: &[i16],
        count: usize,
    ) -> Result<usize, StatementError> {
        let columns = result.columns.as_deref().unwrap_or_default();
        let mut sent = 0;
        while sent < count {
            let Some(row) = result.rows.next_row() else { break };
            put_row(&row?, columns, formats, &mut self.client.output);
            sent += 1;
            self.client.flush_large().await?;
        }
        Ok(sent)
    }

    /// Reports a protocol violation; the caller then closes the connection.
    pub(crate) fn send_fatal(&mut self, error: &SqlError) {
        put_error("FATAL", error, &mut self.client.output);
    }
}
