//! Order of members for the reads of one failure domain while its own member lags or is full.

use rudder_decisions::{PlaceDistance, ReadRank};

/// Returns the rank of a member without faults at a distance.
fn rank_at(distance: PlaceDistance) -> ReadRank {
    ReadRank {
        unreachable: false,
        lagging: false,
        recently_failed: false,
        no_free_connection: false,
        in_other_region: false,
        in_flight: 0,
        distance,
    }
}

/// Returns the index of the member that is tried first.
fn first_choice(members: &[ReadRank]) -> usize {
    let least = members.iter().enumerate().min_by_key(|(_, rank)| **rank);
    least.expect("there are members").0
}

#[test]
fn reads_leave_a_domain_only_while_its_member_lags() {
    // If reads of a domain always went to its own replica first, each would be sent twice while
    // that replica lags, which doubles the work when capacity is lowest.
    let far = rank_at(PlaceDistance::Elsewhere);
    let near = rank_at(PlaceDistance::SameDomain);
    let lagging = ReadRank { lagging: true, ..near };

    let without_lag = first_choice(&[near, far]);
    let with_lag = first_choice(&[lagging, far]);

    assert_eq!((without_lag, with_lag), (0, 1));
}

#[test]
fn ranks_are_ordered_by_availability_before_distance() {
    let near = rank_at(PlaceDistance::SameDomain);
    let in_order = [
        near,
        rank_at(PlaceDistance::SameRegion),
        rank_at(PlaceDistance::Elsewhere),
        ReadRank { no_free_connection: true, ..near },
        ReadRank { recently_failed: true, ..near },
        ReadRank { lagging: true, ..near },
        ReadRank { unreachable: true, ..near },
    ];

    assert!(in_order.is_sorted());
}

#[test]
fn reads_leave_a_busy_primary_for_a_member_of_the_same_region() {
    // Otherwise the reads of a domain fill the slots of its primary while a replica next door is
    // idle, and writes wait.
    let busy = ReadRank { in_flight: 1, ..rank_at(PlaceDistance::SameDomain) };
    let idle = rank_at(PlaceDistance::SameRegion);

    assert_eq!(first_choice(&[busy, idle]), 1);
}

#[test]
fn statements_in_flight_send_no_read_to_another_region() {
    // A round trip to another region takes longer than the wait for a slot.
    let busy = ReadRank { in_flight: 2, ..rank_at(PlaceDistance::SameDomain) };
    let idle = ReadRank { in_other_region: true, ..rank_at(PlaceDistance::Elsewhere) };

    assert_eq!(first_choice(&[busy, idle]), 0);
}
