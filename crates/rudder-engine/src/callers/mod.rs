//! Connections of callers to this instance: their number, their memory, and which of them are
//! closed when either is used up.

mod connections;
mod memory;

pub use connections::{CallerConnection, CallerConnections};
pub(crate) use memory::{CallerMemory, report_usage};
