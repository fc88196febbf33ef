//! Members that have left a group.

use crate::fixtures::member_entry;
use crate::group::departures::{DepartureLog, holder_of};
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
    replicas.iter().map(|replica| replica.holder.member.to_string()).collect()
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

/// Returns the primary's history with samples at 0.5, 1.2 and 1.5 s.
fn history() -> PositionHistory {
    let mut history = PositionHistory::default();
    for (sent_ms, position) in [(500, 10), (1200, 20), (1500, 30)] {
        let sent_at = Duration::from_millis(sent_ms);
        history.record(FreshSample { sent_at, stamp: LogStamp::new(1, position) });
    }
    history
}

/// Returns the log after the member `c` has left at 1 s.
fn log_without_c() -> DepartureLog {
    let mut log = DepartureLog::default();
    log.record([member_entry("c")].into_iter(), &[], Duration::from_secs(1));
    log
}

fn later_position(log: &DepartureLog) -> Option<LogStamp> {
    log.replicas(None, &history())[0].later_position
}

/// Guards against a replica that is only cut from the store, goes on receiving commits, and counts as
/// one that has ended.
#[test]
fn a_replica_that_left_counts_as_ended_only_if_probes_fail() {
    let mut log = log_without_c();
    let holder = holder_of(&member_entry("c"));

    let unprobed = later_position(&log);
    log.record_probe(&holder, false, Duration::from_millis(1000));
    let failed_once = later_position(&log);
    log.record_probe(&holder, false, Duration::from_millis(1100));
    let ended = later_position(&log);
    log.record_probe(&holder, true, Duration::from_millis(1200));
    let back = later_position(&log);

    assert_eq!((unprobed, failed_once, back), (None, None, None));
    assert_eq!(ended, Some(LogStamp::new(1, 20)));
}

/// Guards against commits of a released process that came back with its log.
#[test]
fn a_released_process_that_responds_counts_again() {
    let mut log = log_without_c();
    let holder = holder_of(&member_entry("c"));
    log.record_probe(&holder, false, Duration::from_millis(1000));
    log.record_probe(&holder, false, Duration::from_millis(1100));

    log.release(&holder);
    let released = log.replicas(None, &history()).len();
    let probed = log.to_probe(Duration::from_secs(2));
    log.record_probe(&holder, true, Duration::from_secs(2));

    assert_eq!((released, probed), (0, vec![holder]));
    assert_eq!(log.replicas(None, &history()).len(), 1);
}

#[test]
fn an_earlier_process_of_a_listed_member_has_ended() {
    let restarted = MemberEntry { started_at_ms: 7, ..member_entry("c") };
    let mut log = DepartureLog::default();

    log.record([member_entry("c")].into_iter(), &[restarted], Duration::from_secs(1));

    assert_eq!(later_position(&log), Some(LogStamp::new(1, 20)));
    assert!(log.to_probe(Duration::from_secs(1)).is_empty());
}

/// Guards against a lost replica that is forgotten in a restart of all instances.
#[test]
fn processes_of_the_record_that_are_not_listed_have_left() {
    let holders = ["b", "c"].map(|name| holder_of(&member_entry(name)));
    let mut log = DepartureLog::default();

    log.adopt(&holders, &[], &[member_entry("b")], Duration::from_secs(1));

    assert_eq!(log.holders().cloned().collect::<Vec<_>>(), holders[1..]);
}

/// Guards against a released process that comes back with its log, cut from the store, after a restart
/// of all instances.
#[test]
fn released_processes_of_the_record_are_probed() {
    let holder = holder_of(&member_entry("c"));
    let mut log = DepartureLog::default();
    let now = Duration::from_secs(100);

    log.adopt(&[], std::slice::from_ref(&holder), &[member_entry("b")], now);
    let counted = log.holders().count();
    let requested = log.to_request(now);
    log.record_probe(&holder, true, now);

    assert_eq!((counted, requested), (0, vec![holder.clone()]));
    assert_eq!(log.holders().cloned().collect::<Vec<_>>(), [holder]);
}
