//! Receivers of heartbeats.

use crate::duty::schedule::HeartbeatSchedule;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const GAP: Duration = Duration::from_millis(1000);

fn peers(hosts: &[u8]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| SocketAddr::from(([10, 0, 0, *host], 7440))).collect()
}

#[test]
fn new_receiver_gets_a_heartbeat_at_once() {
    // After a loss of power each instance sends its first heartbeat before it knows the others. If
    // the next one follows a second later, all instances read the store meanwhile, and callers are
    // rejected because no primary is confirmed.
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
