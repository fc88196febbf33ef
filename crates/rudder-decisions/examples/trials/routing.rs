//! Read routing: round robin, one queue with and without the paper's thresholds, and the current
//! policy, over five scenes and three loads.

use super::arrivals::{ArrivalPattern, capacity, member};
use super::current::{LimitRule, PolicySettings};
use super::model::MemberSpec;
use super::report::{TrialRow, print_rows};
use super::setup::{PolicyChoice, play};
use super::summary::LoadSummary;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_decisions::WorkClass;
use std::time::Duration;

const INSTANCES: usize = 7;
const LENGTH: Duration = Duration::from_secs(60);
const LOADS: [f64; 3] = [0.6, 0.8, 0.92];

/// One set of circumstances.
struct RoutingScene {
    name: &'static str,
    members: Vec<MemberSpec>,
    speeds_known: bool,
    burst: f64,
    write_share: f64,
}

impl RoutingScene {
    fn instances(&self) -> usize {
        self.members[0].links.len()
    }
}

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    let mut rows = Vec::new();
    for scene in scenes() {
        for load in LOADS {
            rows.extend(run_scene(&scene, load, seed));
        }
    }
    print_rows("read_routing", &rows);
}

fn run_scene(scene: &RoutingScene, load: f64, seed: u64) -> Vec<TrialRow> {
    let readers: Vec<MemberSpec> =
        scene.members.iter().filter(|member| !member.primary).cloned().collect();
    let read_rate = capacity(&readers) * load;
    let pattern = ArrivalPattern {
        burst: scene.burst,
        write_share: scene.write_share,
        ..ArrivalPattern::steady(read_rate / (1.0 - scene.write_share), LENGTH, scene.instances())
    };
    let requests = pattern.draw(&mut StdRng::seed_from_u64(seed));
    policies(scene.speeds_known)
        .into_iter()
        .map(|(policy, choice)| {
            let outcomes = play(&scene.members, &requests, choice, seed);
            let reads = LoadSummary::of(&requests, &outcomes, |request, _| {
                request.class == WorkClass::Read
            });
            let on_replicas = LoadSummary::of(&requests, &outcomes, |request, outcome| {
                let replica = outcome.member.is_some_and(|index| !scene.members[index].primary);
                request.class == WorkClass::Read && replica
            });
            TrialRow::new(format!("{}, load {load}", scene.name), policy)
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

fn scenes() -> Vec<RoutingScene> {
    let near = |speed, instances| member(speed, 5, Duration::ZERO, instances);
    let three = |instances| vec![near(1.0, instances), near(1.0, instances), near(0.4, instances)];
    let scene = |name, members| RoutingScene {
        name,
        members,
        speeds_known: true,
        burst: 1.0,
        write_share: 0.0,
    };
    let alone = scene("no links, all requests known", three(1));
    let bare = scene("no links", three(INSTANCES));
    let links = scene("links", linked_members());
    let unknown =
        RoutingScene { speeds_known: false, ..scene("links, speeds unknown", linked_members()) };
    let bursts = RoutingScene {
        burst: 2.0,
        speeds_known: false,
        ..scene("links, unknown, bursts", linked_members())
    };
    let mut group = linked_members();
    group[0].primary = true;
    let writes = RoutingScene {
        write_share: 0.25,
        speeds_known: false,
        ..scene("primary and 2 replicas, writes", group)
    };
    vec![alone, bare, links, unknown, bursts, writes]
}

/// Three members in three failure domains; the third is old. Instances stand in all three.
fn linked_members() -> Vec<MemberSpec> {
    let speeds = [1.0, 1.0, 0.4];
    speeds
        .iter()
        .enumerate()
        .map(|(index, &speed)| {
            let mut spec = member(speed, 5, Duration::ZERO, INSTANCES);
            for (instance, link) in spec.links.iter_mut().enumerate() {
                let near = instance % 3 == index;
                *link = Duration::from_millis(if near { 1 } else { 8 });
            }
            spec
        })
        .collect()
}
