//! Stand-ins for what surrounds the proxy, for tests, examples and measurements.

mod group;
mod platform;

pub use group::{
    GroupError, GroupSettings, GroupStandin, MemberKnob, MemberSettings, ServiceSpread,
};
pub use platform::{CallCounts, PlatformFaults, PlatformOutage, PlatformStandin, StandinInstance};
