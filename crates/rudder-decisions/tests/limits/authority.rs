//! Takeover, renewal and confirmation of the counting authority.

use rudder_decisions::{
    AuthorityAction, AuthorityChange, AuthorityKeeper, AuthorityRecord, AuthorityTerm,
    AuthorityView, WriteOutcome,
};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn term(sequence: u64, holder: &str, process: u64) -> AuthorityTerm {
    AuthorityTerm { sequence, holder: holder.parse().expect("a name"), process }
}

fn record(renewal: u64) -> AuthorityRecord {
    AuthorityRecord { term: term(4, "entry-2", 9), renewal }
}

fn keeper() -> AuthorityKeeper {
    AuthorityKeeper::new("entry-1".parse().expect("a name"), 7)
}

/// Returns a keeper that created the object at time zero, and the record.
fn holder() -> (AuthorityKeeper, AuthorityRecord) {
    let mut keeper = keeper();
    keeper.record_read(None, ms(0));
    let record = written(&keeper, ms(0));
    let change = keeper.record_write(&record, WriteOutcome::Written, ms(0));
    assert_eq!(change, Some(AuthorityChange::Created));
    (keeper, record)
}

fn written(keeper: &AuthorityKeeper, now: Duration) -> AuthorityRecord {
    match keeper.next_action(&AuthorityView::default(), now) {
        AuthorityAction::Write(record) => record,
        other => panic!("{other:?}"),
    }
}

fn writes(keeper: &AuthorityKeeper, now: Duration) -> bool {
    let action = keeper.next_action(&AuthorityView::default(), now);
    matches!(action, AuthorityAction::Write(_))
}

/// A takeover before the last confirmation has expired everywhere would let two sets count.
#[test]
fn an_object_is_taken_over_with_a_majority_after_it_was_unchanged() {
    let mut keeper = keeper();
    keeper.record_read(Some(record(0)), ms(100));
    keeper.record_read(Some(record(0)), ms(2190));
    assert!(!writes(&keeper, ms(2200)), "without a majority");

    keeper.record_majority(ms(2000));

    assert!(!writes(&keeper, ms(2199)));
    let taken = written(&keeper, ms(2200));
    assert_eq!(taken.term, term(5, "entry-1", 7));
    let change = keeper.record_write(&taken, WriteOutcome::Written, ms(2200));
    assert_eq!(change, Some(AuthorityChange::TookOver));
    assert_eq!(keeper.confirmation(), Some((&taken.term, ms(2200))));
}

/// A set without the majority could take over while a majority still confirms the other one.
#[test]
fn an_object_is_taken_over_without_a_majority_after_the_reach_of_a_majority() {
    let mut keeper = keeper();
    keeper.record_read(Some(record(0)), ms(100));
    keeper.record_read(Some(record(0)), ms(10_190));

    assert!(!writes(&keeper, ms(10_199)));
    assert!(writes(&keeper, ms(10_200)));
}

/// A renewal that is observed must start the wait anew, also for an earlier majority.
#[test]
fn a_renewal_restarts_the_wait_for_a_takeover() {
    let mut keeper = keeper();
    keeper.record_read(Some(record(0)), ms(100));
    keeper.record_majority(ms(1000));
    keeper.record_read(Some(record(1)), ms(1300));
    keeper.record_read(Some(record(1)), ms(3390));

    assert!(!writes(&keeper, ms(3400)));
}

/// An update without a response may not have been executed, and would confirm a former holder.
#[test]
fn an_update_without_a_response_confirms_nothing_until_it_is_read() {
    let (mut keeper, first) = holder();
    let renewal = written(&keeper, ms(1200));
    keeper.record_write(&renewal, WriteOutcome::Unknown, ms(1200));
    assert_eq!(keeper.confirmation(), Some((&first.term, ms(0))));
    assert!(!writes(&keeper, ms(1500)), "the object has to be read first");

    keeper.record_read(Some(renewal), ms(1550));

    assert_eq!(keeper.confirmation(), Some((&first.term, ms(1200))));
}

/// A holder whose object was taken over could be confirmed by a majority that it still reaches.
#[test]
fn a_holder_whose_update_is_rejected_stops_at_once() {
    let (mut keeper, _) = holder();
    let renewal = written(&keeper, ms(1200));

    let change = keeper.record_write(&renewal, WriteOutcome::Rejected, ms(1200));
    keeper.record_majority(ms(1300));

    assert_eq!(change, Some(AuthorityChange::Lost));
    assert_eq!(keeper.confirmation(), None);
    assert!(!writes(&keeper, ms(1300)));
}

