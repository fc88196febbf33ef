//! Property tests with generated schedules of failures.

use super::fleet::Fleet;
use super::seconds;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SIZE: usize = 9;
/// Number of generated schedules; the variable `RUDDER_CASES` overrides it.
const CASES: u32 = 24;

fn cases() -> u32 {
    let wanted = std::env::var("RUDDER_CASES").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

#[derive(Clone, Debug)]
enum Failure {
    Kill(usize),
    Freeze(usize, u64),
    Replace(usize),
    Leave(usize),
    Partition(usize),
    CutLink(usize, usize),
    LossPercent(u32),
    Heal,
}

fn any_failure() -> impl Strategy<Value = Failure> {
    let instance = 0..SIZE;
    prop_oneof![
        instance.clone().prop_map(Failure::Kill),
        (instance.clone(), 1..90_u64).prop_map(|(instance, time)| Failure::Freeze(instance, time)),
        instance.clone().prop_map(Failure::Replace),
        instance.clone().prop_map(Failure::Leave),
        (1..SIZE).prop_map(Failure::Partition),
        (instance.clone(), instance).prop_map(|(a, b)| Failure::CutLink(a, b)),
        (1..40_u32).prop_map(Failure::LossPercent),
        Just(Failure::Heal),
    ]
}

fn inject(fleet: &mut Fleet, failure: &Failure) {
    match *failure {
        // At least two instances keep running, so that there is a fleet to rejoin.
        Failure::Kill(instance) if fleet.running().len() > 2 => fleet.kill(instance),
        Failure::Kill(_) => {}
        Failure::Freeze(instance, time) => fleet.freeze(instance, seconds(time)),
        Failure::Replace(instance) => fleet.replace(instance),
        Failure::Leave(instance) if fleet.running().contains(&instance) => fleet.leave(instance),
        Failure::Leave(_) => {}
        Failure::Partition(first) => fleet.partition_from(first),
        Failure::CutLink(a, b) => fleet.cut_link(a, b),
        Failure::LossPercent(percent) => fleet.loss_percent = percent,
        Failure::Heal => fleet.heal(),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(0x0570_0780),
        failure_persistence: None,
        ..Config::default()
    })]

    // After any sequence of failures has ended, each running instance sees exactly the running ones
    // again, whether or not it removed them in between, and instances that left stay leaving.
    #[test]
    fn all_views_agree_after_any_failures(
        seed in any::<u32>(),
        failures in prop::collection::vec((any_failure(), 0..40_u64), 1..12),
    ) {
        let mut fleet = Fleet::joined(SIZE, u64::from(seed));
        for (failure, pause) in &failures {
            inject(&mut fleet, failure);
            fleet.run(seconds(*pause));
        }

        fleet.heal();
        let took = fleet.run_until(seconds(300), Fleet::settled);

        prop_assert!(took.is_some(), "views did not agree after {:?}", failures);
    }
}
