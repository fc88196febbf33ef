//! Simulations that compare the decisions of this package with alternatives, in virtual time.
//!
//! `cargo run --release -p rudder-decisions --example trials -- --seed 1` prints JSON lines and a
//! table for each trial.

mod adaptive;
mod admission;
mod arrivals;
mod baseline;
mod current;
mod detection;
mod faults;
mod hedging;
mod model;
mod report;
mod routing;
mod setup;
mod slots;
mod summary;
mod workloads;

/// Seed without `--seed`.
const SEED_DEFAULT: u64 = 1;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let seed = arguments
        .iter()
        .position(|argument| argument == "--seed")
        .and_then(|index| arguments.get(index + 1))
        .map_or(SEED_DEFAULT, |text| text.parse().expect("--seed takes a number"));
    admission::run(seed);
    routing::run(seed);
    slots::run(seed);
    faults::run(seed);
    hedging::run(seed);
    detection::run(seed);
}
