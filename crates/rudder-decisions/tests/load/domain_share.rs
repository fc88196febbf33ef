//! Shares of a member's connections: all instances of a deployment work theirs out at once.

use rudder_decisions::{DomainShare, DomainShareInput, SeatPlace};

fn place(domain: &str) -> SeatPlace {
    let region = domain.trim_end_matches(|c: char| c.is_ascii_digit());
    SeatPlace { domain: domain.parse().expect("a name"), region: region.to_owned() }
}

/// The limits of all instances, given by their domains.
fn limits(connections_max: u32, member: &str, is_primary: bool, domains: &[&str]) -> Vec<u32> {
    let all: Vec<SeatPlace> = domains.iter().map(|domain| place(domain)).collect();
    let share = |own: &SeatPlace| {
        let (member, own) = (place(member), own.clone());
        DomainShare::of(&DomainShareInput { connections_max, member, own, all: &all, is_primary })
            .limit
    };
    all.iter().map(share).collect()
}

#[test]
fn the_shares_stay_within_what_a_member_takes() {
    // Over its cap a member closes connections, and each caller that tries again costs another
    // one its place: thirty thousand closed connections in half a minute.
    let domains = ["n1", "n1", "n1", "s1", "s1", "w1", "w1"];
    for connections_max in 20..80 {
        for is_primary in [false, true] {
            let sum: u32 = limits(connections_max, "n1", is_primary, &domains).iter().sum();
            assert!(sum <= connections_max, "{sum} of {connections_max}");
        }
    }
}

#[test]
fn the_only_instance_of_a_domain_has_its_whole_part() {
    // A domain's callers all come to its one instance, as many as to three elsewhere. With equal
    // shares it refused a third of them while the others had connections to spare.
    let limits = limits(38, "n1", true, &["n1", "n1", "n1", "s1", "w1", "w1"]);

    assert_eq!(limits, [4, 4, 4, 9, 4, 4]);
}

#[test]
fn most_of_a_replicas_connections_are_beside_it() {
    let limits = limits(33, "s1", false, &["n1", "n1", "n1", "s1", "s1", "w1", "w1"]);

    assert_eq!(limits, [1, 1, 1, 8, 8, 2, 2]);
}

#[test]
fn with_more_instances_than_connections_each_may_hold_one_while_it_needs_it() {
    let domains: Vec<String> = (0..70).map(|number| format!("n{}", number % 6)).collect();
    let all: Vec<SeatPlace> = domains.iter().map(|domain| place(domain)).collect();
    let own = place("n3");

    let share = DomainShare::of(&DomainShareInput {
        connections_max: 30,
        member: place("n0"),
        own,
        all: &all,
        is_primary: true,
    });

    assert_eq!((share.limit, share.scarce), (1, true));
}
