use super::arrivals::ArrivalPattern;
use super::current::PolicySettings;
use super::model::{Fault, FaultKind, MemberSpec, Request};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use super::{INSTANCES, SEED, group, simulate_both};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

fn reads(rate: f64) -> Vec<Request> {
    let pattern = ArrivalPattern::steady(rate, Duration::from_secs(30), INSTANCES);
    pattern.draw(&mut StdRng::seed_from_u64(SEED))
}

fn group_with(fault: Fault) -> Vec<MemberSpec> {
    let mut members = group();
    members[2] = MemberSpec { speed: 1.0, fault: Some(fault), ..members[2].clone() };
    members
}

fn summary_of(requests: &[Request], outcomes: &[super::model::Outcome]) -> LoadSummary {
    LoadSummary::of(requests, outcomes, |_, _| true)
}

// One replica is slow. With as many reads as the fast one its queue grows without bound at a load
// that both can serve together, and half of the reads wait in it.
#[test]
fn a_slow_member_gets_work_in_proportion_to_its_speed() {
    let requests = reads(660.0);

    let (current, baseline) = simulate_both(&group(), &requests, PolicySettings::default());

    assert!(summary_of(&requests, &current).p99_ms < 120.0);
    assert!(summary_of(&requests, &baseline).p99_ms > 1000.0);
}

// Each of seven instances sees only its own requests. If each takes the fast member for idle, they
// queue there together while other members have free slots.
#[test]
fn instances_account_for_the_load_of_other_instances() {
    let requests = reads(700.0);
    let sharers_unknown = PolicySettings { sharers_known: false, ..PolicySettings::default() };

    let current =
        simulate(&group(), &requests, PolicyChoice::Current(PolicySettings::default()), SEED);
    let without_sharers =
        simulate(&group(), &requests, PolicyChoice::Current(sharers_unknown), SEED);

    let (current, without_sharers) =
        (summary_of(&requests, &current), summary_of(&requests, &without_sharers));
    assert!(current.mean_ms * 1.25 < without_sharers.mean_ms, "{current:?} {without_sharers:?}");
}

// A replica is ten times slower for ten seconds, for example while its disk is rebuilt. Load must
// move away from it and return afterwards.
#[test]
fn load_moves_away_from_a_slow_member_and_returns() {
    let (from, until) = (Duration::from_secs(5), Duration::from_secs(15));
    let members = group_with(Fault { from, until, kind: FaultKind::Slow(10.0) });
    let requests = reads(400.0);

    let (current, baseline) = simulate_both(&members, &requests, PolicySettings::default());

    assert!(summary_of(&requests, &current).p99_ms < 120.0);
    assert!(summary_of(&requests, &baseline).p99_ms > 1000.0);
    let late = LoadSummary::of(&requests, &current, |request, outcome| {
        request.at > Duration::from_secs(22) && outcome.member == Some(2)
    });
    assert!(late.requests > 1000, "the member is used again after its recovery: {late:?}");
}

// A replica fails every statement immediately, for example because its disk is full. By response
// time it is the fastest member, so without outlier tracking it attracts reads, and callers see
// more failures than with round robin.
#[test]
fn load_moves_away_from_a_failing_member() {
    let (from, until) = (Duration::from_secs(5), Duration::from_secs(25));
    let members = group_with(Fault { from, until, kind: FaultKind::Failing });
    let requests = reads(400.0);
    let untracked_settings =
        PolicySettings { outliers_tracked: false, ..PolicySettings::default() };

    let current =
        simulate(&members, &requests, PolicyChoice::Current(PolicySettings::default()), SEED);
    let untracked = simulate(&members, &requests, PolicyChoice::Current(untracked_settings), SEED);

    assert!(summary_of(&requests, &current).failed * 5 < summary_of(&requests, &untracked).failed);
    let late = LoadSummary::of(&requests, &current, |request, outcome| {
        request.at > Duration::from_secs(28) && outcome.member == Some(2)
    });
    assert!(late.requests > 50, "the member gets requests again after its recovery: {late:?}");
}

// A replica returns with cold caches. If all instances send it their full share at once, its first
// statements queue behind each other. The number of requests that reach it cold is random, so the
// first two seconds are simulated with five seeds.
#[test]
fn load_on_a_cold_member_rises_gradually() {
    let until = Duration::from_secs(30);
    let cold = Fault { from: Duration::ZERO, until, kind: FaultKind::Cold(20.0, 1000) };
    let members = group_with(cold);
    let pattern = ArrivalPattern::steady(700.0, Duration::from_secs(2), INSTANCES);
    let runs: Vec<Vec<Request>> =
        (SEED..SEED + 5).map(|seed| pattern.draw(&mut StdRng::seed_from_u64(seed))).collect();
    let p99_sum = |settings| -> f64 {
        let p99_of = |requests: &Vec<Request>| {
            summary_of(
                requests,
                &simulate(&members, requests, PolicyChoice::Current(settings), SEED),
            )
            .p99_ms
        };
        runs.iter().map(p99_of).sum()
    };

    let ramped = p99_sum(PolicySettings { ramp: Some(2), ..PolicySettings::default() });
    let unramped = p99_sum(PolicySettings::default());

    assert!(ramped * 1.25 < unramped, "{ramped} {unramped}");
}
