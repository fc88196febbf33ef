//! Session state on a pooled connection, and the commands that prepare it for the next session.

use crate::statement::{MemberCommand, PreparedStatement, SessionValue};

/// Maximum number of prepared statements on a connection. Beyond it the connection is reset, so
/// that callers that keep preparing new statements cannot exhaust a member's memory.
const PREPARED_MAX: usize = 64;

/// Maximum size in bytes of the values and prepared statements that are remembered of an unused
/// connection. What takes more is sent again to the next session that needs it.
const REMEMBERED_MAX: usize = 16 * 1024;

/// Session values and prepared statements on one connection, both sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkSession {
    values: Vec<SessionValue>,
    prepared: Vec<PreparedStatement>,
    /// Whether the connection has values or statements that are not remembered.
    forgotten: bool,
}

impl LinkSession {
    /// Returns the commands that give the connection exactly these values and prepare the
    /// statement.
    ///
    /// A value that another session left behind can only be cleared together with all others, so
    /// the connection is reset first. Otherwise the statement would run with that session's values.
    pub(crate) fn commands_for(
        &self,
        values: &[SessionValue],
        prepared: Option<&PreparedStatement>,
    ) -> Vec<MemberCommand> {
        let is_named = |name: &str| values.iter().any(|value| value.name == name);
        let has_foreign = self.forgotten || self.values.iter().any(|value| !is_named(&value.name));
        let unprepared = prepared.filter(|prepared| self.prepared.binary_search(prepared).is_err());
        let is_full = unprepared.is_some() && self.prepared.len() >= PREPARED_MAX;
        if has_foreign || is_full {
            let mut commands = vec![MemberCommand::Reset];
            commands.extend(Self::default().commands_for(values, prepared));
            return commands;
        }
        let missing = values.iter().filter(|value| self.values.binary_search(value).is_err());
        let mut commands: Vec<_> = missing.cloned().map(MemberCommand::SetValue).collect();
        commands.extend(unprepared.map(|prepared| MemberCommand::Prepare {
            alias: prepared.alias(),
            prepared: prepared.clone(),
        }));
        commands
    }

    /// Updates the state after a command succeeded.
    pub(crate) fn apply(&mut self, command: &MemberCommand) {
        match command {
            MemberCommand::Reset => *self = Self::default(),
            MemberCommand::SetValue(value) => self.set_value(value),
            MemberCommand::Prepare { prepared, .. } => {
                if let Err(index) = self.prepared.binary_search(prepared) {
                    self.prepared.insert(index, prepared.clone());
                }
            }
            _ => {}
        }
    }

    /// Forgets values and statements that take much memory. The connection is reset before its next
    /// use.
    pub(crate) fn trim(&mut self) {
        let values = self.values.iter().map(SessionValue::size);
        let prepared = self.prepared.iter().map(PreparedStatement::size);
        if values.chain(prepared).sum::<usize>() > REMEMBERED_MAX {
            *self = Self { forgotten: true, ..Self::default() };
        }
    }

    fn set_value(&mut self, value: &SessionValue) {
        put_value(&mut self.values, value.clone());
    }
}

/// Inserts a value into a sorted list, replacing the one with the same name.
pub(crate) fn put_value(values: &mut Vec<SessionValue>, value: SessionValue) {
    match values.binary_search_by(|known| known.name.cmp(&value.name)) {
        Ok(index) => values[index] = value,
        Err(index) => values.insert(index, value),
    }
}
