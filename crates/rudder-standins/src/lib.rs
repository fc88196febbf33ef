//! Stand-ins for what surrounds the proxy, for tests, examples and measurements.

mod deployment;
mod group;
mod link;
mod platform;
mod trial;

pub use deployment::{Deployment, DeploymentError, DeploymentPlan, LinkDelays, ProxyLinks};
pub use group::{
    GroupError, GroupSettings, GroupStandin, MemberKnob, MemberSettings, ServiceSpread,
};
pub use link::{DatagramLinkStandin, LinkDirection, LinkFault, LinkSettings, LinkStandin};
pub use platform::{CallCounts, PlatformFaults, PlatformOutage, PlatformStandin, StandinInstance};
pub use trial::{FaultKind, TimedFault, TrialReport, TrialSchedule, run_trial};
