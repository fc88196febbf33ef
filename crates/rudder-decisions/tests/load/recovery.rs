use super::SEED;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_core::OutcomeClass;
use rudder_decisions::{MemberWeight, OutlierTracker, ReconnectPacer, RetryBudget, WorkClass};
use std::time::{Duration, Instant};

/// Returns the greatest number of times within any 100 ms.
fn max_in_100_ms(times: &[Duration]) -> usize {
    let window = Duration::from_millis(100);
    let within =
        |first: &Duration| times.iter().filter(|at| *at >= first && **at < *first + window).count();
    times.iter().map(within).max().unwrap_or(0)
}

// The primary fails with 1000 reads in flight. If each were sent three times, the remaining members
// would get 3000, and the overload would make further requests fail.
#[test]
fn retries_after_a_failure_are_limited() {
    let mut budget = RetryBudget::new();
    (0..500).for_each(|_| budget.record_success());

    let retries =
        (0..1000).filter(|_| budget.try_spend(WorkClass::Read, OutcomeClass::Unknown)).count();
    (0..1000).for_each(|_| budget.record_success());

    assert_eq!(retries, 15);
    assert!(budget.try_spend(WorkClass::Read, OutcomeClass::NotRun), "successes refill the budget");
}

// The response to a write was lost. A retry could execute the write twice.
#[test]
fn a_write_of_unknown_outcome_is_never_retried() {
    let mut budget = RetryBudget::new();

    let allowed = budget.try_spend(WorkClass::Write, OutcomeClass::Unknown);

    assert!(!allowed);
    assert_eq!(budget.remaining(), 15);
}

// After a failover 570 instances connect to the new primary. With 12 ms per connection and four at
// a time it needs 1.7 s for all; without pacing, timeouts and retries would add further load.
#[test]
fn reconnections_are_spread_over_time() {
    let rng = &mut StdRng::seed_from_u64(SEED);

    let first_tries: Vec<Duration> =
        (0..570).map(|_| ReconnectPacer::new().initial_delay(570, rng)).collect();
    let retries: Vec<Duration> = (0..570)
        .map(|_| {
            let mut pacer = ReconnectPacer::new();
            (0..6).map(|_| pacer.retry_delay(rng)).sum()
        })
        .collect();

    assert!(max_in_100_ms(&first_tries) < 2 * 34, "the primary accepts 33 connections in 100 ms");
    assert!(max_in_100_ms(&retries) < 100, "retries are spread over time");
    assert!(first_tries.iter().all(|at| *at <= Duration::from_secs(2)));
}

// When the link of the instance itself fails, all members fail at the same time. If the weight of
// all were reduced, none would serve at full weight when the link recovers.
#[test]
fn at_least_one_member_keeps_its_full_weight() {
    let start = Instant::now();
    let names = ["one".parse().unwrap(), "two".parse().unwrap(), "three".parse().unwrap()];
    let mut tracker = OutlierTracker::new(start);

    for second in 1..=20 {
        (0..30).for_each(|index| tracker.observe(&names[index % 3], false));
        tracker.step(start + Duration::from_secs(second));
    }

    let weights: Vec<MemberWeight> = names.iter().map(|name| tracker.weight(name)).collect();
    assert!(weights.contains(&MemberWeight::FULL), "{weights:?}");
    assert!(weights.iter().all(|weight| weight.permille() >= 50), "{weights:?}");
}
