//! What tests of several modules need.

use crate::border::MemberTarget;
use crate::group::{MemberEntry, MemberState};
use rudder_core::MemberRole;

/// A replica of the service `records` that takes work.
pub(crate) fn member_entry(name: &str) -> MemberEntry {
    MemberEntry {
        target: MemberTarget {
            service: "records".parse().expect("a name"),
            member: name.parse().expect("a name"),
            address: ([127, 0, 0, 1], 1).into(),
        },
        domain: "north".parse().expect("a name"),
        region: "north".to_owned(),
        state: MemberState::Ready,
        role: MemberRole::Replica,
        born: 1,
    }
}
