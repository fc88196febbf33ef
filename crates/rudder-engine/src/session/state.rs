//! Session state kept between statements: session values and prepared statements.

use crate::group::put_value;
use crate::statement::{PreparedStatement, SessionValue};
use displaydoc::Display;

/// Maximum number of session values, and of prepared statements, per session. Bounds the memory
/// that one caller can use.
const NAMES_MAX: usize = 1024;

/// Reason why a session accepts no further value or prepared statement.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(super) enum StateFull {
    /// too many values
    Values,
    /// too many prepared names
    Names,
}

/// A prepared statement and its name in the session.
#[derive(Clone, Debug)]
struct PreparedName {
    name: String,
    prepared: PreparedStatement,
}

/// Session values and prepared statements, both sorted by name.
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

    pub(super) fn prepare(
        &mut self,
        name: String,
        prepared: PreparedStatement,
    ) -> Result<(), StateFull> {
        match self.position(&name) {
            Ok(index) => self.names[index].prepared = prepared,
            Err(_) if self.names.len() >= NAMES_MAX => return Err(StateFull::Names),
            Err(index) => self.names.insert(index, PreparedName { name, prepared }),
        }
        Ok(())
    }

    /// Removes a prepared statement; returns whether it existed.
    pub(super) fn remove_prepared(&mut self, name: &str) -> bool {
        let found = self.position(name);
        if let Ok(index) = found {
            self.names.remove(index);
        }
        found.is_ok()
    }

    /// Returns a prepared statement by its name.
    pub(super) fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        let found = self.position(name);
        found.ok().map(|index| &self.names[index].prepared)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|known| known.name.as_str().cmp(name))
    }
}
