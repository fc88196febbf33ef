//! Tests of state received from the store and from peers.

use super::StoreSnapshot;
use crate::fixtures::member_entry;
use std::time::Duration;

#[test]
fn an_outdated_peer_restores_no_removed_member() {
    // A removed member would get requests again, and another service may run at its address. A peer
    // that the store does not respond to still has the old list and sends it to an instance that
    // knows of the removal.
    let mut stale = StoreSnapshot::default();
    stale.apply_members(&[member_entry("a"), member_entry("b")], 7);
    let mut snapshot = StoreSnapshot::default();
    snapshot.apply_members(&[member_entry("a")], 9);

    let (members, version) = stale.members();
    let changed = snapshot.apply_copy(members, version);

    assert!(!changed);
    assert_eq!(snapshot.members().0, [member_entry("a")]);
}

#[test]
fn a_list_that_changed_without_the_store_is_newer_than_before() {
    // After a store outage, missing entries are kept for a grace period. When it ends, the list
    // changes without a new revision of the store, and instances that fetch it must recognize the
    // change.
    let mut reader = StoreSnapshot::default();
    reader.apply_members(&[member_entry("a"), member_entry("b")], 7);
    let mut follower = reader.clone();

    reader.apply_members(&[member_entry("a")], 7);
    let (members, version) = reader.members();
    let changed = follower.apply_copy(members, version);

    assert!(changed);
    assert_eq!(follower.members().0, [member_entry("a")]);
}

#[test]
fn the_stores_own_list_overrides_that_of_a_peer() {
    let mut snapshot = StoreSnapshot::default();
    snapshot.apply_members(&[member_entry("a"), member_entry("b")], 8);

    let changed = snapshot.apply_members(&[member_entry("a")], 7);

    assert!(changed);
    assert_eq!(snapshot.members().0, [member_entry("a")]);
}

#[test]
fn the_snapshot_is_as_old_as_its_older_part() {
    let mut snapshot = StoreSnapshot::default();
    snapshot.confirm_members(Duration::from_secs(9));
    let before = snapshot.confirmed_at();

    snapshot.confirm_settings(Duration::from_secs(5));

    assert_eq!(before, None);
    assert_eq!(snapshot.confirmed_at(), Some(Duration::from_secs(5)));
}

/// During a store outage, the calls of a whole fleet must not load the store.
#[test]
fn an_instance_whose_peer_answers_waits_longer() {
    let at = Duration::from_millis;
    let (timeout, extended_timeout) = (at(2700), at(5000));
    let mut silent = StoreSnapshot::default();
    silent.confirm_by_peer(at(10_000));
    let mut responding = silent.clone();
    responding.record_peer_response(at(13_900));

    assert!(silent.is_confirmed_by_peers(timeout, extended_timeout, at(12_600)));
    assert!(!silent.is_confirmed_by_peers(timeout, extended_timeout, at(14_000)));
    assert!(responding.is_confirmed_by_peers(timeout, extended_timeout, at(14_000)));
    assert!(
        !responding.is_confirmed_by_peers(timeout, extended_timeout, at(15_000)),
        "the extended timeout ends"
    );
}

/// An instance whose peers know no more than itself must still poll the store.
#[test]
fn an_instance_without_a_confirmation_by_peers_polls_the_store() {
    let mut snapshot = StoreSnapshot::default();
    snapshot.record_peer_response(Duration::from_secs(10));

    let confirmed = snapshot.is_confirmed_by_peers(
        Duration::from_secs(3),
        Duration::from_secs(5),
        Duration::from_secs(10),
    );

    assert!(!confirmed);
}

/// Members from an old list must not take precedence over those that peers have from the store.
#[test]
fn an_initial_list_is_replaced_by_any_list_of_the_store() {
    let mut snapshot = StoreSnapshot::default();
    let before = snapshot.is_blank();
    snapshot.apply_members(&[member_entry("old")], 0);
    let mut peer = StoreSnapshot::default();
    peer.apply_members(&[member_entry("new")], 1);

    let (members, version) = peer.members();
    let changed = snapshot.apply_copy(members, version);

    assert!(before && changed);
    assert_eq!(snapshot.members().0, [member_entry("new")]);
}
