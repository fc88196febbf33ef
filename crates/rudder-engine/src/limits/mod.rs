//! Operation limits of client accounts. Each operation is claimed at the instance that counts for
//! its account.

mod claim;
mod owner;
mod state;

pub(crate) use claim::ClaimError;
pub(crate) use owner::respond_to_claim;
pub(crate) use state::AccountLimits;

#[cfg(test)]
mod tests;
