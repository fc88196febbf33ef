//! What instances tell each other: who lives, who cannot reach a primary, who has stopped.
//!
//! All of it is a hint but for two things: that an instance has stopped answering for a primary,
//! and how long ago it knew the record to be in place.

mod board;
mod exchange;
mod fleet_copy;
mod message;
mod questions;
mod readers;
mod seats;

pub(crate) use board::{PeerBoard, PeerSeat};
pub(crate) use exchange::PeerExchange;
pub(crate) use fleet_copy::{CopyVersion, FleetCopy, fetch_copy, serve_copies};
pub(crate) use message::{
    PeerHeartbeat, PeerMessage, PrimaryDoubt, RecordCopy, RecordsAnswer, SampleCopy, StopWord,
};
pub(crate) use seats::{LISTED_LIFE, SeatLedger, SeatVerdict};

#[cfg(test)]
mod tests;
