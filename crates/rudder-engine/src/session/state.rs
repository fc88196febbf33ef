//! Session state kept between statements: session values and prepared statements.

use crate::group::put_value;
use crate::statement::{PreparedStatement, SessionValue};
use displaydoc::Display;
use rudder_core::ByteSize;
use rudder_decisions::MemoryReservation;

/// Maximum number of session values, and of prepared statements, per session. Bounds the memory
/// that one caller can use.
const NAMES_MAX: usize = 1024;

/// Memory of an entry besides its texts.
const ENTRY_BYTES: usize = 96;

/// Reason why a session accepts no further value or prepared statement.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(super) enum StateFull {
    /// too many values
    Values,
    /// too many prepared names
    Names,
    /// the sessions of all callers hold too much memory
    Memory,
}

/// A prepared statement and its name in the session.
#[derive(Clone, Debug)]
struct PreparedName {
    name: String,
    prepared: PreparedStatement,
}

impl PreparedName {
    fn size(&self) -> usize {
        self.name.len() + self.prepared.size()
    }
}

/// Session values and prepared statements, both sorted by name.
#[derive(Debug)]
pub(super) struct SessionState {
    values: Vec<SessionValue>,
    names: Vec<PreparedName>,
    /// Bytes of all entries.
    size: usize,
    memory: MemoryReservation,
}

impl SessionState {
    pub(super) fn new(memory: MemoryReservation) -> Self {
        Self { values: Vec::new(), names: Vec::new(), size: 0, memory }
    }

    pub(super) fn values(&self) -> &[SessionValue] {
        &self.values
    }

    /// Returns the bytes of all session values.
    pub(super) fn values_size(&self) -> usize {
        self.values.iter().map(SessionValue::size).sum()
    }

    /// Whether the session holds memory beyond the exempt amount.
    pub(super) fn holds_memory(&self) -> bool {
        self.memory.charged() > ByteSize(0)
    }

    pub(super) fn set_value(&mut self, value: SessionValue) -> Result<(), StateFull> {
        let known = self.values.iter().find(|known| known.name == value.name);
        if known.is_none() && self.values.len() >= NAMES_MAX {
            return Err(StateFull::Values);
        }
        let replaced = known.map_or(0, |known| known.size() + ENTRY_BYTES);
        self.resize(replaced, value.size() + ENTRY_BYTES)?;
        put_value(&mut self.values, value);
        Ok(())
    }

    pub(super) fn prepare(
        &mut self,
        name: String,
        prepared: PreparedStatement,
    ) -> Result<(), StateFull> {
        let position = self.position(&name);
        if position.is_err() && self.names.len() >= NAMES_MAX {
            return Err(StateFull::Names);
        }
        let entry = PreparedName { name, prepared };
        let replaced = position.map_or(0, |index| self.names[index].size() + ENTRY_BYTES);
        self.resize(replaced, entry.size() + ENTRY_BYTES)?;
        match position {
            Ok(index) => self.names[index] = entry,
            Err(index) => self.names.insert(index, entry),
        }
        Ok(())
    }

    /// Removes a prepared statement; returns whether it existed.
    pub(super) fn remove_prepared(&mut self, name: &str) -> bool {
        let Ok(index) = self.position(name) else { return false };
        let entry = self.names.remove(index);
        // A smaller size always fits.
        let _ = self.resize(entry.size() + ENTRY_BYTES, 0);
        true
    }

    /// Returns a prepared statement by its name.
    pub(super) fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        let found = self.position(name);
        found.ok().map(|index| &self.names[index].prepared)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|known| known.name.as_str().cmp(name))
    }

    /// Accounts for an entry of `removed` bytes that is replaced by one of `added` bytes.
    fn resize(&mut self, removed: usize, added: usize) -> Result<(), StateFull> {
        let size = self.size - removed + added;
        self.memory.resize(ByteSize(size as u64)).map_err(|_| StateFull::Memory)?;
        self.size = size;
        Ok(())
    }
}
