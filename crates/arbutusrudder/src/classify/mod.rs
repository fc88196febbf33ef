//! Classifies statements by their text: read or write, and other properties that affect routing.
//!
//! A statement that is not provably a read goes to the primary. A write that is misclassified as a
//! read is still rejected by the replica.

mod cache;
mod estimate;
mod facts;
mod scan;

pub(crate) use cache::SummaryCache;
pub(crate) use estimate::classification_size;
pub use facts::{
    SessionChange, StatementEffect, StatementFacts, StatementsSummary, TransactionStep,
};
pub use scan::classify_text;

#[cfg(test)]
mod tests;
