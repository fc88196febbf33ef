//! This instance's standing tasks for each group: asking its members, and keeping it if it is one
//! of the group's keepers.

mod drain;
mod exchange;
mod tasks;

pub(crate) use exchange::VoteExchange;
pub(crate) use tasks::run_duties;
