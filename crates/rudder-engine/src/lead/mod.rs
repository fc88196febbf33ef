//! Leases, change detection and promotion timing for the primary of a service.
//!
//! All functions are pure; the current time is passed in.

mod commit_evidence;
mod expiry;
mod history;
mod lease_table;
mod record;
mod stored_record;
mod suspicion;

pub(crate) use commit_evidence::{CommitEvidence, CommitHolder, DepartedReplica};
pub(crate) use expiry::{StopProgress, is_quorum};
pub(crate) use history::PositionHistory;
pub(crate) use lease_table::{LeaderLease, LeaseTable, QUORUM_REACH};
pub use record::{LeadPhase, LeadRecord, LeaderEpoch, MemberOrder};
pub(crate) use stored_record::{LeadHistory, StoredRecord};
pub(crate) use suspicion::{ChangeCause, PeerVote, PrimaryHealth, decide_change, order_candidates};

#[cfg(test)]
mod tests;
