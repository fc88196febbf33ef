//! Caller sessions: session state, consistency floors, transactions, and the execution of
//! statements at members.

mod caller;
mod job;
mod read;
mod state;
mod strict;
mod transaction;

pub use caller::CallerSession;

#[cfg(test)]
mod tests;
