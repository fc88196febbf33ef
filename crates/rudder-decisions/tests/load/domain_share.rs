//! Shares of a member's connections: all instances of a deployment work theirs out at once.

use rudder_decisions::{DomainShare, DomainShareInput, SeatPlace, ShareHolder};

/// Connections that no share holds.
const RESERVE: u32 = 4;

fn place(domain: &str) -> SeatPlace {
    let region = domain.trim_end_matches(|c: char| c.is_ascii_digit());
    SeatPlace { domain: domain.parse().expect("a name"), region: region.to_owned() }
}

fn holders(domains: &[&str]) -> Vec<ShareHolder> {
    let holder = |(number, domain): (usize, &&str)| ShareHolder {
        instance: format!("entry-{number:02}").parse().expect("a name"),
        place: place(domain),
    };
    domains.iter().enumerate().map(holder).collect()
}

fn shares(
    connections_max: u32,
    member: &str,
    is_primary: bool,
    domains: &[&str],
) -> Vec<DomainShare> {
    let all = holders(domains);
    let share = |own: &ShareHolder| {
        DomainShare::of(&DomainShareInput {
            connections_max,
            member: &"db-1".parse().expect("a name"),
            place: &place(member),
            own: &own.instance,
            all: &all,
            is_primary,
        })
    };
    all.iter().map(share).collect()
}

/// The limits of all instances, given by their domains.
fn limits(connections_max: u32, member: &str, is_primary: bool, domains: &[&str]) -> Vec<u32> {
    shares(connections_max, member, is_primary, domains).iter().map(|share| share.limit).collect()
}

#[test]
fn the_shares_are_all_that_a_member_takes_and_no_more() {
    // Over its cap a member closes connections, and each caller that tries again costs another
    // one its place: thirty thousand closed connections in half a minute. Under it, callers are
    // refused at one instance although the member would take their connections: rounding each
    // share down left 7 of 18 to nobody.
    let domains = ["n1", "n1", "n1", "n1", "s1", "s1", "w1", "w1", "w1"];
    for connections_max in 13..80 {
        for is_primary in [false, true] {
            let sum: u32 = limits(connections_max, "n1", is_primary, &domains).iter().sum();
            assert_eq!(sum, connections_max - RESERVE, "of {connections_max}");
        }
    }
}

#[test]
fn equal_instances_differ_by_one_connection_at_most() {
    // Two instances of a domain, of which one refuses callers while the other has three more
    // connections than it needs.
    let domains = ["n1", "n1", "n1", "n1", "s1", "s1", "w1", "w1", "w1"];
    for connections_max in 13..80 {
        let limits = limits(connections_max, "s1", false, &domains);
        for domain in [&limits[..4], &limits[4..6], &limits[6..]] {
            let (least, most) = (domain.iter().min(), domain.iter().max());
            assert!(most <= least.map(|least| least + 1).as_ref(), "{limits:?}");
        }
    }
}

#[test]
fn the_only_instance_of_a_domain_has_its_whole_part() {
    // A domain's callers all come to its one instance, as many as to three elsewhere. With equal
    // shares it refused a third of them while the others had connections to spare.
    let limits = limits(38, "n1", true, &["n1", "n1", "n1", "s1", "w1", "w1"]);

    assert_eq!(limits, [5, 5, 5, 9, 5, 5]);
}

#[test]
fn most_of_a_replicas_connections_are_beside_it() {
    let limits = limits(33, "s1", false, &["n1", "n1", "n1", "s1", "s1", "w1", "w1"]);

    assert_eq!(limits, [2, 2, 3, 8, 8, 3, 3]);
}

#[test]
fn with_more_instances_than_connections_each_may_hold_one_while_it_needs_it() {
    let domains: Vec<String> = (0..70).map(|number| format!("n{}", number % 6)).collect();
    let domains: Vec<&str> = domains.iter().map(String::as_str).collect();

    let shares = shares(30, "n0", true, &domains);

    let one = DomainShare { limit: 1, scarce: true };
    assert!(shares.iter().all(|share| *share == one));
}

#[test]
fn an_instance_that_is_in_no_list_may_hold_one() {
    let all = holders(&["n1", "s1"]);

    let share = DomainShare::of(&DomainShareInput {
        connections_max: 30,
        member: &"db-1".parse().expect("a name"),
        place: &place("n1"),
        own: &"newcomer".parse().expect("a name"),
        all: &all,
        is_primary: false,
    });

    assert_eq!(share, DomainShare { limit: 1, scarce: false });
}
