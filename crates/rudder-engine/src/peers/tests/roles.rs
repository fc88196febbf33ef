//! Roles of the instances of a fleet that starts.

use crate::clock::boot_time;
use crate::fixtures::identity;
use crate::identity::InstanceIdentity;
use crate::peers::membership_state::{MembershipState, OwnCandidate};
use crate::peers::{MembershipView, PeerEntry};
use rudder_core::{DomainName, InstanceName};
use rudder_decisions::InstanceCapacity;
use std::time::Duration;

const DOMAINS: usize = 6;

fn domain(index: usize) -> DomainName {
    format!("domain-{}", index % DOMAINS).parse().expect("a name")
}

fn instance(index: usize) -> InstanceName {
    format!("entry-{index:04}").parse().expect("a name")
}

/// One instance in ten has a larger machine.
fn capacity(index: usize) -> InstanceCapacity {
    InstanceCapacity(if index % 60 < DOMAINS { 1000 } else { 120 })
}

fn entries(count: usize) -> Vec<PeerEntry> {
    let entry = |index: usize| PeerEntry {
        instance: instance(index),
        domain: domain(index),
        address: ([127, 0, 0, 1], 9).into(),
        marked: false,
        capacity: Some(capacity(index)),
    };
    (0..count).map(entry).collect()
}

/// Returns the membership of an instance that has found the others, and has not heard from any.
fn starting(index: usize, entries: &[PeerEntry]) -> MembershipView {
    let regions = (0..DOMAINS).map(|domain_index| (domain(domain_index), "region".to_owned()));
    let view = MembershipView::new(&InstanceIdentity {
        domain: domain(index),
        regions: regions.collect(),
        capacity: Some(capacity(index)),
        ..identity(instance(index).as_str())
    });
    view.set_contacts(entries.to_vec());
    view
}

/// Otherwise each instance of a fleet that starts at once reads the store and sends heartbeats to
/// its whole failure domain: calls grow with the fleet, datagrams with its square.
#[test]
fn a_starting_fleet_has_few_readers_and_hubs_before_the_first_heartbeat() {
    for count in [30, 300, 990] {
        let entries = entries(count);
        let (mut fleet_readers, mut readers, mut hubs, mut heartbeats) = (0, 0, 0, 0);

        for index in 0..count {
            let view = starting(index, &entries);
            fleet_readers += usize::from(view.is_fleet_reader());
            readers += usize::from(view.is_reader());
            hubs += usize::from(view.is_hub());
            heartbeats += view.domain_receivers().len();
        }

        assert_eq!((fleet_readers, readers, hubs), (1, DOMAINS, 3 * DOMAINS), "{count}");
        assert!(heartbeats <= 6 * count, "{count} instances send {heartbeats} heartbeats");
    }
}

/// The work of a reader grows with its failure domain and with the number of services.
#[test]
fn readers_are_on_the_larger_machines() {
    let entries = entries(300);

    for index in (0..300).filter(|index| capacity(*index) < InstanceCapacity(1000)) {
        assert!(!starting(index, &entries).is_reader(), "{index}");
    }
}

/// A fleet whose former readers do not come back must not wait for them.
#[test]
fn instances_that_stay_silent_are_passed_over() {
    let mut state = MembershipState { contacts: entries(60), ..MembershipState::default() };
    let own = OwnCandidate { instance: instance(59), domain: domain(59), capacity: capacity(59) };
    let now = boot_time();
    state.begin_discovery(now);

    let at_start = state.roles(&own, DOMAINS, now);
    let later = state.roles(&own, DOMAINS, now + Duration::from_secs(2));

    assert!(!at_start.is_fleet_reader);
    assert!(later.is_fleet_reader);
}
