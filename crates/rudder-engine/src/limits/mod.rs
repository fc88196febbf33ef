//! Operation limits of client accounts. Each operation is claimed at the owner of its account: the
//! instance that counts the account's operations on all instances
//! (`rudder_decisions::LimitLedger`).

mod authority;
mod claim;
mod owner;
mod probe;
mod state;

pub(crate) use claim::ClaimError;
pub(crate) use owner::respond_to_claim;
pub(crate) use probe::probe_owners;
pub(crate) use state::AccountLimits;

#[cfg(test)]
mod tests;
