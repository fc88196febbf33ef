//! What a shared connection must be told before a session's statement.

use crate::group::link_session::LinkSession;
use crate::statement::{MemberCommand, SessionValue, StatementEffect, StatementShape};

fn value(name: &str, value: &str) -> SessionValue {
    SessionValue { name: name.to_owned(), value: value.to_owned() }
}

fn shape(text: &str) -> StatementShape {
    StatementShape { effect: StatementEffect::Read, shape: text.to_owned() }
}

fn session_after(commands: &[MemberCommand]) -> LinkSession {
    let mut session = LinkSession::default();
    commands.iter().for_each(|command| session.apply(command));
    session
}

#[test]
fn known_values_and_shapes_are_not_sent_again() {
    let values = [value("a", "1")];
    let session = session_after(&LinkSession::default().commands_for(&values, Some(&shape("q"))));

    assert_eq!(session.commands_for(&values, Some(&shape("q"))), []);
}

#[test]
fn a_value_of_another_session_is_reset() {
    // One caller set a tone, the next one never did. With the tone left on the connection, the
    // second caller's statement runs in a mode that nobody asked for.
    let session = session_after(&[MemberCommand::SetValue(value("tone", "high"))]);

    let commands = session.commands_for(&[value("metre", "slow")], None);

    let expected = [MemberCommand::Reset, MemberCommand::SetValue(value("metre", "slow"))];
    assert_eq!(commands, expected);
}

#[test]
fn a_changed_value_is_set_without_a_reset() {
    // Within a transaction the connection cannot be cleared without losing the transaction.
    let session = session_after(&[MemberCommand::SetValue(value("tone", "high"))]);

    let commands = session.commands_for(&[value("tone", "low")], None);

    assert_eq!(commands, [MemberCommand::SetValue(value("tone", "low"))]);
}

#[test]
fn a_connection_with_the_maximum_number_of_shapes_is_reset() {
    // A caller prepares ever new statements; the members' memory must not grow with them.
    let many: Vec<_> = (0..64)
        .map(|number| {
            let shape = shape(&format!("q{number}"));
            MemberCommand::Prepare { alias: shape.alias(), shape }
        })
        .collect();

    let commands = session_after(&many).commands_for(&[], Some(&shape("new")));

    assert_eq!(commands.first(), Some(&MemberCommand::Reset));
    assert_eq!(commands.len(), 2);
}
