//! One instance's whole conversation with its peers, without sockets or a clock: membership, hints
//! and budget put together.

mod budget;
mod compose;
mod digest;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use budget::BudgetSettings;
pub use budget::TrafficCount;
pub(crate) use state::{FetchKind, NodeOutput, PeerNode};
