//! Tests of the metrics recorder.

use super::{UPKEEP_INTERVAL, set_up_metrics};
use rudder_standins::ProcessMemory;

/// Samples recorded in each round, and their size in the recorder before they are added up.
const SAMPLES: u64 = 1_000_000;
const SAMPLE_BYTES: u64 = 16;

const ROUNDS: u64 = 4;

/// Returns the resident bytes of this process.
fn resident_bytes() -> u64 {
    ProcessMemory::of(std::process::id()).expect("this process runs").resident
}

/// Guards against samples that the recorder keeps for ever while nobody reads the metrics.
#[test]
fn samples_are_added_up_while_nobody_reads_the_metrics() {
    set_up_metrics();
    let start = resident_bytes();

    for _ in 0..ROUNDS {
        (0..SAMPLES).for_each(|_| metrics::histogram!("rudder_test_seconds").record(0.001));
        std::thread::sleep(UPKEEP_INTERVAL);
    }
    std::thread::sleep(UPKEEP_INTERVAL);

    let kept = resident_bytes().saturating_sub(start);
    assert!(kept < ROUNDS * SAMPLES * SAMPLE_BYTES / 2, "{kept} bytes are kept");
}
