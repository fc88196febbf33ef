use super::arrivals::ArrivalPattern;
use super::current::PolicySettings;
use super::model::{Fault, FaultKind, MemberSpec, Request};
use super::setup::{PolicyChoice, play};
use super::summary::LoadSummary;
use super::{INSTANCES, SEED, group, play_both};
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

fn all(requests: &[Request], outcomes: &[super::model::Outcome]) -> LoadSummary {
    LoadSummary::of(requests, outcomes, |_, _| true)
}

// One replica is old hardware. Given as much work as the new one, its queue grows without end at a
// load that both carry easily together, and every second lookup stands in it.
#[test]
fn an_old_member_gets_work_by_its_speed() {
    let requests = reads(660.0);

    let (now, plain) = play_both(&group(), &requests, PolicySettings::default());

    assert!(all(&requests, &now).p99_ms < 120.0);
    assert!(all(&requests, &plain).p99_ms > 1000.0);
}

// Seven instances see only their own requests. Each finds the fast member free and sends there, and
// together they queue in it while the others have slots to spare.
#[test]
fn instances_reckon_with_each_other() {
    let requests = reads(700.0);
    let alone = PolicySettings { sharers_known: false, ..PolicySettings::default() };

    let now = play(&group(), &requests, PolicyChoice::Current(PolicySettings::default()), SEED);
    let alone = play(&group(), &requests, PolicyChoice::Current(alone), SEED);

    let (now, alone) = (all(&requests, &now), all(&requests, &alone));
    assert!(now.mean_ms * 1.25 < alone.mean_ms, "{now:?} {alone:?}");
}

// A replica turns ten times slower for ten seconds, as when its disk is rebuilt, and recovers.
// Work leaves it while it is slow and returns afterwards.
#[test]
fn work_leaves_a_slow_member_and_returns() {
    let (from, until) = (Duration::from_secs(5), Duration::from_secs(15));
    let members = group_with(Fault { from, until, kind: FaultKind::Slow(10.0) });
    let requests = reads(400.0);

    let (now, plain) = play_both(&members, &requests, PolicySettings::default());

    assert!(all(&requests, &now).p99_ms < 120.0);
    assert!(all(&requests, &plain).p99_ms > 1000.0);
    let late = LoadSummary::of(&requests, &now, |request, outcome| {
        request.at > Duration::from_secs(22) && outcome.member == Some(2)
    });
    assert!(late.requests > 1000, "the member is used again: {late:?}");
}

// A replica refuses every statement at once, for example because its disk is full. It looks like
// the fastest member of all, so callers see more failures than if members were taken in turn.
#[test]
fn a_failing_member_loses_its_work() {
    let (from, until) = (Duration::from_secs(5), Duration::from_secs(25));
    let members = group_with(Fault { from, until, kind: FaultKind::Failing });
    let requests = reads(400.0);
    let untracked = PolicySettings { outliers: false, ..PolicySettings::default() };

    let now = play(&members, &requests, PolicyChoice::Current(PolicySettings::default()), SEED);
    let before = play(&members, &requests, PolicyChoice::Current(untracked), SEED);

    assert!(all(&requests, &now).failed * 5 < all(&requests, &before).failed);
    let late = LoadSummary::of(&requests, &now, |request, outcome| {
        request.at > Duration::from_secs(28) && outcome.member == Some(2)
    });
    assert!(late.requests > 50, "the member is let back: {late:?}");
}

// A replica comes back with empty caches. All instances find it idle and send it their share in
// the same moment, and the first callers wait for each other's cold statements. How many meet it
// cold is chance, so the first two seconds are played five times.
#[test]
fn load_moves_to_a_cold_member_by_degrees() {
    let until = Duration::from_secs(30);
    let cold = Fault { from: Duration::ZERO, until, kind: FaultKind::Cold(20.0, 1000) };
    let members = group_with(cold);
    let pattern = ArrivalPattern::steady(700.0, Duration::from_secs(2), INSTANCES);
    let runs: Vec<Vec<Request>> =
        (SEED..SEED + 5).map(|seed| pattern.draw(&mut StdRng::seed_from_u64(seed))).collect();
    let p99_sum = |settings| -> f64 {
        let p99_of = |requests: &Vec<Request>| {
            all(requests, &play(&members, requests, PolicyChoice::Current(settings), SEED)).p99_ms
        };
        runs.iter().map(p99_of).sum()
    };

    let now = p99_sum(PolicySettings { ramp: Some(2), ..PolicySettings::default() });
    let at_once = p99_sum(PolicySettings::default());

    assert!(now * 1.25 < at_once, "{now} {at_once}");
}
