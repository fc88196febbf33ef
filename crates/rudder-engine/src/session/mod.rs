//! Caller sessions: session state, consistency floors, transactions, and the execution of
//! statements at members.

mod caller;
mod job;
mod read;
mod single;
mod state;
mod strict;
mod transaction;

pub use caller::CallerSession;
pub(crate) use job::{StatementJob, retry_text_after};
pub(crate) use single::is_strict;
pub(crate) use strict::in_doubt;
pub(crate) use transaction::OpenTransaction;

#[cfg(test)]
mod tests;
