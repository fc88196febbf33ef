//! Load tests in virtual time: results for callers with the current decisions, compared with
//! baseline policies. The queueing model is shared with the example `trials`.

#[path = "../../examples/trials/adaptive.rs"]
mod adaptive;
#[path = "../../examples/trials/arrivals.rs"]
mod arrivals;
#[path = "../../examples/trials/baseline.rs"]
mod baseline;
#[allow(dead_code, reason = "only the example uses the alternatives that the proxy does not use")]
#[path = "../../examples/trials/current.rs"]
mod current;
#[allow(dead_code, reason = "only the example counts how often a request was sent")]
#[path = "../../examples/trials/model.rs"]
mod model;
#[allow(dead_code, reason = "only the example uses the alternatives that the proxy does not use")]
#[path = "../../examples/trials/setup.rs"]
mod setup;
#[path = "../../examples/trials/summary.rs"]
mod summary;
#[path = "../../examples/trials/workloads.rs"]
mod workloads;

mod admission;
mod burst;
mod busy_caller;
mod connection_loan;
mod connection_share;
mod connection_table;
mod detection;
mod dial_gate;
mod endpoints;
mod forwarded_load;
mod forwarding;
mod forwarding_fleet;
mod forwarding_model;
mod gate_invariants;
mod long_work;
mod memory_budget;
mod read_rank;
mod recovery;
mod routing;
mod saturation;
mod shares;
mod wait_queue;
mod watch_plan;

use model::{MemberSpec, Outcome, Request};
use setup::{PolicyChoice, simulate};
use workloads::{INSTANCES, group};

/// Seed of every simulation.
const SEED: u64 = 11;

/// Simulates the requests with the current decisions and with round robin, in this order.
fn simulate_both(
    members: &[MemberSpec],
    requests: &[Request],
    settings: current::PolicySettings,
) -> (Vec<Outcome>, Vec<Outcome>) {
    let current = simulate(members, requests, PolicyChoice::Current(settings), SEED);
    let baseline = simulate(members, requests, PolicyChoice::RoundRobin, SEED);
    (current, baseline)
}
