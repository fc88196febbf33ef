//! Order of members for the reads of one failure domain while its own member lags or is full.

use rudder_decisions::{PlaceDistance, ReadStanding};

/// Returns the standing of a member without faults at a distance.
fn standing_at(distance: PlaceDistance) -> ReadStanding {
    ReadStanding { unreachable: false, behind: false, doubtful: false, full: false, distance }
}

/// Returns the index of the member that is tried first.
fn first_choice(members: &[ReadStanding]) -> usize {
    let least = members.iter().enumerate().min_by_key(|(_, standing)| **standing);
    least.expect("there are members").0
}

#[test]
fn reads_leave_a_domain_only_while_its_member_lags() {
    // If reads of a domain always went to its own replica first, each would be sent twice while
    // that replica lags, which doubles the work when capacity is lowest.
    let far = standing_at(PlaceDistance::Elsewhere);
    let near = standing_at(PlaceDistance::SameDomain);
    let lagging = ReadStanding { behind: true, ..near };

    let without_lag = first_choice(&[near, far]);
    let with_lag = first_choice(&[lagging, far]);

    assert_eq!((without_lag, with_lag), (0, 1));
}

#[test]
fn standings_are_ordered_by_availability_before_distance() {
    let near = standing_at(PlaceDistance::SameDomain);
    let in_order = [
        near,
        standing_at(PlaceDistance::SameRegion),
        standing_at(PlaceDistance::Elsewhere),
        ReadStanding { full: true, ..near },
        ReadStanding { doubtful: true, ..near },
        ReadStanding { behind: true, ..near },
        ReadStanding { unreachable: true, ..near },
    ];

    assert!(in_order.is_sorted());
}
