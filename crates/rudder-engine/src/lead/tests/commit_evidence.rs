//! Log positions that hold all acknowledged commits.

use super::member;
use crate::lead::{CommitEvidence, CommitHolder, DepartedReplica};
use rudder_core::{LogStamp, MemberName};

fn stamp(position: u64) -> LogStamp {
    LogStamp::new(1, position)
}

fn evidence(sync_replicas: u32, replicas: &[&str]) -> CommitEvidence {
    let replicas = replicas.iter().map(|name| member(name)).collect();
    CommitEvidence {
        sync_replicas,
        replicas,
        departed: Vec::new(),
        acknowledged: None,
        base: None,
        newest: None,
    }
}

/// Position that must have been received after these reports, with the previous primary `a`.
fn complete(evidence: &CommitEvidence, reports: &[(&str, u64)]) -> Option<u64> {
    let reports: Vec<(MemberName, LogStamp)> =
        reports.iter().map(|(name, position)| (member(name), stamp(*position))).collect();
    let found = evidence.complete_position(Some(&member("a")), &reports);
    found.map(|stamp| stamp.position.0)
}

#[test]
fn all_replicas_but_the_synchronous_ones_must_report() {
    let one = evidence(1, &["b", "c"]);
    let two = evidence(2, &["b", "c"]);

    assert_eq!(complete(&one, &[("b", 90)]), None);
    assert_eq!(complete(&one, &[("b", 90), ("c", 95)]), Some(95));
    assert_eq!(complete(&two, &[("b", 90)]), Some(90));
    assert_eq!(complete(&two, &[]), None);
}

#[test]
fn the_previous_primary_reports_for_all() {
    assert_eq!(complete(&evidence(1, &["b", "c"]), &[("a", 100), ("b", 90)]), Some(100));
}

/// Guards against a previous primary that lost its log in a restart.
#[test]
fn a_previous_primary_without_its_log_does_not_count() {
    let known = CommitEvidence { newest: Some(stamp(100)), ..evidence(1, &["b", "c"]) };

    assert_eq!(complete(&known, &[("a", 0)]), None);
    assert_eq!(complete(&evidence(1, &["b", "c"]), &[("a", 0), ("b", 90)]), None);
}

/// Returns the evidence of a service whose replica `c` has left.
fn with_departed(may_run: bool, later_position: Option<LogStamp>) -> CommitEvidence {
    let address = ([127, 0, 0, 1], 1).into();
    let holder = CommitHolder { member: member("c"), started_at_ms: 1, address };
    let departed = vec![DepartedReplica { holder, may_run, later_position }];
    CommitEvidence { departed, ..evidence(1, &["b"]) }
}

/// Guards against the loss of commits that only a replica cut from the store has received.
#[test]
fn a_departed_replica_reports_like_the_others() {
    let with = with_departed(true, None);

    assert_eq!(complete(&with, &[("b", 90)]), None);
    assert_eq!(complete(&with, &[("c", 100)]), None);
    assert_eq!(complete(&with, &[("b", 90), ("c", 100)]), Some(100));
}

#[test]
fn a_later_process_does_not_report_for_one_that_ended() {
    let with =
        CommitEvidence { replicas: vec![member("b"), member("c")], ..with_departed(false, None) };

    assert_eq!(complete(&with, &[("b", 90), ("c", 20)]), None);
}

#[test]
fn a_departed_replica_counts_until_another_one_has_what_came_later() {
    let with = |later| with_departed(true, later);

    assert_eq!(complete(&with(None), &[("b", 90)]), None);
    assert_eq!(complete(&with(Some(stamp(95))), &[("b", 90)]), None);
    assert_eq!(complete(&with(Some(stamp(90))), &[("b", 90)]), Some(90));
}

/// Guards against a replica that lost its log in a restart that nobody observed, and whose report
/// counts as proof that the other one lacks nothing.
#[test]
fn reports_that_lack_acknowledged_commits_show_nothing() {
    let known = CommitEvidence { acknowledged: Some(stamp(95)), ..evidence(1, &["b", "c"]) };

    assert_eq!(complete(&known, &[("b", 90), ("c", 20)]), None);
    assert_eq!(complete(&known, &[("b", 90), ("c", 95)]), Some(95));
    assert_eq!(complete(&known, &[("a", 94)]), None);
    assert_eq!(complete(&known, &[("a", 100), ("c", 20)]), Some(100));
}

/// Guards against the same right after a change of primary, when no commit has been acknowledged.
#[test]
fn reports_that_lack_what_the_primary_took_over_show_nothing() {
    let with = |count| CommitEvidence { base: Some(stamp(90)), ..evidence(count, &["b", "c"]) };

    assert_eq!(complete(&with(1), &[("b", 0), ("c", 20)]), None);
    assert_eq!(complete(&with(1), &[("b", 0), ("c", 90)]), Some(90));
    assert_eq!(complete(&with(2), &[("c", 20)]), Some(20));
}
