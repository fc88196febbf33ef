//! Tests of failure detection, group condition and stall detection.

use rudder_core::{
    FailureDetector, GroupCondition, LogStamp, LogTerm, MemberRole, MemberStatus, ObserverVote,
    StallDetector, VoteKind, assess_group,
};
use std::time::Duration;

const SUSPECT_AFTER: Duration = Duration::from_millis(800);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn detector(domains_expected: usize) -> FailureDetector {
    let domain = "kigali-a".parse().expect("a valid name");
    FailureDetector::new(SUSPECT_AFTER, domain, domains_expected, Duration::ZERO)
}

fn unresponsive_detector(domains_expected: usize) -> FailureDetector {
    let mut detector = detector(domains_expected);
    [500, 750, 800].into_iter().for_each(|millis| detector.record_failure(at(millis)));
    detector
}

fn vote(observer: &str, domain: &str, kind: VoteKind, at: Duration) -> ObserverVote {
    let observer = observer.parse().expect("a valid name");
    ObserverVote { observer, domain: domain.parse().expect("a valid name"), kind, at }
}

#[test]
fn single_observer_suspects_after_the_bound() {
    let mut detector = detector(1);
    [500, 750].into_iter().for_each(|millis| detector.record_failure(at(millis)));

    let suspicions = [at(799), at(800)].map(|now| detector.is_suspected(now));

    assert_eq!(suspicions, [false, true]);
}

// A single link fails: the observer behind it receives no responses, while the other failure domains
// do. A promotion would interrupt the service without need.
#[test]
fn single_failed_link_is_not_suspected() {
    let mut detector = unresponsive_detector(3);
    detector.record_vote(vote("inst-2", "nairobi-a", VoteKind::Reachable, at(790)));
    detector.record_vote(vote("inst-3", "johannesburg-a", VoteKind::Reachable, at(790)));

    let with_own_vote = detector.is_suspected(at(800));
    detector.record_vote(vote("inst-2", "nairobi-a", VoteKind::Unreachable, at(800)));
    let with_second_vote = detector.is_suspected(at(800));

    assert!(!with_own_vote);
    assert!(with_second_vote);
}

// Observers in one failure domain lose the connection to the primary together when their network
// switch fails, so they count as one vote.
#[test]
fn observers_of_one_domain_count_as_one_vote() {
    let mut detector = unresponsive_detector(3);
    detector.record_vote(vote("inst-2", "nairobi-a", VoteKind::Reachable, at(790)));
    detector.record_vote(vote("inst-3", "johannesburg-a", VoteKind::Reachable, at(790)));
    detector.record_vote(vote("inst-4", "kigali-a", VoteKind::Unreachable, at(790)));
    detector.record_vote(vote("inst-5", "kigali-a", VoteKind::Unreachable, at(790)));

    assert!(!detector.is_suspected(at(800)));
}

#[test]
fn votes_expire() {
    let mut detector = unresponsive_detector(1);
    detector.record_vote(vote("inst-2", "nairobi-a", VoteKind::Reachable, at(100)));

    let suspicions = [at(850), at(900)].map(|now| detector.is_suspected(now));

    assert_eq!(suspicions, [false, true]);
}

// An instance that is isolated from its peers and the primary receives no votes. It waits longer
// than an observer whose peers agree with it.
#[test]
fn observer_without_peers_waits_longer() {
    let mut detector = unresponsive_detector(3);

    let early = detector.is_suspected(at(1500));
    detector.record_failure(at(1600));

    assert!(!early);
    assert!(detector.is_suspected(at(1600)));
}

// An instance is suspended for a minute. When it resumes, the last response is a minute old, but only
// one probe has failed: the one that was in flight.
#[test]
fn resumed_observer_does_not_suspect_immediately() {
    let mut detector = detector(1);

    detector.record_failure(at(60_000));

    assert!(!detector.is_suspected(at(60_000)));
}

// A keeper is suspended while it suspects the primary, and another keeper replaces the primary
// meanwhile. After resuming it must probe again before it fences the new primary.
#[test]
fn resumed_keeper_ignores_old_failures() {
    let detector = unresponsive_detector(1);

    assert!(!detector.is_suspected(at(60_000)));
}

#[test]
fn single_response_does_not_withdraw_a_vote() {
    let mut detector = unresponsive_detector(1);

    detector.record_response(at(810));
    let after_one = detector.own_vote(at(811));
    detector.record_response(at(820));

    assert_eq!(after_one, VoteKind::Unreachable);
    assert_eq!(detector.own_vote(at(821)), VoteKind::Reachable);
}

fn report(name: &str, role: MemberRole, term: u64) -> (rudder_core::MemberName, MemberStatus) {
    let received = LogStamp::new(1, 5);
    let accepted = LogTerm(term);
    let status = MemberStatus { role, accepted, received, applied: received };
    (name.parse().expect("a valid name"), status)
}

// The old primary was isolated and is reachable again after its successor was promoted. It still
// reports itself as primary; a member made to replicate from it would truncate acknowledged writes.
#[test]
fn superseded_primary_is_reported_behind() {
    let reports = [
        report("m0", MemberRole::Primary, 1),
        report("m1", MemberRole::Primary, 2),
        report("m2", MemberRole::Replica, 2),
    ];

    let condition = assess_group(3, &reports);

    let primary = "m1".parse().expect("a valid name");
    let members_behind = vec!["m0".parse().expect("a valid name")];
    let expected =
        GroupCondition::HasPrimary { primary, term: LogTerm(2), confirmed: true, members_behind };
    assert_eq!(condition, expected);
}

// A promoter failed after fencing. The old primary responds, but members already reject its writes.
#[test]
fn fenced_group_ignores_primary_of_lower_term() {
    let reports = [
        report("m0", MemberRole::Primary, 1),
        report("m1", MemberRole::Replica, 2),
        report("m2", MemberRole::Replica, 2),
    ];

    let condition = assess_group(3, &reports);

    assert_eq!(condition, GroupCondition::NoPrimary { term: LogTerm(2) });
}

#[test]
fn stalled_member_is_reported_once_per_bound() {
    let (member, status) = report("m1", MemberRole::Replica, 1);
    let (ahead, caught_up) = (LogStamp::new(1, 6), status.received);
    let mut detector = StallDetector::default();
    let mut record = |leader, now| detector.record(&member, status, leader, at(now), SUSPECT_AFTER);

    let suspicions = [record(ahead, 0), record(ahead, 799), record(ahead, 800), record(ahead, 801)];
    let when_caught_up = [record(caught_up, 802), record(caught_up, 9_000)];

    assert_eq!(suspicions, [false, false, true, false]);
    assert_eq!(when_caught_up, [false, false]);
}
