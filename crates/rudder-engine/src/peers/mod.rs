//! Communication between instances: heartbeats, suspicions of primaries, stop notices and copies of
//! the store's state.
//!
//! All of it is advisory, with two exceptions that safety depends on: that an instance has stopped
//! responding for a primary, and when it knew the record to be in place.

mod authority;
mod digest;
mod entries;
mod exchange;
mod fleet_copy;
mod list_change;
mod membership;
mod membership_state;
mod message;
mod offset;
mod readers;
mod relay;
mod requests;
mod subscribers;

pub(crate) use authority::{AuthorityNotice, AuthorityTrailer};
pub(crate) use digest::RecordsDigest;
pub(crate) use entries::{EntryDecision, EntryLedger, LISTING_VALIDITY};
pub(crate) use exchange::{PeerExchange, ReceivedDatagram};
pub(crate) use fleet_copy::{
    CopyRequest, CopyVersion, EntriesCopy, FleetCopy, MembersCopy, PendingCopy, fetch_copy,
    respond_with_copy, serve_copies,
};
pub(crate) use list_change::{CopiedList, ListDigest, ListHistory};
pub(crate) use membership::MembershipView;
pub(crate) use membership_state::{LimitOwner, PeerEntry};
pub(crate) use message::{
    ClaimOutcome, ClaimResponse, OperationClaim, PeerHeartbeat, PeerMessage, PrimarySuspicion,
    RecordCopy, RecordTiming, RecordsRequest, RecordsResponse, SampleCopy, StopNotice,
};
pub(crate) use offset::RequestOffset;
pub(crate) use relay::{EVIDENCE_ID, RelayProbe, RelayedProbe};
pub(crate) use subscribers::RecordsSubscriber;

#[cfg(test)]
mod tests;
