//! Simulated surroundings of the proxy for tests, examples and measurements: database groups,
//! platform APIs and network links, with faults on request.

mod deployment;
mod group;
mod lines;
mod link;
mod objects;
mod platform;
mod process_memory;
mod trial;

pub use deployment::{Deployment, DeploymentError, DeploymentPlan, LinkDelays, ProxyLinks};
pub use group::{
    GroupError, GroupSettings, GroupStandin, MemberKnob, MemberSettings, ServiceDistribution,
};
pub use lines::{
    BOOT_VARIABLE, LineAccount, LineClient, LineCommit, LineConsistency, LineDatabase, LineEntry,
    LineFleet, LineGroup, LineMember, LineReply, LineSlot, LineStatement,
};
pub use link::{DatagramLinkStandin, LinkDirection, LinkFault, LinkSettings, LinkStandin};
pub use objects::{ObjectsCall, ObjectsFault, ObjectsStandin, PromotionRequest, PromotionSink};
pub use platform::{CallCounts, PlatformFaults, PlatformOutage, PlatformStandin, StandinInstance};
pub use process_memory::ProcessMemory;
pub use trial::{FaultKind, TimedFault, TrialReport, TrialSchedule, run_trial};
