//! Operation limits of client accounts. Each operation is claimed at the owner of its account: the
//! instance that counts the account's operations on all instances
//! (`rudder_decisions::LimitLedger`).

mod claim;
mod owner;
mod probe;
mod queue;
mod reach;
mod state;
mod tally;

pub(crate) use claim::{ClaimError, ClaimGrant, RefusedOperation};
pub(crate) use owner::respond_to_claim;
pub(crate) use probe::probe_owners;
pub(crate) use queue::{respond_to_queue_claim, serve_queues};
pub(crate) use reach::report_reach;
pub(crate) use state::AccountLimits;

#[cfg(test)]
mod tests;
