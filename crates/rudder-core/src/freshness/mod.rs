//! How old a member's answer can be, without comparing clocks, and whether a read may be served.

mod ledger;
mod read;
mod sample;

pub use ledger::AgeLedger;
pub use read::{ReadNeed, ReadVerdict, judge_read};
pub use sample::{FreshSample, TimedReport, confirm_sample};
