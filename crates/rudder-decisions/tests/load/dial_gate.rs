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
