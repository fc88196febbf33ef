//! One instance's whole conversation with its peers, without sockets or a clock: membership, hints
//! and budget put together.

mod budget;
mod compose;
mod state;

pub(crate) use budget::BudgetSettings;
pub use budget::TrafficCount;
pub(crate) use state::{NodeOutput, PeerNode};
