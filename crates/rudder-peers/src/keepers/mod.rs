//! Who watches which group, and which instances hold connections to which members: pure functions
//! of the live instances, so that all instances that see the same ones agree without a word.

mod ranking;
mod share;
#[cfg(test)]
mod tests;
mod watch;

pub use share::{ConnectionShare, HolderRule};
pub use watch::{DutyMap, KEEPER_COUNT, forward_order, holders_of, keepers_of};
