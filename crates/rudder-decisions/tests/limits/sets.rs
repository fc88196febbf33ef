//! Upper bound of the operations granted to an account while the fleet consists of sets of instances
//! without any link between them, all of which reach the store.

use super::fleet::SimFleet;
use super::schedules::{assert_within_limit, seconds, seed_count, small_limit};

/// Distributes the instances over sets at random, with the first two owners in different ones.
fn set_random_sets(fleet: &mut SimFleet, sets: usize) {
    for index in 0..fleet.instance_count() {
        let set = fleet.random_index(sets);
        fleet.set_partition(index, set);
    }
    let owners = fleet.owners();
    fleet.set_partition(owners[0], 0);
    fleet.set_partition(owners[1], 1);
}

fn join_sets(fleet: &mut SimFleet) {
    for index in 0..fleet.instance_count() {
        fleet.set_partition(index, 0);
    }
}

/// An owner that has not used its burst before the sets lose their links could grant it in addition to
/// what the owner of the other set grants.
#[test]
fn an_account_that_was_idle_before_the_sets_parted_gets_one_burst() {
    assert_within_limit("idle before", 6.0, &[], |fleet, rate| {
        fleet.set_store_suffices();
        fleet.run(seconds(7.0), rate / 40.0);
        set_random_sets(fleet, 2);
        let idle = fleet.random_duration(0..3000);
        fleet.run(idle, rate / 40.0);
        fleet.run(seconds(7.0), rate);
        join_sets(fleet);
    });
}

/// Each of three sets could grant the whole limit.
#[test]
fn three_sets_grant_the_limit_once() {
    assert_within_limit("three sets", 6.0, &[], |fleet, rate| {
        fleet.set_store_suffices();
        set_random_sets(fleet, 3);
        let third = fleet.owners()[2];
        fleet.set_partition(third, 2);
        let duration = fleet.random_duration(2000..9000);
        fleet.run(duration, rate);
        join_sets(fleet);
    });
}

/// Instances that move between the sets could count for the owners of both.
#[test]
fn sets_whose_instances_move_between_them_grant_the_limit_once() {
    assert_within_limit("moving instances", 6.0, &[], |fleet, rate| {
        fleet.set_store_suffices();
        for _ in 0..8 {
            set_random_sets(fleet, 2);
            let duration = fleet.random_duration(300..1500);
            fleet.run(duration, rate);
        }
        join_sets(fleet);
    });
}

/// An owner that starts again within its set does not know the sets and could grant the whole limit.
#[test]
fn an_owner_that_restarts_within_its_set_does_not_exceed_the_limit() {
    assert_within_limit("restart within a set", 6.0, &[], |fleet, rate| {
        fleet.set_store_suffices();
        set_random_sets(fleet, 2);
        let duration = fleet.random_duration(2000..5000);
        fleet.run(duration, rate);
        let owner = fleet.owners()[usize::from(fleet.random_bool(0.5))];
        fleet.stop(owner);
        let downtime = fleet.random_duration(300..2500);
        fleet.run(downtime, rate);
        fleet.start(owner);
        fleet.run(seconds(3.0), rate);
        join_sets(fleet);
    });
}

/// Sets that part and join again could grant the limit once for each change.
#[test]
fn sets_that_part_and_join_repeatedly_grant_the_limit_once() {
    assert_within_limit("parting repeatedly", 6.0, &[], |fleet, rate| {
        fleet.set_store_suffices();
        for _ in 0..4 {
            set_random_sets(fleet, 2);
            let apart = fleet.random_duration(500..4000);
            fleet.run(apart, rate);
            join_sets(fleet);
            let joined = fleet.random_duration(200..3000);
            fleet.run(joined, rate);
        }
    });
}

/// An account that uses a part of its limit could be refused in each set although its limit is not
/// used up.
#[test]
fn an_account_below_its_limit_is_served_in_both_sets() {
    let (mut granted, mut requested) = (0, 0);
    for seed in 0..seed_count() {
        let mut fleet = SimFleet::new(seed, 18, small_limit());
        fleet.set_store_suffices();
        fleet.run(seconds(7.0), 2.0);
        set_random_sets(&mut fleet, 2);
        fleet.run(seconds(5.0), 2.0);
        let (granted_before, requested_before) = (fleet.granted_at.len(), fleet.requested);
        fleet.run(seconds(6.0), 2.0);
        granted += fleet.granted_at.len() - granted_before;
        requested += fleet.requested - requested_before;
    }
    assert!(granted * 20 >= requested * 19, "{granted} of {requested} were served");
}
