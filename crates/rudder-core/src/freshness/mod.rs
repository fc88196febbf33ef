//! Upper bounds on the age of a member's data, computed without comparing clocks, and the decision
//! whether a read may be served.

mod read;
mod sample;
mod samples;

pub use read::{ReadDecision, ReadRequirement, decide_read};
pub use sample::{FreshSample, TimedReport, confirm_sample};
pub use samples::FreshnessSamples;
