//! Leases of one instance.

use super::{changing, member, ms, ordering, settled};
use crate::lead::{LeadRecord, LeaderEpoch, LeaseTable, MemberOrder};
use rudder_core::LogStamp;

#[test]
fn a_lease_starts_when_the_request_was_sent() {
    // A slow store responds after a second. The record may have changed right after it was read
    // there, so the arrival of the response proves nothing.
    let mut leases = LeaseTable::default();

    leases.observe(&settled(1, "a", 1, None), ms(1000), ms(2000));

    assert!(leases.lease(ms(2400)).is_some());
    assert!(leases.lease(ms(2500)).is_none());
}

#[test]
fn an_older_version_is_ignored() {
    // A delayed response arrives after the primary was changed. Treating it as current would grant
    // a lease for the old primary.
    let mut leases = LeaseTable::default();
    leases.observe(&settled(3, "b", 2, None), ms(100), ms(100));

    let new = leases.observe(&settled(1, "a", 1, None), ms(900), ms(900));

    assert!(!new);
    assert_eq!(leases.lease(ms(200)).map(|lease| lease.primary), Some(member("b")));
    assert!(leases.lease(ms(1700)).is_none());
}

#[test]
fn no_lease_is_granted_during_a_change_but_running_statements_may_finish() {
    // A commit is running when another instance begins a planned change. Without the closing lease
    // its outcome would be reported as unknown, although the change waits for it.
    let mut leases = LeaseTable::default();
    leases.observe(&settled(1, "a", 1, None), ms(0), ms(0));
    let lease = leases.lease(ms(10)).expect("a lease");
    leases.begin_statement();

    leases.observe(&changing(2, "x", "a"), ms(20), ms(25));

    assert!(leases.lease(ms(30)).is_none());
    assert!(leases.holds(&lease, ms(30)));
    assert!(!leases.stop(false), "a statement is running");
    leases.end_statement();
    assert!(leases.stop(false));
    assert!(!leases.holds(&lease, ms(31)));
}

#[test]
fn running_statements_end_with_their_lease_at_the_latest() {
    let mut leases = LeaseTable::default();
    leases.observe(&settled(1, "a", 1, None), ms(0), ms(0));
    let lease = leases.lease(ms(10)).expect("a lease");
    leases.begin_statement();
    leases.observe(&changing(2, "x", "a"), ms(20), ms(25));

    assert!(!leases.holds(&lease, ms(1500)));
}

#[test]
fn a_floor_beyond_the_promoted_log_is_lowered_to_its_end() {
    // A session's commit at 1:90 was lost: the promoted member had received only 1:80. No log
    // reaches 1:90 again, so a session that waits for it would never read again.
    let record = settled(3, "b", 2, Some(LogStamp::new(1, 80)));

    assert_eq!(record.clamp_floor(LogStamp::new(1, 90)), LogStamp::new(1, 80));
    assert_eq!(record.clamp_floor(LogStamp::new(1, 70)), LogStamp::new(1, 70));
    assert_eq!(record.clamp_floor(LogStamp::new(2, 95)), LogStamp::new(2, 95));
}

fn order(name: &str, epoch: u64) -> MemberOrder {
    MemberOrder { member: member(name), epoch: LeaderEpoch(epoch) }
}

/// Guards against a primary that an order of an instance that has ended supersedes later.
#[test]
fn no_member_is_named_while_an_order_for_another_may_take_effect() {
    let previous = Some(member("a"));
    let mut leases = LeaseTable::default();
    leases.observe(&ordering(2, "x", previous.clone(), vec![order("b", 2)]), ms(0), ms(0));
    let names =
        |leases: &LeaseTable, name: &str, now: u64| leases.may_settle_on(&member(name), ms(now));

    // The version that names the order is in place, so the order may still be sent.
    assert!(!names(&leases, "a", 60_000) && names(&leases, "b", 60_000));

    leases.observe(&ordering(3, "y", previous.clone(), vec![order("b", 2)]), ms(1000), ms(1000));
    assert!(!names(&leases, "a", 5999) && names(&leases, "a", 6000));

    // Further versions do not extend the time, also if some of them were missed.
    leases.observe(&ordering(6, "z", previous, vec![order("b", 2)]), ms(4000), ms(4000));
    assert!(!names(&leases, "a", 5999) && names(&leases, "a", 6000));
}

/// Guards against a late order for a replaced primary that supersedes its successor.
#[test]
fn an_order_stays_pending_after_its_member_has_been_named() {
    let mut leases = LeaseTable::default();
    leases.observe(&ordering(2, "x", None, vec![order("b", 2)]), ms(0), ms(0));
    let settled = LeadRecord { orders: vec![order("b", 2)], ..settled(3, "b", 2, None) };
    leases.observe(&settled, ms(1000), ms(1000));

    assert_eq!(leases.pending_orders(ms(5999)), [order("b", 2)]);
    assert_eq!(leases.pending_orders(ms(6000)), []);
}
