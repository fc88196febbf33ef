//! A transaction: a snapshot, the changes made on it, and its savepoints.

use super::database::{GroupDatabase, RowEffect};
use crate::group::sql::error::SqlError;
use rudder_core::{LogStamp, LogTerm};
use std::sync::Arc;

/// An open transaction of a session.
#[derive(Clone, Debug)]
pub(crate) struct OpenTransaction {
    /// The term of the member when the transaction began.
    pub(crate) term: LogTerm,
    /// The stamp of the snapshot.
    pub(crate) base_stamp: LogStamp,
    pub(crate) base: GroupDatabase,
    /// The snapshot with the transaction's own changes.
    pub(crate) work: GroupDatabase,
    pub(crate) effects: Vec<RowEffect>,
    /// Set by `ON CONFLICT`: a unique violation found at commit is a conflict instead, because
    /// the statement asked not to see violations.
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
    /// A transaction over a snapshot.
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

    /// Makes a change.
    pub(crate) fn change(&mut self, effect: RowEffect) -> Result<(), SqlError> {
        self.work.apply(&effect)?;
        self.effects.push(effect);
        Ok(())
    }

    /// Remembers the present state under a name.
    pub(crate) fn save(&mut self, name: Arc<str>) {
        let effects = self.effects.len();
        self.savepoints.push(SavedState { name, work: self.work.clone(), effects });
    }

    /// Returns to a remembered state, which stays remembered.
    pub(crate) fn return_to(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.saved_index(name)?;
        self.savepoints.truncate(index + 1);
        let saved = &self.savepoints[index];
        self.work = saved.work.clone();
        self.effects.truncate(saved.effects);
        Ok(())
    }

    /// Forgets a remembered state and those after it.
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
