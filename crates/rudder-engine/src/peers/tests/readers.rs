//! Choice of the readers.

use crate::peers::readers::{ReaderCandidate, choose_domain_hubs, choose_readers, fleet_reader};
use rudder_decisions::InstanceCapacity;

/// Instances named `DOMAIN-NUMBER`.
fn entries(names: &[&str]) -> Vec<ReaderCandidate> {
    let entry = |name: &&str| ReaderCandidate {
        instance: name.parse().expect("a name"),
        domain: name.split('-').next().expect("a domain").parse().expect("a name"),
        address: None,
        store_unreachable: false,
        capacity: InstanceCapacity::default(),
    };
    names.iter().map(entry).collect()
}

fn chosen(names: &[&str], domains: usize) -> Vec<String> {
    let chosen = choose_readers(entries(names), domains);
    chosen.into_iter().map(|entry| entry.instance.to_string()).collect()
}

const FLEET: [&str; 9] = ["n-1", "n-2", "n-3", "s-1", "s-2", "s-3", "w-1", "w-2", "w-3"];

#[test]
fn each_domain_has_one_reader() {
    let readers = chosen(&FLEET, 3);

    let domains: Vec<&str> = readers.iter().filter_map(|name| name.split('-').next()).collect();
    assert_eq!(domains, ["n", "s", "w"]);
}

#[test]
fn an_instance_that_sees_only_its_own_domain_makes_the_same_choice() {
    // Followers receive heartbeats only from their own domain. If they assumed that it is the only
    // one, two more of them would read the store, and the fleet's calls to it would double.
    let whole = chosen(&FLEET, 3);

    let own = chosen(&FLEET[..3], 3);

    assert_eq!(own, whole[..1]);
}

#[test]
fn fewer_domains_have_more_readers_each() {
    // With a single reader, its cut link alone would decide that a primary is unreachable.
    assert_eq!(chosen(&FLEET[..3], 1).len(), 3);
    assert_eq!(chosen(&FLEET[..6], 2).len(), 4);
}

#[test]
fn the_choice_does_not_depend_on_the_order_of_candidates() {
    let mut reversed = FLEET;
    reversed.reverse();

    assert_eq!(chosen(&reversed, 3), chosen(&FLEET, 3));
}

#[test]
fn all_instances_choose_the_same_fleet_reader() {
    let readers = choose_readers(entries(&FLEET), 3);
    let first = fleet_reader(&readers).expect("a reader");

    let mut reversed = readers.clone();
    reversed.reverse();

    assert_eq!(fleet_reader(&reversed), Some(first));
    assert!(readers.contains(first));
}

/// The fleet must receive the store's state although the store does not respond to one instance.
#[test]
fn a_reader_without_the_store_is_not_the_fleet_reader() {
    let mut readers = choose_readers(entries(&FLEET), 3);
    let first = fleet_reader(&readers).expect("a reader").instance.clone();
    for reader in readers.iter_mut().filter(|reader| reader.instance == first) {
        reader.store_unreachable = true;
    }

    let next = fleet_reader(&readers).expect("a reader");

    assert_ne!(next.instance, first);
}

/// During a store outage, one instance must keep polling to detect its end.
#[test]
fn a_fleet_reader_exists_while_the_store_responds_to_none() {
    let mut readers = choose_readers(entries(&FLEET), 3);
    readers.iter_mut().for_each(|reader| reader.store_unreachable = true);

    assert!(fleet_reader(&readers).is_some());
}

/// Heartbeats must not fill the links of a large failure domain.
#[test]
fn a_large_domain_has_three_hubs() {
    let names: Vec<String> = (0..80).map(|number| format!("n-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let domain = "n".parse().expect("a name");

    let hubs = choose_domain_hubs(entries(&names), &domain);
    let reader = choose_readers(entries(&names), 6);

    assert_eq!(hubs.len(), 3);
    assert_eq!(hubs[0].instance, reader[0].instance);
}

/// Followers must choose the reader that sends heartbeats to them.
#[test]
fn an_instance_that_sees_only_the_hubs_makes_the_same_choice() {
    let names: Vec<String> = (0..80).map(|number| format!("n-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let domain = "n".parse().expect("a name");
    let hubs = choose_domain_hubs(entries(&names), &domain);
    let mut received = hubs.clone();
    received.extend(entries(&["n-80"]));

    assert_eq!(choose_domain_hubs(received, &domain)[0], hubs[0]);
}
