//! The datagrams between instances.

use super::digest::RecordsDigest;
use super::fleet_copy::{CopyRequest, CopyVersion};
use super::list_change::ListDigest;
use super::offset::QuestionOffset;
use crate::lead::{LeadRecord, LeaderEpoch};
use rudder_core::{AccountName, DomainName, InstanceName, LogStamp, ServiceName, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// An instance's word that it cannot reach the primary of a service.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PrimaryDoubt {
        pub(crate) service: ServiceName,
        /// The version of the record that names the primary.
        pub(crate) epoch: LeaderEpoch,
    }
}

plain_data! {
    /// What an instance tells all others about once a second.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PeerHeartbeat {
        pub(crate) instance: InstanceName,
        /// Tells its process from its earlier and later ones.
        pub(crate) process: u64,
        pub(crate) domain: DomainName,
        /// Which settings and members are known there.
        pub(crate) version: CopyVersion,
        /// Whether the store does not answer it.
        pub(crate) turned_away: bool,
        /// Whether it is about to stop.
        pub(crate) leaving: bool,
        /// The services whose primary it cannot reach.
        pub(crate) doubts: Vec<PrimaryDoubt>,
    }
}

plain_data! {
    /// A new version of a record.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordCopy {
        pub(crate) service: ServiceName,
        pub(crate) record: LeadRecord,
    }
}

plain_data! {
    /// When a record was known to be in place, and the newest position known of its primary.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct RecordTiming {
        /// The store had it.
        pub(crate) confirmed: Option<QuestionOffset>,
        /// The store, or most instances, knew of no later version; never earlier.
        pub(crate) anchor: Option<QuestionOffset>,
        pub(crate) sample: Option<SampleCopy>,
    }
}

plain_data! {
    /// A position that a primary was seen at.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct SampleCopy {
        pub(crate) stamp: LogStamp,
        /// When it was asked for.
        pub(crate) sent: Option<QuestionOffset>,
    }
}

plain_data! {
    /// An instance's notice that it answers for no version of a record before this one.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct StopNotice {
        pub(crate) instance: InstanceName,
        pub(crate) service: ServiceName,
        pub(crate) epoch: LeaderEpoch,
    }
}

plain_data! {
    /// A question for all records.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordsQuestion {
        /// Who asks.
        pub(crate) instance: InstanceName,
        /// The question's number, which comes back with each answer.
        pub(crate) question: u64,
        /// The versions that the asker knows.
        pub(crate) digest: RecordsDigest,
        /// Whether it is to be answered again, for a while, whenever there is newer knowledge.
        pub(crate) subscribes: bool,
    }
}

plain_data! {
    /// What an instance knows of all records.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordsAnswer {
        /// Who answers.
        pub(crate) instance: InstanceName,
        /// The number of the question.
        pub(crate) question: u64,
        /// When the store had the receiver in the list of instances; none if it did not, or if it
        /// is about to be taken out.
        pub(crate) listed: Option<QuestionOffset>,
        /// When the store was last asked for all records.
        pub(crate) read: Option<QuestionOffset>,
        /// Which settings and members the sender knows.
        pub(crate) version: CopyVersion,
        /// When these were last known to be current.
        pub(crate) current: Option<QuestionOffset>,
        /// Which list of instances the sender knows.
        pub(crate) entries: ListDigest,
        /// When the store had it so.
        pub(crate) entries_read: Option<QuestionOffset>,
        /// Whether the sender itself confirms that it knows of no later versions of the records.
        pub(crate) confirms: bool,
        /// The versions that the timings are of.
        pub(crate) digest: RecordsDigest,
        /// One for each record, in the order of the services.
        pub(crate) timings: Vec<RecordTiming>,
        /// The records, in the same order; left out if the receiver knows these versions.
        pub(crate) records: Option<Vec<RecordCopy>>,
    }
}

plain_data! {
    /// A claim of one operation of an account, made at the instance that counts for it.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct OperationClaim {
        /// The claim's number, which comes back with the answer.
        pub(crate) request_id: u64,
        pub(crate) account: AccountName,
        /// Whether an operation is counted; else the receiver only says whether it counts.
        pub(crate) counts: bool,
    }
}

plain_data! {
    /// A question for what the receiver knows of the store's word.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct CopyQuery {
        /// The question's number, which comes back with the answer.
        pub(crate) request_id: u64,
        pub(crate) request: CopyRequest,
    }
}

plain_data! {
    /// The answer.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct CopyResponse {
        /// The question's number.
        pub(crate) request_id: u64,
        /// The copy; none if it is too long for a datagram and has to be fetched by a connection.
        pub(crate) copy: Option<Vec<u8>>,
    }
}

/// What a claim came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimOutcome {
    /// The operation may run.
    Granted,
    /// The limit is used up.
    Spent {
        /// Until when, from now.
        after_ms: u32,
    },
    /// The sender does not count for the account.
    NotOwner,
}

plain_data! {
    /// The answer to a claim.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct ClaimAnswer {
        /// The claim's number.
        pub(crate) request_id: u64,
        pub(crate) outcome: ClaimOutcome,
    }
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A sign of life.
    Heartbeat(PeerHeartbeat),
    /// A new version of a record; the receiver answers with a [`StopNotice`] once it has stopped.
    Announce(RecordCopy),
    /// The answer.
    Stopped(StopNotice),
    /// Asks for all records.
    Ask(RecordsQuestion),
    /// The answer.
    Records(RecordsAnswer),
    /// Claims an operation of an account.
    Claim(OperationClaim),
    /// The answer.
    ClaimAnswer(ClaimAnswer),
    /// Asks for what the receiver knows of the store's word.
    AskCopy(CopyQuery),
    /// The answer.
    Copy(CopyResponse),
}
