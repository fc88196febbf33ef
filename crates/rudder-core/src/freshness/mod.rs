//! Upper bounds on the age of a member's data, computed without comparing clocks, and the decision
//! whether a read may be served.

mod ledger;
mod read;
mod sample;

pub use ledger::AgeLedger;
pub use read::{ReadDecision, ReadRequirement, decide_read};
pub use sample::{FreshSample, TimedReport, confirm_sample};
