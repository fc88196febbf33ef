//! Small stand-ins for what surrounds the proxy, for tests, examples and measurements.

mod group;

pub use group::{
    GroupError, GroupSettings, GroupStandin, MemberKnob, MemberSettings, ServiceSpread,
};
