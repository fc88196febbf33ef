//! Checks what callers saw in a concurrent run against what the group holds at its end.
//!
//! Every write adds one value of its own to a row, so that a lost, doubled or forbidden effect
//! shows in the rows alone.

mod check;
mod record;

pub use check::{HistoryFault, check_history};
pub use record::{HistoryLog, ReadRecord, StoredValue, WriteOutcome, WriteRecord};
