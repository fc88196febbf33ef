//! Telling reads from writes, and what else of a statement's text decides its way.
//!
//! What is not surely a read goes to the primary; a replica's own refusal of a write is the second
//! line of defence.

mod cache;
mod facts;
mod scan;

pub(crate) use cache::FactsCache;
pub use facts::{
    SessionChange, StatementEffect, StatementFacts, StatementsSummary, TransactionStep,
};
pub use scan::classify_text;

#[cfg(test)]
mod tests;
