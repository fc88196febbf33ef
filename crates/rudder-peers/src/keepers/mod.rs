//! Who watches which group, and which instances hold connections to which members: pure functions
//! of the live instances, so that all instances that see the same ones agree without a word.

mod ranking;
mod selection;
mod share;
#[cfg(test)]
mod tests;

pub use selection::{DutyMap, KEEPER_COUNT, forwarding_order, holders_of, keepers_of};
pub use share::{ConnectionShare, HolderRule};
