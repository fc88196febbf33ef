//! Consistency checker: compares the results that callers received during a concurrent run with the
//! data that the group stores at its end.
//!
//! Every write adds a value unique to it to a row, so lost, repeated and forbidden effects can be
//! found from the rows alone.

mod check;
mod record;

pub use check::{HistoryFault, check_history};
pub use record::{HistoryLog, ReadRecord, StoredValue, WriteOutcome, WriteRecord};
