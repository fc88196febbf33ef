//! Shares of a member's connections, calculated independently by all instances of a deployment.

use rudder_core::InstanceName;
use rudder_decisions::ConnectionShare;

/// Connections that are not divided among the instances.
const RESERVE: u32 = 4;

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count).map(|number| format!("entry-{number:02}").parse().expect("a name")).collect()
}

/// Returns the shares of all instances.
fn shares(connections_max: u32, member: &str, count: usize) -> Vec<ConnectionShare> {
    let all = instances(count);
    let member = member.parse().expect("a name");
    all.iter().map(|own| ConnectionShare::of(connections_max, &member, own, &all)).collect()
}

fn limits(connections_max: u32, member: &str, count: usize) -> Vec<u32> {
    shares(connections_max, member, count).iter().map(|share| share.0).collect()
}

#[test]
fn shares_add_up_to_the_connections_of_a_member() {
    // Beyond its limit a member closes connections, and each retry displaces another connection:
    // thirty thousand were closed in half a minute. If each share is rounded down, connections
    // stay unused while callers are refused: 7 of 18.
    for connections_max in 13..80 {
        let sum: u32 = limits(connections_max, "db-1", 9).iter().sum();
        assert_eq!(sum, connections_max - RESERVE, "of {connections_max}");
    }
}

#[test]
fn instances_differ_by_one_connection_at_most() {
    // With greater differences one instance refuses callers while another one has unused
    // connections.
    for connections_max in 13..80 {
        let limits = limits(connections_max, "db-1", 9);
        let (least, most) = (limits.iter().min(), limits.iter().max());
        assert!(most <= least.map(|least| least + 1).as_ref(), "{limits:?}");
    }
}

#[test]
fn remainders_go_to_different_instances_at_each_member() {
    // Otherwise the same instance would have one connection more to every member of every service.
    let first_with_remainder =
        |member: &str| limits(25, member, 9).iter().position(|limit| *limit == 3);
    let holders: Vec<_> = ["db-1", "db-2", "db-3", "db-4"].map(first_with_remainder).to_vec();

    assert!(holders.iter().any(|first| *first != holders[0]), "{holders:?}");
}

#[test]
fn each_instance_has_one_connection_when_instances_outnumber_connections() {
    assert!(limits(30, "db-1", 70).iter().all(|limit| *limit == 1));
}

#[test]
fn extreme_settings_leave_each_instance_one_connection() {
    // With fewer connections configured than are reserved, each instance still opens one, as the
    // member itself refuses connections beyond its limit.
    for connections_max in [0, 1, RESERVE] {
        assert!(limits(connections_max, "db-1", 3).iter().all(|limit| *limit == 1));
    }
    assert_eq!(limits(u32::MAX, "db-1", 1), [u32::MAX - RESERVE]);
}

#[test]
fn an_unlisted_instance_has_one_connection() {
    let newcomer = "newcomer".parse().expect("a name");
    let member = "db-1".parse().expect("a name");

    let share = ConnectionShare::of(30, &member, &newcomer, &instances(2));

    assert_eq!(share, ConnectionShare(1));
}
