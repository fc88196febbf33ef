//! Whom a heartbeat goes to.

use crate::duty::schedule::HeartbeatSchedule;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const GAP: Duration = Duration::from_millis(1000);

fn peers(hosts: &[u8]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| SocketAddr::from(([10, 0, 0, *host], 7440))).collect()
}

#[test]
fn a_neighbour_that_is_new_is_told_at_once() {
    // After a loss of power all instances read the store, and their callers are refused for want of
    // a confirmed primary. Each sent its first heartbeat before it had read who its neighbours are,
    // and the next one only a second later, so nobody knew who reads for the others.
    let start = Instant::now();
    let mut turn = HeartbeatSchedule::default();
    turn.due(peers(&[]), true, GAP, start);

    let due = turn.due(peers(&[1, 2]), false, GAP, start + GAP / 10);

    assert_eq!(due, peers(&[1, 2]));
}

#[test]
fn those_who_were_told_wait_for_their_turn() {
    let start = Instant::now();
    let mut turn = HeartbeatSchedule::default();
    turn.due(peers(&[1, 2]), true, GAP, start);

    let between = turn.due(peers(&[1, 2, 3]), false, GAP, start + GAP / 2);
    let again = turn.due(peers(&[1, 2, 3]), false, GAP, start + GAP / 2);
    let over = turn.due(peers(&[1, 2, 3]), false, GAP, start + GAP);

    assert_eq!(between, peers(&[3]));
    assert!(again.is_empty());
    assert_eq!(over, peers(&[1, 2, 3]));
}

#[test]
fn news_go_to_all() {
    let start = Instant::now();
    let mut turn = HeartbeatSchedule::default();
    turn.due(peers(&[1, 2]), true, GAP, start);

    let due = turn.due(peers(&[1, 2]), true, GAP, start + GAP / 10);

    assert_eq!(due, peers(&[1, 2]));
}
