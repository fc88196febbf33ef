//! Read routing while one of two replicas is slow, fails every statement, or has cold caches.

use super::arrivals::{ArrivalPattern, capacity, member};
use super::current::PolicySettings;
use super::model::{Fault, FaultKind, MemberSpec};
use super::report::{TrialRow, print_rows};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const INSTANCES: usize = 7;
const LENGTH: Duration = Duration::from_secs(60);
const LINK: Duration = Duration::from_millis(2);

/// Index of the faulty replica.
const FAULTY: usize = 2;

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    let from_10_to_40 =
        |kind| Fault { from: Duration::from_secs(10), until: Duration::from_secs(40), kind };
    let cold_from_start = |factor, statements| Fault {
        from: Duration::ZERO,
        until: LENGTH,
        kind: FaultKind::Cold(factor, statements),
    };
    let scenarios = [
        ("slow x10, load 0.45", 0.45, from_10_to_40(FaultKind::Slow(10.0))),
        ("failing, load 0.45", 0.45, from_10_to_40(FaultKind::Failing)),
        ("cold x5 for 300, load 0.45", 0.45, cold_from_start(5.0, 300)),
        ("cold x5 for 300, load 0.7", 0.7, cold_from_start(5.0, 300)),
        ("cold x20 for 1000, load 0.45", 0.45, cold_from_start(20.0, 1000)),
        ("cold x20 for 1000, load 0.7", 0.7, cold_from_start(20.0, 1000)),
    ];
    let rows: Vec<TrialRow> = scenarios
        .iter()
        .flat_map(|(name, load, fault)| run_scenario(name, *load, *fault, seed))
        .collect();
    print_rows("faulty_replica", &rows);
}

fn run_scenario(name: &str, load: f64, fault: Fault, seed: u64) -> Vec<TrialRow> {
    let members = group(fault);
    let rate = capacity(&members[1..]) * load;
    let pattern = ArrivalPattern::steady(rate, LENGTH, INSTANCES);
    let requests = pattern.draw(&mut StdRng::seed_from_u64(seed));
    let untracked = PolicySettings { outliers_tracked: false, ..PolicySettings::default() };
    let tracked = PolicySettings { outliers_tracked: true, ..untracked };
    let ramped = PolicySettings { ramp: Some(FAULTY), ..tracked };
    let policies = [
        ("round robin", PolicyChoice::RoundRobin),
        ("least time", PolicyChoice::Current(untracked)),
        ("least time, outliers", PolicyChoice::Current(tracked)),
        ("least time, outliers, ramp", PolicyChoice::Current(ramped)),
    ];
    policies
        .into_iter()
        .map(|(policy, choice)| {
            let outcomes = simulate(&members, &requests, choice, seed);
            let all = LoadSummary::of(&requests, &outcomes, |_, _| true);
            let early = LoadSummary::of(&requests, &outcomes, |request, _| {
                request.at < Duration::from_secs(2)
            });
            let faulty =
                LoadSummary::of(&requests, &outcomes, |_, outcome| outcome.member == Some(FAULTY));
            TrialRow::new(name, policy)
                .with("failed_share", all.failed as f64 / all.requests as f64)
                .with("mean_ms", all.mean_ms)
                .with("p99_ms", all.p99_ms)
                .with("first_2s_mean_ms", early.mean_ms)
                .with("first_2s_p99_ms", early.p99_ms)
                .with("share_of_faulty", faulty.requests as f64 / all.requests as f64)
        })
        .collect()
}

fn group(fault: Fault) -> Vec<MemberSpec> {
    let primary = MemberSpec { primary: true, ..member(1.0, 5, LINK, INSTANCES) };
    let replica = member(1.0, 5, LINK, INSTANCES);
    let faulty = MemberSpec { fault: Some(fault), ..replica.clone() };
    vec![primary, replica, faulty]
}
