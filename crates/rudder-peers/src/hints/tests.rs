//! Tests of the hint cache.

use super::{GroupHint, HintCache, HintUrgency, LeavingNotice, LeavingSubject, PeerHint};
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
    let mut cache = HintCache::default();

    let first = cache.insert(group(1, 5, None), false, 4, NOW);
    let refresh = cache.insert(group(1, 6, None), false, 4, NOW);
    let next_term = cache.insert(group(2, 0, None), false, 4, NOW);

    assert_eq!(first, Some(HintUrgency::Urgent));
    assert_eq!(refresh, Some(HintUrgency::Routine));
    assert_eq!(next_term, Some(HintUrgency::Urgent));
}

#[test]
fn earlier_term_never_replaces_a_later_one() {
    // A delayed message about the term of an isolated primary arrives after the promotion. If it
    // replaced the newer term, callers would be sent to the superseded primary first.
    let mut cache = HintCache::default();
    cache.insert(group(2, 0, None), false, 4, NOW);

    let earlier = cache.insert(group(1, 99, Some(Duration::ZERO)), true, 4, NOW);

    assert_eq!(earlier, None);
    assert_eq!(cache.groups(), vec![group(2, 0, None)]);
}

#[test]
fn hint_age_grows_while_cached() {
    let mut cache = HintCache::default();
    cache.insert(group(1, 5, Some(Duration::from_secs(1))), false, 4, NOW);

    let later = NOW + Duration::from_secs(3);
    let sent = cache.pending(HintUrgency::Urgent, 10, later);

    assert_eq!(sent, vec![group(1, 5, Some(Duration::from_secs(4)))]);
}

#[test]
fn refresh_keeps_pending_sends_of_its_term() {
    // The new primary is confirmed again right after its promotion. If that refresh replaced the
    // urgent hint, most instances would learn of the new term only by a failed statement.
    let mut cache = HintCache::default();
    cache.insert(group(2, 0, None), false, 4, NOW);

    cache.insert(group(2, 1, None), false, 4, NOW);

    assert_eq!(cache.pending(HintUrgency::Urgent, 10, NOW), vec![group(2, 1, None)]);
}

#[test]
fn hints_are_not_sent_beyond_their_send_limit() {
    let mut cache = HintCache::default();
    cache.insert(group(1, 5, None), false, 2, NOW);

    cache.record_sent(&group(1, 5, None));
    cache.record_sent(&group(1, 5, None));

    assert!(cache.pending(HintUrgency::Urgent, 10, NOW).is_empty());
}

#[test]
fn caches_with_equal_terms_have_equal_digests() {
    let (mut one, mut other) = (HintCache::default(), HintCache::default());

    one.insert(group(1, 5, None), false, 4, NOW);
    one.insert(group(3, 5, None), false, 4, NOW);
    other.insert(group(3, 9, None), true, 4, NOW);

    assert_eq!(one.digest(), other.digest());
    assert_ne!(one.digest(), 0);
}

#[test]
fn leaving_notice_expires() {
    let subject = LeavingSubject::Member("scores-db".parse().unwrap(), "m1".parse().unwrap());
    let notice = PeerHint::Leaving(LeavingNotice { subject });
    let mut cache = HintCache::default();
    cache.insert(notice.clone(), false, 4, NOW);

    cache.expire(NOW + Duration::from_secs(3600));

    assert!(cache.pending(HintUrgency::Urgent, 10, NOW).is_empty());
    assert!(cache.insert(notice, false, 4, NOW).is_some());
}
