//! What instances tell each other: who lives, who cannot reach a primary, who has stopped.
//!
//! All of it is a hint but for two things: that an instance has stopped answering for a primary,
//! and how long ago it knew the record to be in place.

mod entries;
mod exchange;
mod fleet_copy;
mod membership;
mod message;
mod questions;
mod readers;

pub(crate) use entries::{EntryLedger, EntryVerdict, LISTED_LIFE};
pub(crate) use exchange::PeerExchange;
pub(crate) use fleet_copy::{CopyVersion, FleetCopy, fetch_copy, serve_copies};
pub(crate) use membership::{MembershipView, PeerEntry};
pub(crate) use message::{
    PeerHeartbeat, PeerMessage, PrimaryDoubt, RecordCopy, RecordsAnswer, SampleCopy, StopNotice,
};

#[cfg(test)]
mod tests;
