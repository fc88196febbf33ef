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
#[path = "../../examples/trials/model.rs"]
mod model;
#[allow(dead_code, reason = "the example also plays what was tried and not taken")]
#[path = "../../examples/trials/setup.rs"]
mod setup;
#[path = "../../examples/trials/summary.rs"]
mod summary;

mod admission;
mod burst;
mod busy_caller;
mod detection;
mod endpoints;
mod long_work;
mod recovery;
mod routing;
mod saturation;
mod shares;

use arrivals::member;
use model::{MemberSpec, Outcome, Request};
use setup::{PolicyChoice, play};
use std::time::Duration;

/// The seed of every run.
const SEED: u64 = 11;

/// Instances in front of the group.
const INSTANCES: usize = 7;

/// A primary, a new replica and an old one, 2 ms away.
fn group() -> Vec<MemberSpec> {
    let link = Duration::from_millis(2);
    let primary = MemberSpec { primary: true, ..member(1.0, 5, link, INSTANCES) };
    vec![primary, member(1.0, 5, link, INSTANCES), member(0.4, 5, link, INSTANCES)]
}

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
