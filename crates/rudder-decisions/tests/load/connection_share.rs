//! Shares of a member's connections: all instances of a deployment work theirs out at once.

use rudder_core::InstanceName;
use rudder_decisions::ConnectionShare;

/// Connections that no share holds.
const RESERVE: u32 = 4;

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count).map(|number| format!("entry-{number:02}").parse().expect("a name")).collect()
}

/// The shares of all instances.
fn shares(connections_max: u32, member: &str, count: usize) -> Vec<ConnectionShare> {
    let all = instances(count);
    let member = member.parse().expect("a name");
    all.iter().map(|own| ConnectionShare::of(connections_max, &member, own, &all)).collect()
}

fn limits(connections_max: u32, member: &str, count: usize) -> Vec<u32> {
    shares(connections_max, member, count).iter().map(|share| share.0).collect()
}

#[test]
fn the_shares_are_all_that_a_member_takes_and_no_more() {
    // Over its cap a member closes connections, and each caller that tries again costs another
    // one its place: thirty thousand closed connections in half a minute. Under it, callers are
    // refused at one instance although the member would take their connections: rounding each
    // share down left 7 of 18 to nobody.
    for connections_max in 13..80 {
        let sum: u32 = limits(connections_max, "db-1", 9).iter().sum();
        assert_eq!(sum, connections_max - RESERVE, "of {connections_max}");
    }
}

#[test]
fn instances_differ_by_one_connection_at_most() {
    // Two instances, of which one refuses callers while the other has three more connections than
    // it needs.
    for connections_max in 13..80 {
        let limits = limits(connections_max, "db-1", 9);
        let (least, most) = (limits.iter().min(), limits.iter().max());
        assert!(most <= least.map(|least| least + 1).as_ref(), "{limits:?}");
    }
}

#[test]
fn what_is_left_over_goes_to_others_at_each_member() {
    // One instance has a connection more to every member of every service, and the same one always
    // has fewer.
    let first_of = |member: &str| limits(25, member, 9).iter().position(|limit| *limit == 3);
    let firsts: Vec<_> = ["db-1", "db-2", "db-3", "db-4"].map(first_of).to_vec();

    assert!(firsts.iter().any(|first| *first != firsts[0]), "{firsts:?}");
}

#[test]
fn with_more_instances_than_connections_each_may_hold_one_while_it_needs_it() {
    assert!(limits(30, "db-1", 70).iter().all(|limit| *limit == 1));
}

#[test]
fn strange_settings_leave_each_instance_a_connection() {
    // An operator's file says that a member takes no connections, or one; work goes on, as the
    // member itself refuses what it does not take.
    for connections_max in [0, 1, RESERVE] {
        assert!(limits(connections_max, "db-1", 3).iter().all(|limit| *limit == 1));
    }
    assert_eq!(limits(u32::MAX, "db-1", 1), [u32::MAX - RESERVE]);
}

#[test]
fn an_instance_that_is_in_no_list_may_hold_one() {
    let newcomer = "newcomer".parse().expect("a name");
    let member = "db-1".parse().expect("a name");

    let share = ConnectionShare::of(30, &member, &newcomer, &instances(2));

    assert_eq!(share, ConnectionShare(1));
}
