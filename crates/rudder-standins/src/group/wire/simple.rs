//! Simple query protocol.

use super::encode::{put, put_columns, put_complete, put_error, put_row};
use super::session::{BoundParameters, ClientSession, StatementError};
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::StatementPlan;
use crate::group::tables::answer::StatementAnswer;
use pgwire::messages::response::EmptyQueryResponse;
use std::io;

impl ClientSession {
    /// Handles a `Query` message, whose statements form one implicit transaction.
    pub(crate) async fn simple_query(&mut self, text: &str) -> io::Result<()> {
        match self.simple_statements(text).await {
            Ok(()) => {}
            Err(StatementError::Connection(error)) => return Err(error),
            Err(StatementError::Sql(error)) => {
                self.fail();
                put_error("ERROR", &error, &mut self.client.output);
            }
        }
        self.ready();
        Ok(())
    }

    async fn simple_statements(&mut self, text: &str) -> Result<(), StatementError> {
        let plans = self.member.shared.cache.plans(text)?;
        if plans.is_empty() {
            put(&EmptyQueryResponse::new(), &mut self.client.output);
            return Ok(());
        }
        let parameters = BoundParameters::none();
        let alone = plans.len() == 1;
        for (index, plan) in plans.iter().enumerate() {
            let answer = self.run(plan, &parameters, alone).await?;
            let last = index + 1 == plans.len();
            self.send_simple(plan, answer, last).await?;
        }
        Ok(())
    }

    /// Sends a result. The implicit transaction is committed before its last statement is reported
    /// as complete.
    async fn send_simple(
        &mut self,
        plan: &StatementPlan,
        mut answer: StatementAnswer,
        last: bool,
    ) -> Result<(), StatementError> {
        match plan {
            StatementPlan::CopyIn(copy) => return self.copy_in(copy, last).await,
            StatementPlan::CopyOut(copy) => return self.copy_out(copy).await,
            _ if last => self.end_implicit()?,
            _ => {}
        }
        self.send_notices(&answer);
        if let Some(columns) = &answer.columns {
            put_columns(Some(columns), &[], &mut self.client.output);
        }
        let sent = self.send_rows(&mut answer, &[], usize::MAX).await?;
        put_complete(answer.tag, sent as u64, &mut self.client.output);
        Ok(())
    }

    /// Sends up to `count` rows of a result and returns the number of rows sent.
    pub(crate) async fn send_rows(
        &mut self,
        answer: &mut StatementAnswer,
        formats: &[i16],
        count: usize,
    ) -> Result<usize, StatementError> {
        let columns = answer.columns.as_deref().unwrap_or_default();
        let mut sent = 0;
        while sent < count {
            let Some(row) = answer.rows.next_row() else { break };
            put_row(&row?, columns, formats, &mut self.client.output);
            sent += 1;
            self.client.flush_large().await?;
        }
        Ok(sent)
    }

    /// Reports a protocol violation; the caller then closes the connection.
    pub(crate) fn refuse(&mut self, error: &SqlError) {
        put_error("FATAL", error, &mut self.client.output);
    }
}
