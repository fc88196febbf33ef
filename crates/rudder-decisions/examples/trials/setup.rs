//! Runs a workload through one policy.

use super::baseline::{RoundRobinPolicy, SharedQueuePolicy};
use super::current::{CurrentPolicy, PolicySettings};
use super::model::{LoadPolicy, MemberSpec, Outcome, QueueModel, Request};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::{Duration, Instant};

/// Policy that every instance runs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PolicyChoice {
    /// Round robin without limits.
    RoundRobin,
    /// One queue per instance; the fastest free slot takes the next request.
    SharedQueue,
    /// Shared queue with the thresholds of Rosberg and Makowski.
    SharedThreshold,
    /// Decisions of this package.
    Current(PolicySettings),
}

/// Mean service time that a policy assumes before the first measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Simulates the requests with the same policy at every instance and returns their outcomes.
pub(crate) fn simulate(
    members: &[MemberSpec],
    requests: &[Request],
    choice: PolicyChoice,
    seed: u64,
) -> Vec<Outcome> {
    let origin = Instant::now();
    let instances = members[0].links.len();
    let policy_of = |instance| -> Box<dyn LoadPolicy> {
        match choice {
            PolicyChoice::RoundRobin => Box::new(RoundRobinPolicy::new(members, instance)),
            PolicyChoice::SharedQueue => Box::new(SharedQueuePolicy::new(members, instance, false)),
            PolicyChoice::SharedThreshold => {
                Box::new(SharedQueuePolicy::new(members, instance, true))
            }
            PolicyChoice::Current(settings) => Box::new(CurrentPolicy::new(
                settings,
                members,
                instance,
                origin,
                INITIAL_SERVICE_TIME,
            )),
        }
    };
    let policies = (0..instances).map(policy_of).collect();
    let rng = StdRng::seed_from_u64(seed);
    QueueModel::new(members, requests, policies, origin, rng).run()
}
