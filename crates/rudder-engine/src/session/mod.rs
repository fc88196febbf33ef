//! Callers' sessions: what each must see, its transaction, and its statements' way to a member.

mod caller;
mod job;
mod read;
mod state;
mod strict;
mod transaction;

pub use caller::CallerSession;

#[cfg(test)]
mod tests;
