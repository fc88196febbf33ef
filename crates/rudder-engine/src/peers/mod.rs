//! Communication between instances: heartbeats, suspicions of primaries, stop notices and copies of
//! the store's state.
//!
//! All of it is advisory, with two exceptions that safety depends on: that an instance has stopped
//! responding for a primary, and when it knew the record to be in place.

mod digest;
mod entries;
mod exchange;
mod fleet_copy;
mod holder_list;
mod list_change;
mod loan_message;
mod membership;
mod membership_reach;
mod membership_state;
mod message;
mod offset;
mod queue_claim;
mod reach_notice;
mod readers;
mod record_copy;
mod relay;
mod requests;
mod subscribers;

pub(crate) use digest::RecordsDigest;
pub(crate) use entries::{EntryDecision, EntryLedger, LISTING_VALIDITY};
pub(crate) use exchange::PeerExchange;
pub(crate) use fleet_copy::{
    CopyRequest, CopyVersion, EncodedCopy, EntriesCopy, FleetCopy, MembersCopy, PendingCopy,
    fetch_copy, respond_with_copy, serve_copies,
};
pub(crate) use holder_list::{HolderList, KnownVersion, find_entry};
pub(crate) use list_change::{CopiedList, ListDigest, ListHistory};
pub(crate) use loan_message::{
    LoanRecall, LoanRequest, LoanResponse, LoanReturn, LoanTarget, SpareConnections, SpareCount,
};
pub(crate) use membership::MembershipView;
pub(crate) use membership_state::{LimitOwner, PeerEntry};
pub(crate) use message::{
    AcknowledgedNotice, ClaimOutcome, ClaimResponse, OperationClaim, PeerHeartbeat, PeerMessage,
    PrimaryProbe, PrimarySuspicion, RecordCopy, RecordException, RecordSample, RecordTiming,
    RecordsRequest, RecordsSummary, SampleCopy, StopNotice,
};
pub(crate) use offset::RequestOffset;
pub(crate) use queue_claim::{QueueClaim, QueuedClaim, QueuedOutcome, ReturnClaim};
pub(crate) use reach_notice::ReachNotice;
pub(crate) use record_copy::{EncodedRecords, fetch_records};
pub(crate) use relay::{EVIDENCE_ID, RelayProbe, RelayedProbe};
pub(crate) use subscribers::RecordsSubscriber;

#[cfg(test)]
mod tests;
