//! Transaction: a snapshot, the changes made to it, and its savepoints.

use super::database::{GroupDatabase, RowEffect};
use crate::group::sql::error::SqlError;
use rudder_core::{LogStamp, LogTerm};
use std::sync::Arc;

/// Open transaction of a session.
#[derive(Clone, Debug)]
pub(crate) struct OpenTransaction {
    /// Accepted term of the member when the transaction began.
    pub(crate) term: LogTerm,
    /// Stamp of the last entry applied to the snapshot.
    pub(crate) base_stamp: LogStamp,
    pub(crate) base: GroupDatabase,
    /// Snapshot with the transaction's own changes.
    pub(crate) current: GroupDatabase,
    pub(crate) effects: Vec<RowEffect>,
    /// Set by `ON CONFLICT`: a unique violation found at commit is reported as a serialization
    /// conflict, because such a statement must not fail with a violation.
    pub(crate) has_conflict_rule: bool,
    savepoints: Vec<SavepointState>,
}

#[derive(Clone, Debug)]
struct SavepointState {
    name: Arc<str>,
    current: GroupDatabase,
    effects: usize,
}

impl OpenTransaction {
    /// Begins a transaction on a snapshot.
    pub(crate) fn new(term: LogTerm, base_stamp: LogStamp, base: GroupDatabase) -> Self {
        Self {
            term,
            base_stamp,
            current: base.clone(),
            base,
            effects: Vec::new(),
            has_conflict_rule: false,
            savepoints: Vec::new(),
        }
    }

    /// Applies a change and records it.
    pub(crate) fn change(&mut self, effect: RowEffect) -> Result<(), SqlError> {
        self.current.apply(&effect)?;
        self.effects.push(effect);
        Ok(())
    }

    /// Creates a savepoint.
    pub(crate) fn create_savepoint(&mut self, name: Arc<str>) {
        let effects = self.effects.len();
        self.savepoints.push(SavepointState { name, current: self.current.clone(), effects });
    }

    /// Rolls back to a savepoint, which stays defined.
    pub(crate) fn roll_back_to(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.savepoint_index(name)?;
        self.savepoints.truncate(index + 1);
        let saved = &self.savepoints[index];
        self.current = saved.current.clone();
        self.effects.truncate(saved.effects);
        Ok(())
    }

    /// Removes a savepoint and all later ones; their changes are kept.
    pub(crate) fn release_savepoint(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.savepoint_index(name)?;
        self.savepoints.truncate(index);
        Ok(())
    }

    fn savepoint_index(&self, name: &str) -> Result<usize, SqlError> {
        self.savepoints
            .iter()
            .rposition(|saved| saved.name.as_ref() == name)
            .ok_or_else(|| SqlError::UnknownSavepoint(name.to_owned()))
    }
}
