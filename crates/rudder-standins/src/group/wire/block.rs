//! Transaction blocks, and session settings that are reverted when a block ends.

use super::session::{BlockState, ClientSession};
use crate::group::sql::error::SqlError;
use crate::group::tables::result::{CommandTag, StatementResult};
use std::sync::Arc;

impl ClientSession {
    /// Opens a transaction block.
    pub(crate) fn begin_block(&mut self, read_only: bool) -> StatementResult {
        let result = StatementResult::done(CommandTag::Plain("BEGIN"));
        if self.block != BlockState::None {
            let text = "there is already a transaction in progress".to_owned();
            return result.with_notice("WARNING", "25001", text);
        }
        self.block = BlockState::Open;
        self.read_only = read_only;
        self.settings_at_begin = Some(self.settings.clone());
        result
    }

    /// Commits the transaction block, or rolls it back if it failed.
    pub(crate) fn commit_block(&mut self) -> Result<StatementResult, SqlError> {
        let result = StatementResult::done(CommandTag::Plain("COMMIT"));
        match self.block {
            BlockState::None => {
                self.end_implicit()?;
                let text = "there is no transaction in progress".to_owned();
                Ok(result.with_notice("WARNING", "25P01", text))
            }
            BlockState::Failed => Ok(self.roll_back()),
            BlockState::Open => {
                self.close_block();
                let committed = self.end_implicit();
                let before = self.settings_at_begin.take();
                let local = self.settings_without_local.take();
                let earlier = if committed.is_ok() { local } else { before };
                if let Some(earlier) = earlier {
                    let reports = self.settings.restore(earlier);
                    self.report_settings(reports);
                }
                committed.map(|()| result)
            }
        }
    }

    /// Rolls back the transaction block.
    pub(crate) fn roll_back(&mut self) -> StatementResult {
        let result = StatementResult::done(CommandTag::Plain("ROLLBACK"));
        self.transaction = None;
        let open = self.block != BlockState::None;
        self.close_block();
        self.settings_without_local = None;
        if let Some(earlier) = self.settings_at_begin.take() {
            let reports = self.settings.restore(earlier);
            self.report_settings(reports);
        }
        if open {
            return result;
        }
        result.with_notice("WARNING", "25P01", "there is no transaction in progress".to_owned())
    }

    /// Changes a session setting, or resets it if `value` is `None`.
    pub(crate) fn set(
        &mut self,
        name: &str,
        value: Option<&Arc<str>>,
        local: bool,
    ) -> Result<StatementResult, SqlError> {
        let result =
            StatementResult::done(CommandTag::Plain(if value.is_some() { "SET" } else { "RESET" }));
        if local && self.block == BlockState::None {
            let text = "SET LOCAL can only be used in transaction blocks".to_owned();
            return Ok(result.with_notice("WARNING", "25P01", text));
        }
        let before = self.settings.clone();
        let report = self.settings.set(name, value)?;
        if local && self.settings_without_local.is_none() {
            self.settings_without_local = Some(before);
        } else if let Some(kept) = &mut self.settings_without_local
            && !local
        {
            kept.set(name, value)?;
        }
        self.report_settings(report);
        Ok(result)
    }

    /// Resets the session to its initial state (`DISCARD ALL`).
    pub(crate) fn discard_all(&mut self) -> Result<StatementResult, SqlError> {
        if self.block != BlockState::None {
            return Err(SqlError::Unsupported("DISCARD ALL inside a transaction block".to_owned()));
        }
        self.statements.deallocate(None)?;
        self.portals.clear();
        let reports = self.settings.reset_all();
        self.report_settings(reports);
        Ok(StatementResult::done(CommandTag::Plain("DISCARD ALL")))
    }

    fn close_block(&mut self) {
        self.block = BlockState::None;
        self.read_only = false;
        self.portals.clear();
    }
}
