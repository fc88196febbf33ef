//! Upper bound of the operations granted to an account while the fleet consists of two sets of
//! instances without any link between them, each of which has an instance that reads the store.

use super::fleet::SimFleet;
use super::schedules::{assert_within_limit, seconds};

/// Moves about a third of the instances, with one of the first two owners, to a second set.
fn separate(fleet: &mut SimFleet) {
    fleet.set_store_suffices();
    let owners = fleet.owners();
    for index in 0..fleet.instance_count() {
        let moves = fleet.random_bool(0.35);
        fleet.set_partition(index, usize::from(moves));
    }
    let moved = usize::from(fleet.random_bool(0.5));
    fleet.set_partition(owners[moved], 1);
    fleet.set_partition(owners[1 - moved], 0);
}

fn join(fleet: &mut SimFleet) {
    for index in 0..fleet.instance_count() {
        fleet.set_partition(index, 0);
    }
}

/// Sets whether the store serves the instances of one set.
fn set_store_serves(fleet: &mut SimFleet, set: usize, store_serves: bool) {
    for index in 0..fleet.instance_count() {
        if fleet.partition(index) == set {
            fleet.set_store_serves(index, store_serves);
        }
    }
}

/// The owners of both sets could be in contact with the store and grant the whole limit each.
#[test]
fn two_sets_that_both_reach_the_store_grant_the_limit_once() {
    assert_within_limit("two sets", 6.0, &[], |fleet, rate| {
        fleet.run(seconds(3.0), rate);
        separate(fleet);
        fleet.run(seconds(7.0), rate);
        join(fleet);
    });
}

/// The set that reaches the store could take over while a majority of instances still extends the
/// confirmation in the other one.
#[test]
fn two_sets_grant_the_limit_once_while_the_store_fails_for_one_and_then_for_both() {
    assert_within_limit("two sets, store down", 6.0, &[], |fleet, rate| {
        fleet.run(seconds(3.0), rate);
        separate(fleet);
        let duration = fleet.random_duration(0..2000);
        fleet.run(duration, rate);
        let set = usize::from(fleet.random_bool(0.5));
        set_store_serves(fleet, set, false);
        let duration = fleet.random_duration(500..9000);
        fleet.run(duration, rate);
        fleet.set_store_unreachable(true);
        let duration = fleet.random_duration(500..5000);
        fleet.run(duration, rate);
        fleet.set_store_unreachable(false);
        set_store_serves(fleet, set, true);
        let duration = fleet.random_duration(0..3000);
        fleet.run(duration, rate);
        join(fleet);
    });
}

/// After the holder is killed, a set could take over while the other one still trusts the last
/// confirmation.
#[test]
fn two_sets_grant_the_limit_once_after_the_holder_is_killed() {
    assert_within_limit("two sets, holder killed", 6.0, &[], |fleet, rate| {
        fleet.run(seconds(3.0), rate);
        separate(fleet);
        let duration = fleet.random_duration(0..3000);
        fleet.run(duration, rate);
        let holder = fleet.authority_holder();
        fleet.stop(holder);
        let duration = fleet.random_duration(500..7000);
        fleet.run(duration, rate);
        fleet.start(holder);
        fleet.run(seconds(2.0), rate);
        join(fleet);
    });
}

/// The majority could move from the holder, whose store fails, to the other set, which would take
/// over while the first one still trusts the last confirmation.
#[test]
fn two_sets_grant_the_limit_once_while_instances_move_between_them() {
    assert_within_limit("two sets, moving", 6.0, &[], |fleet, rate| {
        fleet.run(seconds(3.0), rate);
        for _ in 0..6 {
            separate(fleet);
            for set in 0..2 {
                let store_serves = fleet.random_bool(0.7);
                set_store_serves(fleet, set, store_serves);
            }
            let duration = fleet.random_duration(200..3500);
            let load = if fleet.random_bool(0.3) { rate / 20.0 } else { rate };
            fleet.run(duration, load);
        }
        for set in 0..2 {
            set_store_serves(fleet, set, true);
        }
        join(fleet);
    });
}

/// The smaller set could take over while the larger one, which the store does not serve, is still
/// confirmed by its majority.
#[test]
fn two_sets_grant_the_limit_once_while_the_store_fails_for_the_larger_one() {
    assert_within_limit("two sets, long outage", 6.0, &[], |fleet, rate| {
        fleet.run(seconds(3.0), rate);
        separate(fleet);
        set_store_serves(fleet, 0, false);
        let duration = fleet.random_duration(9000..16_000);
        fleet.run(duration, rate);
        set_store_serves(fleet, 0, true);
        join(fleet);
    });
}
