//! What the record in the store tells of earlier primaries.

use super::{member, settled};
use crate::lead::{LeadHistory, StoredRecord};
use rudder_core::{LogStamp, LogTerm};

fn stamp(term: u64, position: u64) -> LogStamp {
    LogStamp::new(term, position)
}

/// Returns the history after promotions, each with its term and the base that it began with.
fn history(promotions: &[(u64, LogStamp)]) -> LeadHistory {
    let mut history = LeadHistory::of_term(LogTerm(1));
    for (term, base) in promotions {
        history.settle(LogTerm(*term), *base);
    }
    history
}

#[test]
fn positions_of_an_earlier_term_are_kept_up_to_the_base_of_the_next_one() {
    let history = history(&[(2, stamp(1, 220)), (3, stamp(2, 300))]);

    assert_eq!(history.kept_position(stamp(1, 200)), stamp(1, 200));
    assert_eq!(history.kept_position(stamp(1, 250)), stamp(1, 220));
    assert_eq!(history.kept_position(stamp(2, 310)), stamp(2, 300));
    assert_eq!(history.kept_position(stamp(3, 400)), stamp(3, 400));
}

/// Guards against a log of the term before last that is taken for complete because the base of the
/// last term lies beyond it.
#[test]
fn commits_that_an_earlier_promotion_rolled_back_stay_rolled_back() {
    let history = history(&[(2, stamp(1, 220)), (3, stamp(2, 300))]);

    assert!(history.was_rolled_back(stamp(1, 250)));
    assert!(!history.was_rolled_back(stamp(1, 220)));
    assert!(!history.was_rolled_back(stamp(2, 300)));
}

#[test]
fn a_promotion_from_an_older_log_rolls_back_the_terms_between() {
    let history = history(&[(2, stamp(1, 220)), (3, stamp(1, 210))]);

    assert!(history.was_rolled_back(stamp(1, 220)));
    assert!(history.was_rolled_back(stamp(2, 221)));
    assert_eq!(history.kept_position(stamp(2, 300)), stamp(1, 210));
    assert_eq!(history.base(), Some(stamp(1, 210)));
}

#[test]
fn a_promoted_log_is_kept_whatever_was_rolled_back_before() {
    let history = history(&[(2, stamp(1, 220)), (3, stamp(1, 250))]);

    assert!(!history.was_rolled_back(stamp(1, 250)));
    assert!(history.was_rolled_back(stamp(2, 225)));
}

#[test]
fn a_primary_that_leads_on_keeps_its_log() {
    let history = history(&[(2, stamp(1, 220)), (2, stamp(2, 400))]);

    assert_eq!(history.base(), Some(stamp(1, 220)));
    assert!(history.was_rolled_back(stamp(1, 250)));
}

#[test]
fn old_terms_are_merged_so_that_no_rolled_back_commit_counts_as_kept() {
    let promotions: Vec<(u64, LogStamp)> =
        (2..60).map(|term| (term, stamp(term - 1, 10 * term))).collect();

    let history = history(&promotions);

    assert!(history.was_rolled_back(stamp(1, 21)));
    assert!(history.term_starts.len() <= 16);
    assert_eq!(history.kept_position(stamp(58, 585)), stamp(58, 585));
}

#[test]
fn a_record_of_an_older_build_states_its_term_and_base() {
    let record = settled(4, "b", 2, Some(stamp(1, 100)));
    let spec = serde_json::to_value(&record).expect("a record is written");

    let stored: StoredRecord = serde_json::from_value(spec).expect("a record is read");

    assert_eq!(stored.record.primary(), Some(&member("b")));
    assert_eq!(stored.history(), history(&[(2, stamp(1, 100))]));
}

#[test]
fn an_older_build_reads_the_record_without_its_history() {
    let record = settled(4, "b", 2, Some(stamp(1, 100)));
    let stored = StoredRecord::new(record.clone(), history(&[(2, stamp(1, 100))]));

    let spec = serde_json::to_value(&stored).expect("a record is written");

    assert_eq!(serde_json::from_value(spec).ok(), Some(record));
}
