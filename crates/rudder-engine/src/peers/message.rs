//! Datagrams between instances.

use super::digest::RecordsDigest;
use super::fleet_copy::{CopyRequest, CopyVersion};
use super::list_change::ListDigest;
use super::loan_message::{LoanRecall, LoanRequest, LoanResponse, LoanReturn, SpareConnections};
use super::offset::RequestOffset;
use super::queue_claim::{QueueClaim, QueuedClaim, ReturnClaim};
use super::reach_notice::ReachNotice;
use super::relay::{RelayProbe, RelayedProbe};
use crate::lead::{LeadRecord, LeaderEpoch};
use rudder_core::{AccountName, DomainName, InstanceName, LogStamp, ServiceName, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// Report of an instance that it cannot reach the primary of a service.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PrimarySuspicion {
        pub(crate) service: ServiceName,
        /// Version of the record that names the primary.
        pub(crate) epoch: LeaderEpoch,
    }
}

plain_data! {
    /// Heartbeat that an instance sends to others about once a second.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PeerHeartbeat {
        pub(crate) instance: InstanceName,
        /// Identifier that distinguishes its process from its earlier and later ones.
        pub(crate) process: u64,
        pub(crate) domain: DomainName,
        /// Versions of the settings and members that the sender knows.
        pub(crate) version: CopyVersion,
        /// Whether the store does not respond to the sender.
        pub(crate) store_unreachable: bool,
        /// Whether it is about to stop.
        pub(crate) leaving: bool,
        /// Services whose primary the sender cannot reach.
        pub(crate) suspicions: Vec<PrimarySuspicion>,
    }
}

plain_data! {
    /// Request to probe the primary of a service.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PrimaryProbe {
        pub(crate) service: ServiceName,
        /// Whether a reader has passed the request on to the watchers.
        pub(crate) is_relayed: bool,
    }
}

plain_data! {
    /// New version of a record.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordCopy {
        pub(crate) service: ServiceName,
        pub(crate) record: LeadRecord,
    }
}

plain_data! {
    /// Times at which a record was known to be in place.
    #[derive(Copy, Default, Serialize, Deserialize)]
    pub(crate) struct RecordTiming {
        /// Time at which the store had the record.
        pub(crate) confirmed: Option<RequestOffset>,
        /// Time at which the store, or a majority of instances, knew no later version; never
        /// earlier than `confirmed`.
        pub(crate) valid_from: Option<RequestOffset>,
    }
}

plain_data! {
    /// Timing of one record that differs from that of the others.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct RecordException {
        /// Position of the record in the order of the services.
        pub(crate) index: u32,
        pub(crate) timing: RecordTiming,
    }
}

plain_data! {
    /// Newest known position of the primary in one record.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct RecordSample {
        /// Position of the record in the order of the services.
        pub(crate) index: u32,
        pub(crate) sample: SampleCopy,
    }
}

plain_data! {
    /// Position at which a primary was observed.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct SampleCopy {
        pub(crate) stamp: LogStamp,
        /// Time at which the position was requested.
        pub(crate) sent: Option<RequestOffset>,
    }
}

plain_data! {
    /// Notice that an instance no longer responds under any version of a record before this one.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct StopNotice {
        pub(crate) instance: InstanceName,
        pub(crate) service: ServiceName,
        pub(crate) epoch: LeaderEpoch,
    }
}

plain_data! {
    /// Notice of how far the commits of a primary reach that the sender has acknowledged. It precedes
    /// a [`StopNotice`], and older builds ignore it.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct AcknowledgedNotice {
        pub(crate) service: ServiceName,
        /// Version of the record that began the change.
        pub(crate) epoch: LeaderEpoch,
        /// Position that these commits have reached at least.
        pub(crate) position: LogStamp,
    }
}

plain_data! {
    /// Request for all records.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordsRequest {
        /// Requesting instance.
        pub(crate) instance: InstanceName,
        /// Number of the request, which is returned in each response.
        pub(crate) request_id: u64,
        /// Versions that the requester knows.
        pub(crate) digest: RecordsDigest,
        /// Whether the requester wants further responses, for a limited time, whenever newer state
        /// is known.
        pub(crate) subscribes: bool,
    }
}

