//! An in-memory database group that speaks the users' line protocol, with a client and a
//! deployment.

mod client;
mod fleet;
mod group;
mod session;

pub use client::{LineClient, LineReply};
pub use fleet::{
    BOOT_VARIABLE, LineAccount, LineConsistency, LineDatabase, LineEntry, LineFleet, LineSlot,
};
pub use group::{LineCommit, LineGroup, LineMember, LineStatement};
