//! Members that have left a group.

use crate::fixtures::member_entry;
use crate::group::departures::DepartureLog;
use crate::group::{MemberEntry, MemberState};
use crate::lead::PositionHistory;
use rudder_core::{FreshSample, LogStamp, MemberName};
use std::time::Duration;

/// Departed members after the membership has changed from `known` to `entries` at 1 s.
fn departed(known: &[MemberEntry], entries: &[MemberEntry]) -> Vec<String> {
    let mut log = DepartureLog::default();
    log.record(known.iter().cloned(), entries, Duration::from_secs(1));
    let previous: MemberName = "a".parse().expect("a name");
    let replicas = log.replicas(Some(&previous), &PositionHistory::default());
    replicas.iter().map(|replica| replica.member.to_string()).collect()
}

#[test]
fn a_replica_that_left_or_started_again_has_departed() {
    let known = [member_entry("a"), member_entry("b"), member_entry("c")];
    let restarted = MemberEntry { started_at_ms: 7, ..member_entry("b") };

    assert_eq!(departed(&known, &known), [""; 0]);
    assert_eq!(departed(&known, &known[1..2]), ["c"]);
    assert_eq!(departed(&known, &[member_entry("a"), restarted, member_entry("c")]), ["b"]);
}

#[test]
fn a_draining_replica_passes_its_log_to_the_member_at_its_address() {
    let mut successor = member_entry("d");
    successor.target.address = member_entry("c").target.address;
    let draining = MemberEntry { state: MemberState::Draining, ..member_entry("c") };

    assert_eq!(departed(&[member_entry("c")], std::slice::from_ref(&successor)), ["c"]);
    assert_eq!(departed(&[draining], &[successor]), [""; 0]);
}

#[test]
fn the_position_after_a_departure_is_that_of_the_next_sample() {
    let mut history = PositionHistory::default();
    for (sent_ms, position) in [(500, 10), (1200, 20), (1500, 30)] {
        let sent_at = Duration::from_millis(sent_ms);
        history.record(FreshSample { sent_at, stamp: LogStamp::new(1, position) });
    }
    let mut log = DepartureLog::default();
    log.record([member_entry("c")].into_iter(), &[], Duration::from_secs(1));

    let replicas = log.replicas(None, &history);

    assert_eq!(replicas[0].later_position, Some(LogStamp::new(1, 20)));
}
