//! What instances tell each other: who lives, who cannot reach a primary, who has stopped.
//!
//! All of it is a hint but for two things: that an instance has stopped answering for a primary,
//! and how long ago it knew the record to be in place.

mod board;
mod exchange;
mod message;
mod readers;
mod settings_copy;

pub(crate) use board::{PeerBoard, PeerSeat};
pub(crate) use exchange::PeerExchange;
pub(crate) use message::{GroupPulse, PeerMessage, PeerPulse, RecordCopy, SampleCopy, StopWord};
pub(crate) use settings_copy::{fetch_settings, serve_settings};

#[cfg(test)]
mod tests;
