//! Reads of one failure domain while the member beside them trails or fills up.

use rudder_decisions::{PlaceDistance, ReadStanding};

/// A member that is sound, at a distance.
fn sound(distance: PlaceDistance) -> ReadStanding {
    ReadStanding { unreachable: false, behind: false, doubtful: false, full: false, distance }
}

/// The member, by its place in the list, that is tried first.
fn first(members: &[ReadStanding]) -> usize {
    let least = members.iter().enumerate().min_by_key(|(_, standing)| **standing);
    least.expect("there are members").0
}

#[test]
fn reads_leave_a_domain_only_while_its_member_cannot_serve_them() {
    // A replica trails for six seconds. Every read of its domain is sent there first, is told that
    // the log lacks the position, and is sent again: twice the work when there is least room.
    let far = sound(PlaceDistance::Elsewhere);
    let near = sound(PlaceDistance::SameDomain);
    let trailing = ReadStanding { behind: true, ..near };

    let while_sound = first(&[near, far]);
    let while_trailing = first(&[trailing, far]);

    assert_eq!((while_sound, while_trailing), (0, 1));
}

#[test]
fn what_is_certain_goes_before_what_is_likely() {
    let near = sound(PlaceDistance::SameDomain);
    let in_order = [
        near,
        sound(PlaceDistance::SameRegion),
        sound(PlaceDistance::Elsewhere),
        ReadStanding { full: true, ..near },
        ReadStanding { doubtful: true, ..near },
        ReadStanding { behind: true, ..near },
        ReadStanding { unreachable: true, ..near },
    ];

    assert!(in_order.is_sorted());
}
