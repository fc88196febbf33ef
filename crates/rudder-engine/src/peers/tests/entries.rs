//! Removal of failed instances from the list.

use crate::peers::entries::{EntryDecision, EntryLedger, LISTING_VALIDITY};
use rudder_core::InstanceName;
use std::time::Duration;

fn failed_instance() -> InstanceName {
    "failed".parse().expect("a name")
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn an_instance_that_stays_silent_is_marked_and_then_removed() {
    // If the entries of replaced machines stayed for days, a change of primary would take ten
    // seconds instead of two: it would wait for stop notices of instances that no longer run.
    let mut ledger = EntryLedger::default();
    let failed_instance = failed_instance();

    let decisions = [
        ledger.decide(&failed_instance, "7", false, Some(at(100)), at(100)),
        ledger.decide(&failed_instance, "7", false, Some(at(100)), at(159)),
        ledger.decide(&failed_instance, "7", false, Some(at(100)), at(160)),
        ledger.decide(&failed_instance, "8", true, Some(at(100)), at(164)),
        ledger.decide(&failed_instance, "8", true, Some(at(100)), at(223)),
        ledger.decide(&failed_instance, "8", true, Some(at(100)), at(224)),
    ];

    use EntryDecision::{Keep, Mark, Remove};
    assert_eq!(decisions, [Keep, Keep, Mark, Keep, Keep, Remove]);
}

#[test]
fn an_instance_that_rewrites_its_marked_entry_is_kept() {
    // A link between two instances is cut for minutes. One marks the entry of the other, which
    // reads the store, sees the mark and rewrites its entry; the old mark must not cause a removal.
    let mut ledger = EntryLedger::default();
    let failed_instance = failed_instance();
    ledger.decide(&failed_instance, "7", false, None, at(100));
    ledger.decide(&failed_instance, "8", true, None, at(165));

    let rewritten = ledger.decide(&failed_instance, "9", false, None, at(190));
    let later = ledger.decide(&failed_instance, "9", false, None, at(249));

    assert_eq!((rewritten, later), (EntryDecision::Keep, EntryDecision::Keep));
}

#[test]
fn an_instance_loses_its_leases_before_its_entry_is_removed() {
    // An instance that cannot read the list keeps leading by its peers' confirmations. If its entry
    // were removed first, a change of primary would not wait for it, and both primaries would be
    // served.
    let mut ledger = EntryLedger::default();
    let failed_instance = failed_instance();
    ledger.decide(&failed_instance, "7", false, None, at(100));
    let last_unmarked_read = at(160);
    let marked = ledger.decide(&failed_instance, "7", false, None, last_unmarked_read);
    ledger.decide(&failed_instance, "8", true, None, last_unmarked_read);

    let lease_ends = last_unmarked_read + LISTING_VALIDITY;
    let decision = ledger.decide(&failed_instance, "8", true, None, lease_ends + at(10));

    assert_eq!(marked, EntryDecision::Mark);
    assert_eq!(decision, EntryDecision::Keep);
}
