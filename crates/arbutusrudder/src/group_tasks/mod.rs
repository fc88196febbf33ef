//! This instance's long-running tasks for each group: probing its members, and running a keeper if
//! the instance is one of the group's keepers.

mod drain;
mod exchange;
mod tasks;

pub(crate) use exchange::VoteExchange;
pub(crate) use tasks::run_group_tasks;
