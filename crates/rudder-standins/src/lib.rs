//! Small stand-ins for what surrounds the proxy, for tests, examples and measurements.

mod group;
mod link;

pub use group::{
    GroupError, GroupSettings, GroupStandin, MemberKnob, MemberSettings, ServiceSpread,
};
pub use link::{DatagramLinkStandin, LinkDirection, LinkFault, LinkSettings, LinkStandin};
