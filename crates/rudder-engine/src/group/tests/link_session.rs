//! Tests of the commands that prepare a pooled connection for a session.

use crate::group::link_session::LinkSession;
use crate::statement::{MemberCommand, PreparedStatement, SessionValue, StatementEffect};

fn value(name: &str, value: &str) -> SessionValue {
    SessionValue { name: name.to_owned(), value: value.to_owned() }
}

fn prepared(text: &str) -> PreparedStatement {
    PreparedStatement { effect: StatementEffect::Read, text: text.to_owned() }
}

fn session_after(commands: &[MemberCommand]) -> LinkSession {
    let mut session = LinkSession::default();
    commands.iter().for_each(|command| session.apply(command));
    session
}

#[test]
fn known_values_and_shapes_are_not_sent_again() {
    let values = [value("a", "1")];
    let session =
        session_after(&LinkSession::default().commands_for(&values, Some(&prepared("q"))));

    assert_eq!(session.commands_for(&values, Some(&prepared("q"))), []);
}

#[test]
fn a_value_of_another_session_is_reset() {
    // One caller sets a value and the next one does not. If it stayed on the connection, the second
    // caller's statement would run with the first caller's value.
    let session = session_after(&[MemberCommand::SetValue(value("tone", "high"))]);

    let commands = session.commands_for(&[value("metre", "slow")], None);

    let expected = [MemberCommand::Reset, MemberCommand::SetValue(value("metre", "slow"))];
    assert_eq!(commands, expected);
}

#[test]
fn a_changed_value_is_set_without_a_reset() {
    // A reset within a transaction would abort the transaction.
    let session = session_after(&[MemberCommand::SetValue(value("tone", "high"))]);

    let commands = session.commands_for(&[value("tone", "low")], None);

    assert_eq!(commands, [MemberCommand::SetValue(value("tone", "low"))]);
}

#[test]
fn a_connection_with_the_maximum_number_of_shapes_is_reset() {
    // A caller that keeps preparing new statements must not make the member's memory grow.
    let many: Vec<_> = (0..64)
        .map(|number| {
            let prepared = prepared(&format!("q{number}"));
            MemberCommand::Prepare { alias: prepared.alias(), prepared }
        })
        .collect();

    let commands = session_after(&many).commands_for(&[], Some(&prepared("new")));

    assert_eq!(commands.first(), Some(&MemberCommand::Reset));
    assert_eq!(commands.len(), 2);
}

/// Guards against connections that keep the large values of a session that no longer uses them, and
/// against a statement that runs with values that were forgotten.
#[test]
fn large_values_are_forgotten_and_reset_before_the_next_use() {
    let large = [value("a", &"x".repeat(20_000))];
    let mut session = session_after(&LinkSession::default().commands_for(&large, None));

    session.trim();

    assert_eq!(session.commands_for(&[], None), [MemberCommand::Reset]);
    let [value] = large;
    let expected = [MemberCommand::Reset, MemberCommand::SetValue(value.clone())];
    assert_eq!(session.commands_for(&[value], None), expected);
    session.apply(&MemberCommand::Reset);
    assert_eq!(session, LinkSession::default());
}
