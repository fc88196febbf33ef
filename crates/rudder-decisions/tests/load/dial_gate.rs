//! Dials to a member whose connection limit is used up by stale connections of failed machines.

use rudder_decisions::{DialFailure, DialGate};
use std::time::{Duration, Instant};

const INSTANCES: usize = 9;

/// Time for which the member still counts the stale connections.
const STALE_CONNECTIONS_DURATION: Duration = Duration::from_millis(1100);

/// Result of all instances.
struct DialSummary {
    /// Refused dials of all instances.
    refused: u32,
    /// Time of the first connection of each instance.
    connected_at: Vec<Duration>,
}

/// Simulates instances that all restart at the same time, each with a caller that needs a
/// connection in every millisecond.
fn simulate_return() -> DialSummary {
    let start = Instant::now();
    let mut gates = vec![DialGate::default(); INSTANCES];
    let mut summary = DialSummary { refused: 0, connected_at: Vec::new() };
    let mut connected = [false; INSTANCES];
    for millisecond in 0..2000 {
        let elapsed = Duration::from_millis(millisecond);
        let now = start + elapsed;
        for (gate, connected) in gates.iter_mut().zip(&mut connected) {
            if *connected || !gate.try_begin(now) {
                continue;
            }
            if elapsed < STALE_CONNECTIONS_DURATION {
                gate.record_failure(DialFailure::ConnectionLimit, now);
                summary.refused += 1;
            } else {
                gate.record_success();
                *connected = true;
                summary.connected_at.push(elapsed);
            }
        }
    }
    summary
}

#[test]
fn each_instance_dials_a_full_member_only_a_few_times() {
    // After a power loss all instances restart together, and the members refuse them for a second.
    // Without a backoff each waiting caller dials, which gives thousands of refused dials.
    let summary = simulate_return();

    assert!(summary.refused <= 8 * INSTANCES as u32, "{}", summary.refused);
}

#[test]
fn all_instances_connect_soon_after_a_full_member_has_room() {
    // An unlimited backoff would leave members idle after they accept connections again.
    let summary = simulate_return();

    assert_eq!(summary.connected_at.len(), INSTANCES);
    assert!(
        summary
            .connected_at
            .iter()
            .all(|at| *at <= STALE_CONNECTIONS_DURATION + Duration::from_millis(200))
    );
}

/// Connections that the members of a restarting fleet accept while they count dead ones, and once
/// they have removed them.
const FREE_CONNECTIONS: [usize; 2] = [8, 45];

/// Number of instances that share these connections.
const SHARING_INSTANCES: u64 = 29;

/// Simulates the start of all instances before a member that is nearly full. A third of them have
/// callers of high priority from the start, the others only reads. Returns for each connection, in
/// order, whether it went to a caller of high priority.
fn simulate_start(by_priority: bool) -> Vec<bool> {
    let start = Instant::now();
    let mut gates = vec![DialGate::default(); SHARING_INSTANCES as usize];
    let mut connected = vec![false; gates.len()];
    let mut granted = Vec::new();
    for millisecond in 0..4000 {
        let now = start + Duration::from_millis(millisecond);
        let free = FREE_CONNECTIONS[usize::from(millisecond >= 3000)];
        for index in 0..SHARING_INSTANCES {
            let gate = &mut gates[index as usize];
            let began = start + Duration::from_millis(index);
            if connected[index as usize] || now < began {
                continue;
            }
            if by_priority && now == began {
                gate.expect_refusal(now);
            }
            let is_urgent = index % 3 == 0;
            let may_begin = gate.may_begin_for(is_urgent || !by_priority, now);
            if !may_begin || !gate.try_begin(now) {
                continue;
            }
            if granted.len() < free {
                gate.record_success();
                connected[index as usize] = true;
                granted.push(is_urgent);
            } else {
                gate.record_failure(DialFailure::ConnectionLimit, now);
            }
        }
    }
    granted
}

#[test]
fn the_first_connections_of_a_restarting_fleet_serve_the_highest_priority() {
    // Members keep dead connections for 3 s after a loss of power. The few that they accept
    // meanwhile would go to whichever caller dials first, most often a read.
    let by_arrival = simulate_start(false);
    let by_priority = simulate_start(true);

    let first =
        |granted: &[bool]| granted[..FREE_CONNECTIONS[0]].iter().filter(|urgent| **urgent).count();
    assert!(first(&by_arrival) < FREE_CONNECTIONS[0] / 2, "{by_arrival:?}");
    assert_eq!(first(&by_priority), FREE_CONNECTIONS[0], "{by_priority:?}");
    assert_eq!(by_priority.len(), SHARING_INSTANCES as usize, "all are served in the end");
}
