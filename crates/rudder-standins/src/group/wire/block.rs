//! Transaction blocks, and session settings that are reverted when a block ends.

use super::session::{BlockState, ClientSession};
use crate::group::sql::error::SqlError;
use crate::group::tables::answer::{CommandTag, StatementAnswer};
use std::sync::Arc;

impl ClientSession {
    /// Opens a transaction block.
    pub(crate) fn begin_block(&mut self, read_only: bool) -> StatementAnswer {
        let answer = StatementAnswer::done(CommandTag::Plain("BEGIN"));
        if self.block != BlockState::None {
            let text = "there is already a transaction in progress".to_owned();
            return answer.with_notice("WARNING", "25001", text);
        }
        self.block = BlockState::Open;
        self.read_only = read_only;
        self.settings_before = Some(self.settings.clone());
        answer
    }

    /// Commits the transaction block, or rolls it back if it failed.
    pub(crate) fn commit_block(&mut self) -> Result<StatementAnswer, SqlError> {
        let answer = StatementAnswer::done(CommandTag::Plain("COMMIT"));
        match self.block {
            BlockState::None => {
                self.end_implicit()?;
                let text = "there is no transaction in progress".to_owned();
                Ok(answer.with_notice("WARNING", "25P01", text))
            }
            BlockState::Failed => Ok(self.roll_back()),
            BlockState::Open => {
                self.close_block();
                let committed = self.end_implicit();
                let before = self.settings_before.take();
                let local = self.settings_local.take();
                let earlier = if committed.is_ok() { local } else { before };
                if let Some(earlier) = earlier {
                    let reports = self.settings.restore(earlier);
                    self.report(reports);
                }
                committed.map(|()| answer)
            }
        }
    }

    /// Rolls back the transaction block.
    pub(crate) fn roll_back(&mut self) -> StatementAnswer {
        let answer = StatementAnswer::done(CommandTag::Plain("ROLLBACK"));
        self.transaction = None;
        let open = self.block != BlockState::None;
        self.close_block();
        self.settings_local = None;
        if let Some(earlier) = self.settings_before.take() {
            let reports = self.settings.restore(earlier);
            self.report(reports);
        }
        if open {
            return answer;
        }
        answer.with_notice("WARNING", "25P01", "there is no transaction in progress".to_owned())
    }

    /// Changes a session setting, or resets it if `value` is `None`.
    pub(crate) fn set(
        &mut self,
        name: &str,
        value: Option<&Arc<str>>,
        local: bool,
    ) -> Result<StatementAnswer, SqlError> {
        let answer =
            StatementAnswer::done(CommandTag::Plain(if value.is_some() { "SET" } else { "RESET" }));
        if local && self.block == BlockState::None {
            let text = "SET LOCAL can only be used in transaction blocks".to_owned();
            return Ok(answer.with_notice("WARNING", "25P01", text));
        }
        let before = self.settings.clone();
        let report = self.settings.set(name, value)?;
        if local && self.settings_local.is_none() {
            self.settings_local = Some(before);
        } else if let Some(kept) = &mut self.settings_local
            && !local
        {
            kept.set(name, value)?;
        }
        self.report(report);
        Ok(answer)
    }

    /// Resets the session to its initial state (`DISCARD ALL`).
    pub(crate) fn discard_all(&mut self) -> Result<StatementAnswer, SqlError> {
        if self.block != BlockState::None {
            return Err(SqlError::Unsupported("DISCARD ALL inside a transaction block".to_owned()));
        }
        self.statements.deallocate(None)?;
        self.portals.clear();
        let reports = self.settings.reset_all();
        self.report(reports);
        Ok(StatementAnswer::done(CommandTag::Plain("DISCARD ALL")))
    }

    fn close_block(&mut self) {
        self.block = BlockState::None;
        self.read_only = false;
        self.portals.clear();
    }
}
