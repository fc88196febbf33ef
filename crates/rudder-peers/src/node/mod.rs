//! Communication of one instance with its peers, without sockets or a clock: combines membership,
//! hints and budget.

mod budget;
mod compose;
mod digest;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use budget::BudgetSettings;
pub use budget::TrafficCount;
pub(crate) use state::{FetchKind, NodeOutput, PeerNode};
