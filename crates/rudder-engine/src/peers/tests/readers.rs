//! Who reads the store for all.

use crate::peers::readers::{ReaderCandidate, choose_readers};

/// Instances named `DOMAIN-NUMBER`.
fn entries(names: &[&str]) -> Vec<ReaderCandidate> {
    let entry = |name: &&str| ReaderCandidate {
        instance: name.parse().expect("a name"),
        domain: name.split('-').next().expect("a domain").parse().expect("a name"),
        address: None,
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
fn an_instance_that_hears_its_own_domain_only_makes_the_same_choice() {
    // Followers hear from no other domain. Taking their own for the only one, two more of them
    // read the store, and the fleet's calls to it double.
    let whole = chosen(&FLEET, 3);

    let own = chosen(&FLEET[..3], 3);

    assert_eq!(own, whole[..1]);
}

#[test]
fn few_domains_have_more_readers_each() {
    // With one reader in all, its own cut link would be the word of everybody.
    assert_eq!(chosen(&FLEET[..3], 1).len(), 3);
    assert_eq!(chosen(&FLEET[..6], 2).len(), 4);
}

#[test]
fn the_order_in_which_instances_are_heard_does_not_matter() {
    let mut turned = FLEET;
    turned.reverse();

    assert_eq!(chosen(&turned, 3), chosen(&FLEET, 3));
}
