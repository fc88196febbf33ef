//! The board of hints.

use super::{GroupHint, HintBoard, HintUrgency, LeavingNotice, LeavingSubject, PeerHint};
use rudder_core::{LogStamp, LogTerm};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn group(term: u64, position: u64, age: Option<Duration>) -> PeerHint {
    PeerHint::Group(GroupHint {
        service: "scores-db".parse().unwrap(),
        term: LogTerm(term),
        primary: "m1".parse().unwrap(),
        stamp: LogStamp::new(term, position),
        age,
    })
}

#[test]
fn a_new_term_is_urgent_and_a_refresh_is_routine() {
    let mut board = HintBoard::default();

    let first = board.absorb(group(1, 5, None), false, 4, NOW);
    let refresh = board.absorb(group(1, 6, None), false, 4, NOW);
    let next_term = board.absorb(group(2, 0, None), false, 4, NOW);

    assert_eq!(first, Some(HintUrgency::Urgent));
    assert_eq!(refresh, Some(HintUrgency::Routine));
    assert_eq!(next_term, Some(HintUrgency::Urgent));
}

#[test]
fn an_earlier_term_is_never_news() {
    // A delayed message of an isolated primary's term arrives after the promotion. If it replaced
    // the newer one, callers would be sent to the superseded primary first.
    let mut board = HintBoard::default();
    board.absorb(group(2, 0, None), false, 4, NOW);

    let earlier = board.absorb(group(1, 99, Some(Duration::ZERO)), true, 4, NOW);

    assert_eq!(earlier, None);
    assert_eq!(board.groups(), vec![group(2, 0, None)]);
}

#[test]
fn an_age_grows_while_a_hint_is_held() {
    let mut board = HintBoard::default();
    board.absorb(group(1, 5, Some(Duration::from_secs(1))), false, 4, NOW);

    let later = NOW + Duration::from_secs(3);
    let told = board.pending(HintUrgency::Urgent, 10, later);

    assert_eq!(told, vec![group(1, 5, Some(Duration::from_secs(4)))]);
}

#[test]
fn a_refresh_does_not_stop_the_spread_of_its_term() {
    // The new primary is confirmed again right after its promotion. If the refresh replaced the
    // urgent news, most instances would learn of the new term by a failed statement only.
    let mut board = HintBoard::default();
    board.absorb(group(2, 0, None), false, 4, NOW);

    board.absorb(group(2, 1, None), false, 4, NOW);

    assert_eq!(board.pending(HintUrgency::Urgent, 10, NOW), vec![group(2, 1, None)]);
}

#[test]
fn hints_told_often_enough_are_told_no_more() {
    let mut board = HintBoard::default();
    board.absorb(group(1, 5, None), false, 2, NOW);

    board.told(&group(1, 5, None));
    board.told(&group(1, 5, None));

    assert!(board.pending(HintUrgency::Urgent, 10, NOW).is_empty());
}

#[test]
fn boards_with_equal_terms_have_equal_digests() {
    let (mut one, mut other) = (HintBoard::default(), HintBoard::default());

    one.absorb(group(1, 5, None), false, 4, NOW);
    one.absorb(group(3, 5, None), false, 4, NOW);
    other.absorb(group(3, 9, None), true, 4, NOW);

    assert_eq!(one.digest(), other.digest());
    assert_ne!(one.digest(), 0);
}

#[test]
fn a_notice_is_forgotten_when_it_has_served() {
    let subject = LeavingSubject::Member("scores-db".parse().unwrap(), "m1".parse().unwrap());
    let notice = PeerHint::Leaving(LeavingNotice { subject });
    let mut board = HintBoard::default();
    board.absorb(notice.clone(), false, 4, NOW);

    board.expire(NOW + Duration::from_secs(3600));

    assert!(board.pending(HintUrgency::Urgent, 10, NOW).is_empty());
    assert!(board.absorb(notice, false, 4, NOW).is_some());
}
