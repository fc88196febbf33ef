//! Read routing by round robin, by a shared queue with and without thresholds, and by the current
//! policy, in six scenarios and at three loads.

use super::arrivals::{ArrivalPattern, capacity, member};
use super::current::{LimitRule, PolicySettings};
use super::model::MemberSpec;
use super::report::{TrialRow, print_rows};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_decisions::WorkClass;
use std::time::Duration;

const INSTANCES: usize = 7;
const LENGTH: Duration = Duration::from_secs(60);
const LOADS: [f64; 3] = [0.6, 0.8, 0.92];

/// Members and arrivals of one comparison.
struct RoutingScenario {
    name: &'static str,
    members: Vec<MemberSpec>,
    speeds_known: bool,
    burst: f64,
    write_share: f64,
}

impl RoutingScenario {
    fn instances(&self) -> usize {
        self.members[0].links.len()
    }
}

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    let mut rows = Vec::new();
    for scenario in scenarios() {
        for load in LOADS {
            rows.extend(run_scenario(&scenario, load, seed));
        }
    }
    print_rows("read_routing", &rows);
}

fn run_scenario(scenario: &RoutingScenario, load: f64, seed: u64) -> Vec<TrialRow> {
    let readers: Vec<MemberSpec> =
        scenario.members.iter().filter(|member| !member.primary).cloned().collect();
    let read_rate = capacity(&readers) * load;
    let pattern = ArrivalPattern {
        burst: scenario.burst,
        write_share: scenario.write_share,
        ..ArrivalPattern::steady(
            read_rate / (1.0 - scenario.write_share),
            LENGTH,
            scenario.instances(),
        )
    };
    let requests = pattern.draw(&mut StdRng::seed_from_u64(seed));
    policies(scenario.speeds_known)
        .into_iter()
        .map(|(policy, choice)| {
            let outcomes = simulate(&scenario.members, &requests, choice, seed);
            let reads = LoadSummary::of(&requests, &outcomes, |request, _| {
                request.class == WorkClass::Read
            });
            let on_replicas = LoadSummary::of(&requests, &outcomes, |request, outcome| {
                let on_replica =
                    outcome.member.is_some_and(|index| !scenario.members[index].primary);
                request.class == WorkClass::Read && on_replica
            });
            TrialRow::new(format!("{}, load {load}", scenario.name), policy)
                .with("mean_ms", reads.mean_ms)
                .with("p99_ms", reads.p99_ms)
                .with("replica_share", on_replicas.requests as f64 / reads.requests as f64)
        })
        .collect()
}

fn policies(speeds_known: bool) -> Vec<(&'static str, PolicyChoice)> {
    let window =
        PolicySettings { limit: LimitRule::Window, speeds_known, ..PolicySettings::default() };
    let adaptive = PolicySettings { limit: LimitRule::Adaptive, ..window };
    vec![
        ("round robin", PolicyChoice::RoundRobin),
        ("shared queue", PolicyChoice::SharedQueue),
        ("shared + thresholds", PolicyChoice::SharedThreshold),
        ("least time", PolicyChoice::Current(window)),
        ("least time, adaptive", PolicyChoice::Current(adaptive)),
    ]
}

fn scenarios() -> Vec<RoutingScenario> {
    let member_at_zero_delay = |speed, instances| member(speed, 5, Duration::ZERO, instances);
    let three_members = |instances| {
        vec![
            member_at_zero_delay(1.0, instances),
            member_at_zero_delay(1.0, instances),
            member_at_zero_delay(0.4, instances),
        ]
    };
    let scenario = |name, members| RoutingScenario {
        name,
        members,
        speeds_known: true,
        burst: 1.0,
        write_share: 0.0,
    };
    let one_instance = scenario("no links, all requests known", three_members(1));
    let no_links = scenario("no links", three_members(INSTANCES));
    let links = scenario("links", linked_members());
    let unknown = RoutingScenario {
        speeds_known: false,
        ..scenario("links, speeds unknown", linked_members())
    };
    let bursts = RoutingScenario {
        burst: 2.0,
        speeds_known: false,
        ..scenario("links, unknown, bursts", linked_members())
    };
    let mut group = linked_members();
    group[0].primary = true;
    let writes = RoutingScenario {
        write_share: 0.25,
        speeds_known: false,
        ..scenario("primary and 2 replicas, writes", group)
    };
    vec![one_instance, no_links, links, unknown, bursts, writes]
}

/// Returns three members in three failure domains, the third of them slow. Instances are spread
/// over the domains and are nearest to the member of their own domain.
fn linked_members() -> Vec<MemberSpec> {
    let speeds = [1.0, 1.0, 0.4];
    speeds
        .iter()
        .enumerate()
        .map(|(index, &speed)| {
            let mut spec = member(speed, 5, Duration::ZERO, INSTANCES);
            for (instance, link) in spec.links.iter_mut().enumerate() {
                let is_near = instance % 3 == index;
                *link = Duration::from_millis(if is_near { 1 } else { 8 });
            }
            spec
        })
        .collect()
}
