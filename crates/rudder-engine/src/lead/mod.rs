//! Who leads a service, and who may still answer for it. Pure: time is passed in.

mod book;
mod history;
mod lapse;
mod record;
mod suspicion;

pub(crate) use book::{LeadBook, LeadPermit, QUORUM_REACH};
pub(crate) use history::PositionHistory;
pub(crate) use lapse::{StopProgress, is_quorum};
pub use record::{LeadPhase, LeadRecord, LeaderEpoch};
pub(crate) use suspicion::{ChangeCause, GroupSigns, PeerVote, judge_change, order_candidates};

#[cfg(test)]
mod tests;
