//! Randomized soak test: processes of the compiled program, faults injected from outside, and
//! callers whose observations are checked against the consistency guarantees.
//!
//! `RUDDER_SOAK_SEEDS=50 RUDDER_SOAK_FROM=1 RUDDER_SOAK_SECONDS=20` runs more seeds than CI does, and
//! `RUDDER_SOAK_INSTANCES=60` more processes.
//! Each run prints its seed, its faults and, if a guarantee is violated, the paths of the logs.

mod abusive;
mod callers;
mod checks;
mod environment;
mod faults;
mod process;

use checks::SoakReport;
use environment::SoakEnvironment;
use faults::SoakPlan;
use std::time::Duration;

/// Seeds that CI runs.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Seeds that have failed before, each with its cause. They run unchanged, in CI as well.
const FAILED_SEEDS: [u64; 0] = [];

/// Seconds for which faults are injected in CI.
const CI_SECONDS: u64 = 8;

/// Seed of the callers while the primary is lost behind a late replica.
const LATE_REPLICA_SEED: u64 = 9000;

/// Seed of the callers while a replica is not listed.
const UNLISTED_REPLICA_SEED: u64 = 9002;

/// Number of promoting processes that are killed in a run.
const PROMOTER_KILLS: usize = 3;

/// Seed of the callers in that run.
const PROMOTER_SEED: u64 = 9001;

/// Seeds of the runs beside abusive clients.
const ABUSIVE_SEEDS: [u64; 2] = [9051, 9052];

/// Memory that a process assumes for its machine if its settings do not state it.
const MACHINE_MEMORY: u64 = 256_000_000;

/// Number of program processes in a run.
const INSTANCES: usize = 4;

/// Number of callers in a run.
const CALLERS: usize = 16;

/// Clients besides the callers whose observations are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherClients {
    None,
    Abusive,
}

async fn run(seed: u64, plan: &SoakPlan, sync_replicas: usize) -> SoakReport {
    run_beside(seed, plan, sync_replicas, OtherClients::None).await
}

async fn run_beside(
    seed: u64,
    plan: &SoakPlan,
    sync_replicas: usize,
    clients: OtherClients,
) -> SoakReport {
    println!("seed {seed}, sync replicas {sync_replicas}: {}", plan.summary());
    let environment = SoakEnvironment::start(seed, plan.instances, sync_replicas).await;
    environment.await_serving().await;
    let callers = callers::start(&environment, CALLERS, seed);
    let abusive = (clients == OtherClients::Abusive).then(|| abusive::start(&environment, seed));
    environment.run(plan).await;
    let peak_memory = environment.peak_memory();
    drop(abusive);
    environment.restore().await;
    environment.await_serving().await;
    let history = callers.stop().await;
    let report = SoakReport::of(&history, &environment.fleet.group);
    println!("seed {seed}: {report}, peak memory {} MB", peak_memory / 1_000_000);
    assert!(peak_memory <= MACHINE_MEMORY, "seed {seed}: {peak_memory} bytes were resident");
    if !report.violations.is_empty() {
        environment.keep_logs();
    }
    report
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().map(|text| text.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_programs_links_and_store_fail() {
    let seeds: Vec<u64> = match number("RUDDER_SOAK_SEEDS") {
        Some(count) => {
            let from = number("RUDDER_SOAK_FROM").unwrap_or(1);
            (from..from + count).collect()
        }
        None => CI_SEEDS.into_iter().chain(FAILED_SEEDS).collect(),
    };
    let seconds = number("RUDDER_SOAK_SECONDS").unwrap_or(CI_SECONDS);
    let instances = number("RUDDER_SOAK_INSTANCES")
        .map_or(INSTANCES, |count| usize::try_from(count).expect("a number of processes"));

    let mut violations = Vec::new();
    for seed in seeds {
        let plan = SoakPlan::generate(seed, Duration::from_secs(seconds), instances);
        let report = run(seed, &plan, usize::from(seed % 2 == 0)).await;
        assert!(report.served > 0, "seed {seed} served nothing");
        violations.extend(report.violations.into_iter().map(|text| format!("seed {seed}: {text}")));
    }

    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against an order that takes effect after its instance was killed and another one has
/// named the old primary.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_promoting_instances_are_killed() {
    let plan = SoakPlan::of_killed_promoters(PROMOTER_KILLS, INSTANCES);

    let report = run(PROMOTER_SEED, &plan, 0).await;

    assert!(report.promotions >= PROMOTER_KILLS, "{report}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

/// Guards against the promotion of a replica that lacks acknowledged commits, because the one that
/// has them answers late.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_commits_survive_while_their_replica_answers_late() {
    let plan = SoakPlan::of_late_replica(INSTANCES);

    let report = run(LATE_REPLICA_SEED, &plan, 1).await;

    assert!(report.promotions > 0, "{report}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

/// Guards against the promotion of a replica that lacks acknowledged commits, because the one that has
/// them is not listed, and was forgotten when all processes were killed.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_commits_survive_while_their_replica_is_not_listed() {
    let plan = SoakPlan::of_unlisted_replica(INSTANCES);

    let report = run(UNLISTED_REPLICA_SEED, &plan, 1).await;

    assert!(report.promotions > 0, "{report}");
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

/// Guards against promises that are broken, and memory that is exceeded, while clients send large,
/// unfinished or many requests during faults.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_beside_abusive_clients() {
    let seeds = match number("RUDDER_SOAK_SEEDS") {
        Some(count) => {
            let from = number("RUDDER_SOAK_FROM").unwrap_or(1);
            (from..from + count).collect()
        }
        None => ABUSIVE_SEEDS.to_vec(),
    };
    let seconds = number("RUDDER_SOAK_SECONDS").unwrap_or(CI_SECONDS);

    let mut violations = Vec::new();
    for seed in seeds {
        let plan = SoakPlan::generate(seed, Duration::from_secs(seconds), INSTANCES);
        let report = run_beside(seed, &plan, 0, OtherClients::Abusive).await;
        assert!(report.served > 0, "seed {seed} served nothing");
        violations.extend(report.violations.into_iter().map(|text| format!("seed {seed}: {text}")));
    }

    assert!(violations.is_empty(), "{violations:#?}");
}
