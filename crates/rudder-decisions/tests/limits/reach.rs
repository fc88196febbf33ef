//! Reach of an instance as worked out from heartbeats and from the reports of hubs.

use rudder_core::DomainName;
use rudder_decisions::{DomainCount, FleetReach, OperationLimit, ReachBoard, ReachReport};
use std::time::Duration;

fn domain(name: &str) -> DomainName {
    name.parse().expect("a name")
}

fn count(name: &str, count: usize) -> DomainCount {
    DomainCount { domain: domain(name), count }
}

fn listed() -> [DomainCount; 3] {
    [count("east", 4), count("north", 4), count("south", 4)]
}

fn report(reporter: &str, own: DomainCount, others: Vec<DomainCount>) -> ReachReport {
    ReachReport { reporter: reporter.parse().expect("a name"), own, others }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reached(board: &ReachBoard, own_count: Option<usize>, now: Duration) -> usize {
    board.reach(own_count, &listed(), now).reached
}

/// An owner could keep the whole limit although a domain was cut off.
#[test]
fn a_domain_whose_reports_end_is_not_reached() {
    let mut board = ReachBoard::new(domain("north"));
    board.record(report("e-1", count("east", 4), Vec::new()), ms(0));
    board.record(report("s-1", count("south", 4), Vec::new()), ms(0));
    board.record(report("s-1", count("south", 3), Vec::new()), ms(1000));

    assert_eq!(reached(&board, Some(4), ms(1000)), 11);
    assert_eq!(reached(&board, Some(4), ms(1500)), 7);
    assert_eq!(reached(&board, Some(2), ms(2400)), 2);
}

/// During a rolling upgrade the limits would be cut down to the part that is upgraded.
#[test]
fn domains_that_have_never_reported_count_in_full() {
    let mut board = ReachBoard::new(domain("north"));
    let alone = reached(&board, None, ms(0));
    board.record(report("e-1", count("east", 2), Vec::new()), ms(0));

    assert_eq!(alone, 12);
    assert_eq!(reached(&board, Some(4), ms(100)), 10);
}

/// An instance that is no hub receives no heartbeats of other domains and would take them for lost.
#[test]
fn an_instance_that_is_no_hub_goes_by_its_hubs() {
    let mut board = ReachBoard::new(domain("north"));
    let others = vec![count("east", 4), count("south", 1)];
    board.record(report("n-1", count("north", 4), others.clone()), ms(0));
    board.record(report("n-2", count("north", 3), others), ms(500));

    assert_eq!(reached(&board, None, ms(600)), 9);
    assert_eq!(reached(&board, None, ms(1500)), 8);
    assert_eq!(reached(&board, None, ms(1900)), 1, "it may be cut off from all");
}

/// A hub that was none before the cut has received no reports of other domains and could take them
/// for domains that never report.
#[test]
fn a_new_hub_knows_from_its_hubs_which_domains_report() {
    let mut board = ReachBoard::new(domain("north"));
    let others = vec![count("east", 4), count("south", 4)];
    board.record(report("n-1", count("north", 4), others), ms(0));

    assert_eq!(reached(&board, Some(2), ms(1500)), 2);
}

/// Two hubs of a domain on both sides of a cut could be added up.
#[test]
fn reports_of_one_domain_are_not_added_up() {
    let mut board = ReachBoard::new(domain("north"));
    board.record(report("e-1", count("east", 2), Vec::new()), ms(0));
    board.record(report("e-2", count("east", 3), Vec::new()), ms(0));

    let others = board.other_counts(ms(100));

    assert_eq!(others, [count("east", 3)]);
    assert_eq!(reached(&board, Some(4), ms(100)), 11);
}

/// Reports with absurd counts could raise the reach above the listed instances, and reports of
/// unbounded many reporters could fill the memory.
#[test]
fn counts_and_reporters_are_bounded() {
    let mut board = ReachBoard::new(domain("north"));
    let accepted = (0..200)
        .filter(|number| {
            let reporter = format!("e-{number}");
            board.record(report(&reporter, count("east", usize::MAX), Vec::new()), ms(0))
        })
        .count();

    assert_eq!(accepted, 64);
    assert_eq!(board.reach(Some(usize::MAX), &listed(), ms(1)).reached, 12);
    let later = report("e-new", count("east", 4), Vec::new());
    assert!(board.record(later, ms(1400)), "reports that have ended make room");
}

/// Parts of disjoint sets could add up to more than the limit and its permitted excess.
#[test]
fn the_parts_of_two_sets_stay_within_the_permitted_excess() {
    let limit = OperationLimit { milli_per_second: 374_000, burst: 374 };
    for listed in 1..200 {
        for reached in 0..=listed {
            let one = FleetReach { reached, listed }.part_of(limit);
            let other = FleetReach { reached: listed - reached, listed }.part_of(limit);

            let rate = one.milli_per_second + other.milli_per_second;
            assert!(rate <= limit.milli_per_second * 105 / 100, "{reached} of {listed}");
        }
    }
    assert_eq!(FleetReach { reached: 0, listed: 0 }.permille(), 0);
}
