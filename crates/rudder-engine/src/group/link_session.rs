//! What a shared connection knows of a session, and how to bring it to what the next one needs.

use crate::statement::{MemberCommand, SessionValue, StatementShape};

/// Shapes that one connection may know. Above it the connection is cleared, so that callers who
/// prepare ever new statements cannot fill a member's memory.
const SHAPES_MAX: usize = 64;

/// The values and prepared shapes on one connection, both sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkSession {
    values: Vec<SessionValue>,
    shapes: Vec<StatementShape>,
}

impl LinkSession {
    /// The commands after which the connection has exactly these values and knows the shape.
    ///
    /// Guards against a statement that runs with another caller's values: a value that the session
    /// never set can only be cleared with all others, so the connection is reset first.
    pub(crate) fn commands_for(
        &self,
        values: &[SessionValue],
        shape: Option<&StatementShape>,
    ) -> Vec<MemberCommand> {
        let is_named = |name: &str| values.iter().any(|value| value.name == name);
        let has_foreign = self.values.iter().any(|value| !is_named(&value.name));
        let unprepared = shape.filter(|shape| self.shapes.binary_search(shape).is_err());
        let is_full = unprepared.is_some() && self.shapes.len() >= SHAPES_MAX;
        if has_foreign || is_full {
            let mut commands = vec![MemberCommand::Reset];
            commands.extend(Self::default().commands_for(values, shape));
            return commands;
        }
        let missing = values.iter().filter(|value| self.values.binary_search(value).is_err());
        let mut commands: Vec<_> = missing.cloned().map(MemberCommand::SetValue).collect();
        commands.extend(
            unprepared
                .map(|shape| MemberCommand::Prepare { alias: shape.alias(), shape: shape.clone() }),
        );
        commands
    }

    /// Takes in that a command was done.
    pub(crate) fn apply(&mut self, command: &MemberCommand) {
        match command {
            MemberCommand::Reset => *self = Self::default(),
            MemberCommand::SetValue(value) => self.set_value(value),
            MemberCommand::Prepare { shape, .. } => {
                if let Err(index) = self.shapes.binary_search(shape) {
                    self.shapes.insert(index, shape.clone());
                }
            }
            _ => {}
        }
    }

    fn set_value(&mut self, value: &SessionValue) {
        put_value(&mut self.values, value.clone());
    }
}

/// Puts a value into a sorted list, in place of the one of the same name.
pub(crate) fn put_value(values: &mut Vec<SessionValue>, value: SessionValue) {
    match values.binary_search_by(|known| known.name.cmp(&value.name)) {
        Ok(index) => values[index] = value,
        Err(index) => values.insert(index, value),
    }
}
