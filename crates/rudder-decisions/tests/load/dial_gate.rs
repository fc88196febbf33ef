//! Dials to a member that is full of lost machines' connections.

use rudder_decisions::{DialFailure, DialGate};
use std::time::{Duration, Instant};

const INSTANCES: usize = 9;

/// How long the member still counts the lost connections.
const LINGER: Duration = Duration::from_millis(1100);

/// What the instances came to.
struct ReturnReport {
    refused: u32,
    /// When each instance had its first connection.
    served_at: Vec<Duration>,
}

/// All instances return at once, and at each of them a caller wants to dial in every millisecond.
fn play_return() -> ReturnReport {
    let start = Instant::now();
    let mut gates = vec![DialGate::default(); INSTANCES];
    let mut report = ReturnReport { refused: 0, served_at: Vec::new() };
    let mut served = [false; INSTANCES];
    for millisecond in 0..2000 {
        let elapsed = Duration::from_millis(millisecond);
        let now = start + elapsed;
        for (gate, served) in gates.iter_mut().zip(&mut served) {
            if *served || !gate.try_begin(now) {
                continue;
            }
            if elapsed < LINGER {
                gate.note_failure(DialFailure::ConnectionLimit, now);
                report.refused += 1;
            } else {
                gate.note_success();
                *served = true;
                report.served_at.push(elapsed);
            }
        }
    }
    report
}

#[test]
fn a_full_member_is_tried_a_few_times_by_each_instance() {
    // After a loss of power all instances come back together, and the members refuse them for a
    // second. Without pauses each waiting caller dials: thousands of refused dials.
    let report = play_return();

    assert!(report.refused <= 8 * INSTANCES as u32, "{}", report.refused);
}

#[test]
fn a_member_that_has_room_again_is_found_by_all() {
    // Pauses that grow without end would leave the members idle after they have room again.
    let report = play_return();

    assert_eq!(report.served_at.len(), INSTANCES);
    assert!(report.served_at.iter().all(|at| *at <= LINGER + Duration::from_millis(200)));
}
