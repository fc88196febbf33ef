//! Permits of one instance.

use super::{changing, member, ms, settled};
use crate::lead::LeadBook;
use rudder_core::LogStamp;

#[test]
fn a_permit_counts_from_when_the_question_was_sent() {
    // A store that is slow answers after a second. The record may have changed right after it was
    // read there, so the answer's arrival says nothing.
    let mut book = LeadBook::default();

    book.observe(&settled(1, "a", 1, None), ms(1000), ms(2000));

    assert!(book.permit(ms(2400)).is_some());
    assert!(book.permit(ms(2500)).is_none());
}

#[test]
fn an_older_version_changes_nothing() {
    // An answer that was long on its way arrives after the primary was changed. Taking it for the
    // present would give a permit for the old primary.
    let mut book = LeadBook::default();
    book.observe(&settled(3, "b", 2, None), ms(100), ms(100));

    let new = book.observe(&settled(1, "a", 1, None), ms(900), ms(900));

    assert!(!new);
    assert_eq!(book.permit(ms(200)).map(|permit| permit.primary), Some(member("b")));
    assert!(book.permit(ms(1700)).is_none());
}

#[test]
fn no_permit_is_given_during_a_change_but_work_under_way_may_end() {
    // A commit is on its way as another instance begins a planned change. It would be reported as
    // unknown although the change waits for it.
    let mut book = LeadBook::default();
    book.observe(&settled(1, "a", 1, None), ms(0), ms(0));
    let permit = book.permit(ms(10)).expect("a permit");
    book.enter();

    book.observe(&changing(2, "x", "a"), ms(20), ms(25));

    assert!(book.permit(ms(30)).is_none());
    assert!(book.holds(&permit, ms(30)));
    assert!(!book.stop(false), "a statement is under way");
    book.leave();
    assert!(book.stop(false));
    assert!(!book.holds(&permit, ms(31)));
}

#[test]
fn work_under_way_ends_with_the_permit_at_the_latest() {
    let mut book = LeadBook::default();
    book.observe(&settled(1, "a", 1, None), ms(0), ms(0));
    let permit = book.permit(ms(10)).expect("a permit");
    book.enter();
    book.observe(&changing(2, "x", "a"), ms(20), ms(25));

    assert!(!book.holds(&permit, ms(1500)));
}

#[test]
fn a_floor_that_was_cut_off_comes_down_to_the_cut() {
    // A session's commit at 1:90 was lost: the member that was promoted had received 80. No log
    // will ever reach 1:90, so a session that waits for it would never read again.
    let record = settled(3, "b", 2, Some(LogStamp::new(1, 80)));

    assert_eq!(record.reachable(LogStamp::new(1, 90)), LogStamp::new(1, 80));
    assert_eq!(record.reachable(LogStamp::new(1, 70)), LogStamp::new(1, 70));
    assert_eq!(record.reachable(LogStamp::new(2, 95)), LogStamp::new(2, 95));
}
