//! A database group that speaks the users' line protocol, in memory.

mod group;
mod session;

pub use group::{LineCommit, LineGroup, LineMember};
