//! Assignment of groups to instances: the keepers, which monitor a group, and the holders, which
//! hold connections to its members. The assignment is a pure function of the instance list, so that
//! all instances with the same list agree without communication.

mod ranking;
mod selection;
mod share;
#[cfg(test)]
mod tests;

pub use selection::{DutyMap, KEEPER_COUNT, forwarding_order, holders_of, keepers_of};
pub use share::{ConnectionShare, HolderRule};
