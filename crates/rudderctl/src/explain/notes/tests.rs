use super::{NOTES, notes_on};
use crate::explain::line::LogLine;

/// Returns a line with a message and facts in JSON.
fn line(message: &str, facts: &str) -> LogLine {
    let text = format!(
        r#"entry-1 {{"timestamp":"2026-04-14T22:09:20.5+00:00","level":"INFO","message":"{message}","kvs":{{{facts}}}}}"#
    );
    LogLine::parse(&text, "a-file").expect("a line of an instance")
}

/// Asserts that each value of a field has exactly one note, and that the notes differ.
fn assert_noted(message: &str, field: &str, values: &[&str]) {
    let mut notes = Vec::new();
    for value in values {
        let found: Vec<_> = notes_on(&line(message, &format!(r#""{field}":"{value}""#))).collect();
        assert_eq!(found.len(), 1, "{message}: {field}={value}: {found:?}");
        notes.extend(found);
    }
    notes.sort_unstable();
    notes.dedup();
    assert_eq!(notes.len(), values.len(), "{message}: two values have the same note");
}

/// The search by message would not find a note that is out of order.
#[test]
fn notes_are_sorted_by_message() {
    assert!(NOTES.is_sorted_by_key(|known| known.message));
}

/// A word without a note leaves the operator with the source code.
#[test]
fn each_reason_of_a_forwarded_request_has_a_note() {
    let declined =
        ["draining", "overloaded", "unknown_account", "unknown_service", "expired", "invalid"];
    let faults = [
        "unreachable",
        "closed",
        "silent",
        "malformed",
        "timeout",
        "too_large",
        "queue_full",
        "undeliverable",
    ];

    assert_noted("a forwarded request was declined", "reason", &declined);
    assert_noted("a forwarded request was not served", "reason", &declined);
    assert_noted("a forwarded request was not served", "reason", &faults);
    for message in [
        "a forwarded request's reply was dropped",
        "the result of a forwarded request was not sent",
    ] {
        assert_eq!(notes_on(&line(message, "")).count(), 1, "{message}");
    }
    assert_noted(
        "a transaction of an origin was rolled back",
        "reason",
        &["draining", "idle", "origin"],
    );
}

/// The end of a connection is the cause of all requests that were pending on it.
#[test]
fn each_end_of_a_forwarding_connection_has_a_note() {
    let cases = [
        ("a forwarding connection ended", "broken"),
        ("a forwarding connection ended", "closed_by_peer"),
        ("a forwarding connection ended", "idle"),
        ("a forwarding connection ended", "malformed"),
        ("a forwarding connection ended", "silent"),
        ("a forwarding connection was not opened", "broken"),
        ("a forwarding connection was not opened", "closed_by_peer"),
        ("a forwarding connection was not opened", "timeout"),
        ("a forwarding connection was not opened", "version"),
    ];
    for (message, reason) in cases {
        let facts = format!(r#""peer":"10.0.0.2:7000","reason":"{reason}""#);

        let count = notes_on(&line(message, &facts)).count();

        assert_eq!(count, 2, "the consequence and the cause: {message}, {reason}");
    }
}

#[test]
fn each_change_of_a_loan_has_a_note() {
    let reasons = [
        "unused",
        "recalled",
        "expired",
        "disabled",
        "overdue",
        "unknown",
        "unanswered",
        "starting",
        "callers_wait",
        "borrowing",
        "no_spare",
        "ended",
        "invalid",
    ];

    assert_noted("a loan of connections changed", "reason", &reasons);
    assert_noted(
        "a loan of connections changed",
        "event",
        &["lent", "borrowed", "recalled", "ignored"],
    );
}

#[test]
fn each_role_and_each_rule_of_holders_has_a_note() {
    assert_noted(
        "the role of this instance in counting the operations of an account changed",
        "role",
        &["Absent", "Detached", "Provisional", "Successor", "Full", "Settled"],
    );
    assert_noted(
        "whether connections are left to their holders changed",
        "reason",
        &["connections_scarce", "connections_ample"],
    );
}

/// An error of a member would be explained as a fault of the connection between two instances.
#[test]
fn an_error_of_a_member_is_not_taken_for_a_fault_of_forwarding() {
    let refused = line(
        "a forwarded request was not served",
        r#""outcome":"refused","reason":"too_large","holder":"entry-2""#,
    );

    let notes: Vec<_> = notes_on(&refused).collect();

    assert_eq!(notes, ["the holder returned an error; its cause is in the lines of the holder"]);
}
