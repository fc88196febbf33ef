//! When a primary is suspected and when it is not.

use rudder_core::{
    GroupCondition, LogStamp, LogTerm, MemberRole, MemberStatus, ObserverVote, StallWatch,
    SuspicionTally, VoteKind, judge_group,
};
use std::time::Duration;

const SUSPECT_AFTER: Duration = Duration::from_millis(800);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn tally(domains_expected: usize) -> SuspicionTally {
    let domain = "kigali-a".parse().expect("a valid name");
    SuspicionTally::new(SUSPECT_AFTER, domain, domains_expected, Duration::ZERO)
}

fn silent_tally(domains_expected: usize) -> SuspicionTally {
    let mut tally = tally(domains_expected);
    [500, 750, 800].into_iter().for_each(|millis| tally.note_failure(at(millis)));
    tally
}

fn vote(observer: &str, domain: &str, kind: VoteKind, at: Duration) -> ObserverVote {
    let observer = observer.parse().expect("a valid name");
    ObserverVote { observer, domain: domain.parse().expect("a valid name"), kind, at }
}

#[test]
fn single_observer_suspects_after_the_bound() {
    let mut tally = tally(1);
    [500, 750].into_iter().for_each(|millis| tally.note_failure(at(millis)));

    let verdicts = [at(799), at(800)].map(|now| tally.is_suspected(now));

    assert_eq!(verdicts, [false, true]);
}

// One link is cut: the observer behind it hears nothing, the other failure domains hear the
// primary. A promotion would only interrupt service.
#[test]
fn one_cut_link_is_no_failure() {
    let mut tally = silent_tally(3);
    tally.note_vote(vote("inst-2", "nairobi-a", VoteKind::Heard, at(790)));
    tally.note_vote(vote("inst-3", "johannesburg-a", VoteKind::Heard, at(790)));

    let alone = tally.is_suspected(at(800));
    tally.note_vote(vote("inst-2", "nairobi-a", VoteKind::Unheard, at(800)));
    let seconded = tally.is_suspected(at(800));

    assert!(!alone);
    assert!(seconded);
}

// Two observers of one failure domain lose the primary together when their switch fails; they
// count as one voice.
#[test]
fn observers_of_one_domain_have_one_voice() {
    let mut tally = silent_tally(3);
    tally.note_vote(vote("inst-2", "nairobi-a", VoteKind::Heard, at(790)));
    tally.note_vote(vote("inst-3", "johannesburg-a", VoteKind::Heard, at(790)));
    tally.note_vote(vote("inst-4", "kigali-a", VoteKind::Unheard, at(790)));
    tally.note_vote(vote("inst-5", "kigali-a", VoteKind::Unheard, at(790)));

    assert!(!tally.is_suspected(at(800)));
}

#[test]
fn votes_expire() {
    let mut tally = silent_tally(1);
    tally.note_vote(vote("inst-2", "nairobi-a", VoteKind::Heard, at(100)));

    let verdicts = [at(850), at(900)].map(|now| tally.is_suspected(now));

    assert_eq!(verdicts, [false, true]);
}

// An instance that is cut off from its peers and from the primary hears nobody's vote. It waits
// longer than an observer whose peers agree.
#[test]
fn observer_without_peers_waits_longer() {
    let mut tally = silent_tally(3);

    let early = tally.is_suspected(at(1500));
    tally.note_failure(at(1600));

    assert!(!early);
    assert!(tally.is_suspected(at(1600)));
}

// An instance is frozen for a minute. On waking the primary seems silent for a minute, but only
// one probe has failed: the one that was under way.
#[test]
fn woken_observer_does_not_suspect_at_once() {
    let mut tally = tally(1);

    tally.note_failure(at(60_000));

    assert!(!tally.is_suspected(at(60_000)));
}

// A keeper is frozen while it suspects. By the time it wakes another one has replaced the
// primary; it must look again before it fences the new one.
#[test]
fn woken_keeper_looks_again() {
    let tally = silent_tally(1);

    assert!(!tally.is_suspected(at(60_000)));
}

#[test]
fn one_answer_does_not_withdraw_a_vote() {
    let mut tally = silent_tally(1);

    tally.note_answer(at(810));
    let after_one = tally.own_vote(at(811));
    tally.note_answer(at(820));

    assert_eq!(after_one, VoteKind::Unheard);
    assert_eq!(tally.own_vote(at(821)), VoteKind::Heard);
}

fn report(name: &str, role: MemberRole, term: u64) -> (rudder_core::MemberName, MemberStatus) {
    let received = LogStamp::new(1, 5);
    let accepted = LogTerm(term);
    let status = MemberStatus { role, accepted, received, applied: received };
    (name.parse().expect("a valid name"), status)
}

// The old primary was cut off and comes back while its successor serves. It still says that it
// leads; pointing anyone to it would cut acknowledged writes.
#[test]
fn returned_primary_is_a_stray() {
    let reports = [
        report("m0", MemberRole::Primary, 1),
        report("m1", MemberRole::Primary, 2),
        report("m2", MemberRole::Replica, 2),
    ];

    let condition = judge_group(3, &reports);

    let primary = "m1".parse().expect("a valid name");
    let strays = vec!["m0".parse().expect("a valid name")];
    let led = GroupCondition::Led { primary, term: LogTerm(2), confirmed: true, strays };
    assert_eq!(condition, led);
}

// A promoter died after fencing. The old primary answers, but its writes are refused by then.
#[test]
fn fenced_group_without_primary_is_leaderless() {
    let reports = [
        report("m0", MemberRole::Primary, 1),
        report("m1", MemberRole::Replica, 2),
        report("m2", MemberRole::Replica, 2),
    ];

    let condition = judge_group(3, &reports);

    assert_eq!(condition, GroupCondition::Leaderless { term: LogTerm(2) });
}

#[test]
fn stalled_member_is_told_again_once_per_bound() {
    let (member, status) = report("m1", MemberRole::Replica, 1);
    let (ahead, level) = (LogStamp::new(1, 6), status.received);
    let mut watch = StallWatch::default();
    let mut note = |leader, now| watch.note(&member, status, leader, at(now), SUSPECT_AFTER);

    let verdicts = [note(ahead, 0), note(ahead, 799), note(ahead, 800), note(ahead, 801)];
    let when_level = [note(level, 802), note(level, 9_000)];

    assert_eq!(verdicts, [false, false, true, false]);
    assert_eq!(when_level, [false, false]);
}
