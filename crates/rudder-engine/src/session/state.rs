//! What a session keeps between statements: its values, and the names of its prepared statements.

use crate::group::put_value;
use crate::statement::{SessionValue, StatementShape};
use displaydoc::Display;

/// Values and names that one session may hold; callers beyond it would fill the memory.
const NAMES_MAX: usize = 1024;

/// Why a session takes no more.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(super) enum StateFull {
    /// too many values
    Values,
    /// too many prepared names
    Names,
}

/// A name that the session gave to a statement.
#[derive(Clone, Debug)]
struct PreparedName {
    name: String,
    shape: StatementShape,
}

/// Values and prepared names, both sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct SessionState {
    values: Vec<SessionValue>,
    names: Vec<PreparedName>,
}

impl SessionState {
    pub(super) fn values(&self) -> &[SessionValue] {
        &self.values
    }

    pub(super) fn set_value(&mut self, value: SessionValue) -> Result<(), StateFull> {
        let known = self.values.iter().any(|known| known.name == value.name);
        if !known && self.values.len() >= NAMES_MAX {
            return Err(StateFull::Values);
        }
        put_value(&mut self.values, value);
        Ok(())
    }

    pub(super) fn prepare(&mut self, name: String, shape: StatementShape) -> Result<(), StateFull> {
        match self.position(&name) {
            Ok(index) => self.names[index].shape = shape,
            Err(_) if self.names.len() >= NAMES_MAX => return Err(StateFull::Names),
            Err(index) => self.names.insert(index, PreparedName { name, shape }),
        }
        Ok(())
    }

    /// Forgets a name; returns whether it was known.
    pub(super) fn remove_prepared(&mut self, name: &str) -> bool {
        let found = self.position(name);
        if let Ok(index) = found {
            self.names.remove(index);
        }
        found.is_ok()
    }

    /// What a name stands for.
    pub(super) fn shape(&self, name: &str) -> Option<&StatementShape> {
        let found = self.position(name);
        found.ok().map(|index| &self.names[index].shape)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|known| known.name.as_str().cmp(name))
    }
}
