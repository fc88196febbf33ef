//! Whom a heartbeat goes to.

use crate::duty::schedule::HeartbeatSchedule;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const GAP: Duration = Duration::from_millis(1000);

fn peers(hosts: &[u8]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| SocketAddr::from(([10, 0, 0, *host], 7440))).collect()
}

#[test]
fn new_receiver_gets_a_heartbeat_at_once() {
    // After a loss of power all instances read the store, and their callers are refused for want of
    // a confirmed primary. Each sent its first heartbeat before it had read who its neighbours are,
    // and the next one only a second later, so nobody knew who reads for the others.
    let start = Instant::now();
    let mut schedule = HeartbeatSchedule::default();
    schedule.due(peers(&[]), true, GAP, start);

    let due = schedule.due(peers(&[1, 2]), false, GAP, start + GAP / 10);

    assert_eq!(due, peers(&[1, 2]));
}

#[test]
fn known_receivers_wait_for_the_interval() {
    let start = Instant::now();
    let mut schedule = HeartbeatSchedule::default();
    schedule.due(peers(&[1, 2]), true, GAP, start);

    let between = schedule.due(peers(&[1, 2, 3]), false, GAP, start + GAP / 2);
    let again = schedule.due(peers(&[1, 2, 3]), false, GAP, start + GAP / 2);
    let over = schedule.due(peers(&[1, 2, 3]), false, GAP, start + GAP);

    assert_eq!(between, peers(&[3]));
    assert!(again.is_empty());
    assert_eq!(over, peers(&[1, 2, 3]));
}

#[test]
fn changed_heartbeat_goes_to_all_receivers() {
    let start = Instant::now();
    let mut schedule = HeartbeatSchedule::default();
    schedule.due(peers(&[1, 2]), true, GAP, start);

    let due = schedule.due(peers(&[1, 2]), true, GAP, start + GAP / 10);

    assert_eq!(due, peers(&[1, 2]));
}