/// The holder would be confirmed twice as long if a majority counted while the store responds.
#[test]
fn a_majority_confirms_only_while_the_store_does_not_respond() {
    let (mut keeper, first) = holder();
    keeper.record_majority(ms(900));
    assert_eq!(keeper.confirmation(), Some((&first.term, ms(0))));

    let renewal = written(&keeper, ms(1200));
    keeper.record_write(&renewal, WriteOutcome::NotExecuted, ms(1200));
    keeper.record_majority(ms(1300));

    assert_eq!(keeper.confirmation(), Some((&first.term, ms(1300))));
    assert!(!writes(&keeper, ms(1300)), "a store that rejects calls would get one at each check");
}

/// Responses that were delayed must not confirm an earlier term or move a confirmation back.
#[test]
fn a_confirmation_only_moves_forward() {
    let mut view = AuthorityView::default();
    assert!(view.observe(&term(2, "entry-1", 7), ms(500), ms(500)));

    assert!(!view.observe(&term(2, "entry-1", 7), ms(500), ms(500)));
    assert!(!view.observe(&term(2, "entry-2", 7), ms(900), ms(900)), "two holders of one term");
    assert!(!view.observe(&term(1, "entry-2", 9), ms(900), ms(900)), "an earlier term");
    assert!(view.observe(&term(3, "entry-2", 9), ms(450), ms(450)));

    assert_eq!(view.contact_at(Some(ms(9000))), Some(ms(450)));
}

/// A fleet reader of an older build renews no authority; without this rule, accounts would be refused
/// until the next update.
#[test]
fn contact_with_the_store_counts_again_behind_an_older_build() {
    let mut view = AuthorityView::default();
    view.observe(&term(2, "entry-1", 7), ms(500), ms(500));

    assert!(!view.record_unaware_source(ms(13_400)));
    assert_eq!(view.contact_at(Some(ms(13_300))), Some(ms(500)));
    assert!(view.record_unaware_source(ms(13_500)));
    assert_eq!(view.contact_at(Some(ms(13_400))), Some(ms(13_400)));
}

/// If the object was removed, a new one must not be created while the last holder is trusted.
#[test]
fn a_removed_object_is_created_only_after_the_wait() {
    let mut view = AuthorityView::default();
    view.observe(&term(2, "entry-2", 9), ms(0), ms(0));
    let mut keeper = keeper();
    keeper.record_read(None, ms(100));
    keeper.record_majority(ms(1950));
    let action = |keeper: &AuthorityKeeper, now| keeper.next_action(&view, now);
    assert!(!matches!(action(&keeper, ms(110)), AuthorityAction::Write(_)));

    keeper.record_read(None, ms(2190));

    let AuthorityAction::Write(record) = action(&keeper, ms(2200)) else { panic!() };
    assert_eq!(record.term.sequence, 3);
}

/// If the responses of instances that still trust the present holder counted, a takeover would let
/// both sets count until their trust has ended.
#[test]
fn an_instance_in_contact_with_the_holder_does_not_count_for_a_takeover() {
    let keeper = keeper();

    assert!(!keeper.counts_vote(Some((4, ms(500))), ms(2299)));
    assert!(keeper.counts_vote(Some((4, ms(500))), ms(2300)));
    assert!(keeper.counts_vote(None, ms(0)), "an older build knows no authority");
}

/// A former holder would be confirmed by instances that know its successor.
#[test]
fn an_instance_that_knows_a_later_term_does_not_count_for_the_holder() {
    let (keeper, first) = holder();

    assert!(keeper.counts_vote(Some((first.term.sequence, ms(10))), ms(20)));
    assert!(!keeper.counts_vote(Some((first.term.sequence + 1, ms(10))), ms(20)));
}

/// A majority that confirmed the holder without end would never let the other set take over safely.
#[test]
fn a_majority_confirms_the_holder_for_eight_seconds() {
    let (mut keeper, first) = holder();
    let renewal = written(&keeper, ms(1200));
    keeper.record_write(&renewal, WriteOutcome::NotExecuted, ms(1200));

    keeper.record_majority(ms(20_000));

    assert_eq!(keeper.confirmation(), Some((&first.term, ms(8000))));
}

/// Instances that were in the holder's set could pass its last confirmation to an owner of another set,
/// which would count next to the owner that the holder still reaches.
#[test]
fn contact_is_regained_only_by_a_later_confirmation() {
    let mut view = AuthorityView::default();
    view.observe(&term(2, "entry-1", 7), ms(500), ms(600));
    view.observe(&term(2, "entry-1", 7), ms(2200), ms(2400));
    assert_eq!(view.contact_at(None), Some(ms(600)), "it has expired at 2400");

    view.observe(&term(2, "entry-1", 7), ms(2450), ms(2500));

    assert_eq!(view.contact_at(None), Some(ms(2450)));
}

/// After a takeover there is nothing that an earlier holder's set could have passed on.
#[test]
fn contact_with_a_new_holder_counts_at_once() {
    let mut view = AuthorityView::default();
    view.observe(&term(2, "entry-1", 7), ms(500), ms(600));
    view.observe(&term(3, "entry-2", 9), ms(2700), ms(2800));

    assert_eq!(view.contact_at(None), Some(ms(2700)));
}
