//! What callers get under load, with the current decisions and with plain baselines, in virtual
//! time. The queueing model is that of the example `trials`.

#[path = "../../examples/trials/adaptive.rs"]
mod adaptive;
#[path = "../../examples/trials/arrivals.rs"]
mod arrivals;
#[path = "../../examples/trials/baseline.rs"]
mod baseline;
#[allow(dead_code, reason = "the example also plays what was tried and not taken")]
#[path = "../../examples/trials/current.rs"]
mod current;
#[allow(dead_code, reason = "only the example counts how often a request was sent")]
#[path = "../../examples/trials/model.rs"]
mod model;
#[path = "../../examples/trials/scenes.rs"]
mod scenes;
#[allow(dead_code, reason = "the example also plays what was tried and not taken")]
#[path = "../../examples/trials/setup.rs"]
mod setup;
#[path = "../../examples/trials/summary.rs"]
mod summary;

mod admission;
mod burst;
mod busy_caller;
mod connection_share;
mod detection;
mod dial_gate;
mod endpoints;
mod gate_invariants;
mod long_work;
mod recovery;
mod routing;
mod saturation;
mod shares;
mod standing;
mod wait_queue;

use model::{MemberSpec, Outcome, Request};
use scenes::{INSTANCES, group};
use setup::{PolicyChoice, play};

/// The seed of every run.
const SEED: u64 = 11;

/// Plays the requests with the current decisions, then with round robin.
fn play_both(
    members: &[MemberSpec],
    requests: &[Request],
    settings: current::PolicySettings,
) -> (Vec<Outcome>, Vec<Outcome>) {
    let current = play(members, requests, PolicyChoice::Current(settings), SEED);
    let plain = play(members, requests, PolicyChoice::RoundRobin, SEED);
    (current, plain)
}
