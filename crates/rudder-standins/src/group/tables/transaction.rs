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
    pub(crate) work: GroupDatabase,
    pub(crate) effects: Vec<RowEffect>,
    /// Set by `ON CONFLICT`: a unique violation found at commit is reported as a serialization
    /// conflict, because such a statement must not fail with a violation.
    pub(crate) tolerant: bool,
    savepoints: Vec<SavedState>,
}

#[derive(Clone, Debug)]
struct SavedState {
    name: Arc<str>,
    work: GroupDatabase,
    effects: usize,
}

impl OpenTransaction {
    /// Begins a transaction on a snapshot.
    pub(crate) fn new(term: LogTerm, base_stamp: LogStamp, base: GroupDatabase) -> Self {
        Self {
            term,
            base_stamp,
            work: base.clone(),
            base,
            effects: Vec::new(),
            tolerant: false,
            savepoints: Vec::new(),
        }
    }

    /// Applies a change and records it.
    pub(crate) fn change(&mut self, effect: RowEffect) -> Result<(), SqlError> {
        self.work.apply(&effect)?;
        self.effects.push(effect);
        Ok(())
    }

    /// Creates a savepoint.
    pub(crate) fn save(&mut self, name: Arc<str>) {
        let effects = self.effects.len();
        self.savepoints.push(SavedState { name, work: self.work.clone(), effects });
    }

    /// Rolls back to a savepoint, which stays defined.
    pub(crate) fn return_to(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.saved_index(name)?;
        self.savepoints.truncate(index + 1);
        let saved = &self.savepoints[index];
        self.work = saved.work.clone();
        self.effects.truncate(saved.effects);
        Ok(())
    }

    /// Removes a savepoint and all later ones; their changes are kept.
    pub(crate) fn release(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.saved_index(name)?;
        self.savepoints.truncate(index);
        Ok(())
    }

    fn saved_index(&self, name: &str) -> Result<usize, SqlError> {
        self.savepoints
            .iter()
            .rposition(|saved| saved.name.as_ref() == name)
            .ok_or_else(|| SqlError::UnknownSavepoint(name.to_owned()))
    }
}