plain_data! {
    /// Summary of all records as known to an instance. Its size does not depend on the number of
    /// records, as long as nearly all of them were confirmed by the same read of the store.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordsSummary {
        /// Responding instance.
        pub(crate) instance: InstanceName,
        /// Number of the request.
        pub(crate) request_id: u64,
        /// Time at which the store had the receiver in the instance list; `None` if it did not, or
        /// if the entry is about to be removed.
        pub(crate) listed: Option<RequestOffset>,
        /// Time at which the store was last polled for all records.
        pub(crate) read: Option<RequestOffset>,
        /// Time of a poll of the store since which the sender knows at least the versions that the
        /// poll showed, of all records.
        pub(crate) complete: Option<RequestOffset>,
        /// Versions of the settings and members that the sender knows.
        pub(crate) version: CopyVersion,
        /// Time at which these were last known to be current.
        pub(crate) current: Option<RequestOffset>,
        /// Digest of the instance list that the sender knows.
        pub(crate) entries: ListDigest,
        /// Time at which the store had that list.
        pub(crate) entries_read: Option<RequestOffset>,
        /// Whether the sender itself confirms that it knows no later versions of the records.
        pub(crate) confirms: bool,
        /// Versions of the records that the timings belong to.
        pub(crate) digest: RecordsDigest,
        /// Number of records.
        pub(crate) count: u32,
        /// Timing of all records that are no exceptions.
        pub(crate) common: RecordTiming,
        /// Other records, sorted by position.
        pub(crate) exceptions: Vec<RecordException>,
        /// Positions of primaries, if the readers sample all of them.
        pub(crate) samples: Vec<RecordSample>,
        /// Records in the order of the services; omitted if the receiver knows these versions, or
        /// if they do not fit a datagram.
        pub(crate) records: Option<Vec<RecordCopy>>,
    }
}

impl RecordsSummary {
    /// Returns the timing of the record at a position.
    pub(crate) fn timing(&self, index: usize) -> RecordTiming {
        let found = self.exceptions.binary_search_by_key(&index, |known| known.index as usize);
        found.map_or(self.common, |found| self.exceptions[found].timing)
    }
}

plain_data! {
    /// Response of an older build to a request for all records, which is ignored.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct IgnoredResponse;
}

plain_data! {
    /// Claim of one operation of an account, sent to the instance that counts for it.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct OperationClaim {
        /// Number of the claim, which is returned in the response.
        pub(crate) request_id: u64,
        pub(crate) account: AccountName,
        /// Whether an operation is counted; otherwise the receiver only reports whether it counts
        /// for the account.
        pub(crate) counts: bool,
    }
}

plain_data! {
    /// Request for a copy of the store's state as known to the receiver.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct CopyQuery {
        /// Number of the request, which is returned in the response.
        pub(crate) request_id: u64,
        pub(crate) request: CopyRequest,
    }
}

plain_data! {
    /// Response to a [`CopyQuery`].
    #[derive(Serialize, Deserialize)]
    pub(crate) struct CopyResponse {
        /// Number of the request.
        pub(crate) request_id: u64,
        /// Encoded copy; `None` if it is too long for a datagram and has to be fetched over a
        /// connection.
        pub(crate) copy: Option<Vec<u8>>,
    }
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimOutcome {
    /// The operation may run.
    Granted,
    /// The limit is used up.
    Spent {
        /// Time until an operation is available.
        after_ms: u32,
    },
    /// The sender does not count for the account.
    NotOwner,
}

plain_data! {
    /// Response to a claim.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct ClaimResponse {
        /// Number of the claim.
        pub(crate) request_id: u64,
        pub(crate) outcome: ClaimOutcome,
    }
}

/// Datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Periodic heartbeat.
    Heartbeat(PeerHeartbeat),
    /// New version of a record; the receiver responds with a [`StopNotice`] once it has stopped.
    Announce(RecordCopy),
    /// Response to an announced version.
    Stopped(StopNotice),
    /// Request for all records.
    FetchRecords(RecordsRequest),
    /// Response of an older build to a request for all records. It keeps its number, so that the
    /// others keep theirs.
    Records(IgnoredResponse),
    /// Claim of an operation of an account.
    Claim(OperationClaim),
    /// Response to a claim.
    ClaimResponse(ClaimResponse),
    /// Request for the store's state as known to the receiver.
    FetchCopy(CopyQuery),
    /// Response to a request for a copy.
    Copy(CopyResponse),
    /// Request to probe an owner of an account that the sender cannot reach.
    RelayProbe(RelayProbe),
    /// Response of a relay, or evidence of a claimant.
    RelayedProbe(RelayedProbe),
    /// Claim of an operation of an account, which may wait.
    QueueClaim(QueueClaim),
    /// Response to a claim that may wait.
    QueuedClaim(QueuedClaim),
    /// Return of a grant whose statement did not run.
    ReturnClaim(ReturnClaim),
    /// Connections that an instance could lend.
    SpareConnections(SpareConnections),
    /// Request for a loan of connections.
    LoanRequest(LoanRequest),
    /// Response to a [`LoanRequest`].
    LoanResponse(LoanResponse),
    /// Notice of a borrower that a loan has ended.
    LoanReturn(LoanReturn),
    /// Request of a lender to end a loan.
    LoanRecall(LoanRecall),
    /// Response to a request for all records.
    RecordsSummary(Box<RecordsSummary>),
    /// Request to probe the primary of a service.
    ProbePrimary(PrimaryProbe),
    /// Instances that a hub is connected to.
    Reach(ReachNotice),
    /// Acknowledged commits of a service whose primary is being changed.
    Acknowledged(AcknowledgedNotice),
}
