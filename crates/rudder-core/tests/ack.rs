//! When a commit may be acknowledged.

use rudder_core::{
    AckVerdict, LogStamp, LogTerm, MemberName, MemberRole, MemberStatus, judge_commit,
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

    let verdict = judge_commit(COMMIT, 3, &reports);

    assert_eq!(verdict, AckVerdict::Acknowledged);
}

// A cut-off primary takes a write after its successor was made. The caller must not wait for an
// acknowledgement that cannot come.
#[test]
fn greater_accepted_term_supersedes_the_commit() {
    let reports = [report("m0", 2, COMMIT), report("m1", 3, LogStamp::new(2, 8))];

    let verdict = judge_commit(COMMIT, 3, &reports);

    assert_eq!(verdict, AckVerdict::Superseded);
}

// A member that has not accepted the primary's term can still be fenced by a lower one, and its
// log be cut; its report says nothing about the commit.
#[test]
fn report_of_a_lower_term_does_not_count() {
    let reports = [report("m0", 2, COMMIT), report("m1", 1, COMMIT)];

    let verdict = judge_commit(COMMIT, 3, &reports);

    assert_eq!(verdict, AckVerdict::Waiting);
}
