//! Tests of the decision whether a commit may be acknowledged.

use rudder_core::{
    AckDecision, LogStamp, LogTerm, MemberName, MemberRole, MemberStatus, decide_commit,
    stamp_of_commit,
};

const COMMIT: LogStamp = LogStamp::new(2, 9);

fn report(name: &str, accepted: u64, received: LogStamp) -> (MemberName, MemberStatus) {
    let (role, accepted) = (MemberRole::Replica, LogTerm(accepted));
    let status = MemberStatus { role, accepted, received, applied: received };
    (name.parse().expect("a valid name"), status)
}

#[test]
fn majority_that_holds_the_commit_acknowledges_it() {
    let reports = [report("m0", 2, COMMIT), report("m1", 2, LogStamp::new(2, 10))];

    let decision = decide_commit(COMMIT, 3, &reports);

    assert_eq!(decision, AckDecision::Acknowledged);
}

// An isolated primary accepts a write after its successor was promoted. The caller must not wait for
// an acknowledgement that can never arrive.
#[test]
fn greater_accepted_term_supersedes_the_commit() {
    let reports = [report("m0", 2, COMMIT), report("m1", 3, LogStamp::new(2, 8))];

    let decision = decide_commit(COMMIT, 3, &reports);

    assert_eq!(decision, AckDecision::Superseded);
}

// A member that has not accepted the primary's term can still be fenced by a lower term, and its log
// truncated, so its report does not count for the commit.
#[test]
fn report_of_a_lower_term_does_not_count() {
    let reports = [report("m0", 2, COMMIT), report("m1", 1, COMMIT)];

    let decision = decide_commit(COMMIT, 3, &reports);

    assert_eq!(decision, AckDecision::Waiting);
}

fn status(role: MemberRole, accepted: u64, received: LogStamp) -> MemberStatus {
    MemberStatus { role, accepted: LogTerm(accepted), received, applied: received }
}

// A caller receives an acknowledgement for a commit that was dropped: the member commits it, is
// superseded, drops it, and is promoted again before it reports the end of its log.
#[test]
fn member_promoted_again_in_between_gives_no_stamp() {
    let promoted_again = status(MemberRole::Primary, 3, LogStamp::new(3, 12));
    let follows = status(MemberRole::Replica, 2, LogStamp::new(2, 12));
    let fenced_before = status(MemberRole::Primary, 2, LogStamp::new(1, 12));

    let stamps =
        [promoted_again, follows, fenced_before].map(|after| stamp_of_commit(LogTerm(2), &after));

    assert_eq!(stamps, [None, None, None]);
}

#[test]
fn current_primary_gives_its_last_entry_or_an_empty_log() {
    let wrote = status(MemberRole::Primary, 2, COMMIT);
    let empty = status(MemberRole::Primary, 2, LogStamp::default());

    let stamps = [wrote, empty].map(|after| stamp_of_commit(LogTerm(2), &after));

    assert_eq!(stamps, [Some(COMMIT), Some(LogStamp::default())]);
}
