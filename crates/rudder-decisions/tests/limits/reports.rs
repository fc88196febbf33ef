//! Reports about owners and the choice of the relays that give them.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rudder_core::{AccountName, DomainName, InstanceName};
use rudder_decisions::{OwnerState, OwnerWatch, choose_relays};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names() -> (AccountName, InstanceName) {
    ("choirs".parse().expect("a name"), "entry-1".parse().expect("a name"))
}

/// A delayed report could let a successor take over from an owner that grants meanwhile.
#[test]
fn a_late_report_does_not_replace_a_newer_response() {
    let (account, owner) = names();
    let mut watch = OwnerWatch::default();
    assert!(watch.try_begin_probe(&account, &owner, ms(1000)));
    watch.record_response(&account, &owner, true, ms(1100));

    watch.record_report(&account, &owner, false, ms(1050));

    assert_eq!(watch.state(&account, &owner, ms(1150)), OwnerState::Granting);
}

/// A report that is long under way could prolong the life of a dead owner.
#[test]
fn a_report_is_valid_from_the_time_of_its_request() {
    let (account, owner) = names();
    let mut watch = OwnerWatch::default();
    assert!(watch.try_begin_probe(&account, &owner, ms(1000)));

    watch.record_report(&account, &owner, true, ms(1000));

    assert_eq!(watch.state(&account, &owner, ms(1400)), OwnerState::SilentFor(ms(400)));
}

/// If all relays were in one domain, or in that of the successor, one cut between two domains could
/// affect all of them.
#[test]
fn relays_are_in_different_other_domains() {
    let domains: Vec<DomainName> =
        (0..4).map(|index| format!("domain-{index}").parse().expect("a name")).collect();
    let instances: Vec<InstanceName> =
        (0..40).map(|index| format!("entry-{index}").parse().expect("a name")).collect();

    for seed in 0..50 {
        let candidates = instances.iter().enumerate();
        let candidates = candidates.map(|(index, instance)| (instance, &domains[index % 4]));
        let mut rng = SmallRng::seed_from_u64(seed);
        let relays = choose_relays(candidates, &domains[0], 3, &mut rng);

        let place = |relay: &&InstanceName| {
            instances.iter().position(|known| known == *relay).expect("it is listed") % 4
        };
        let mut chosen: Vec<usize> = relays.iter().map(place).collect();
        chosen.sort_unstable();
        assert_eq!(chosen, [1, 2, 3], "seed {seed}");
    }
}
