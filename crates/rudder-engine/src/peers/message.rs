//! The datagrams between instances.

use super::fleet_copy::CopyVersion;
use crate::lead::{LeadRecord, LeaderEpoch};
use rudder_core::{DomainName, InstanceName, LogStamp, ServiceName, plain_data};
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
        /// How long ago the store last said that both are current, in milliseconds; the greatest
        /// number if it never did.
        pub(crate) store_age_ms: u64,
        /// Whether it is about to stop.
        pub(crate) leaving: bool,
        /// The services whose primary it cannot reach.
        pub(crate) doubts: Vec<PrimaryDoubt>,
    }
}

plain_data! {
    /// A record that an instance knows.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordCopy {
        pub(crate) service: ServiceName,
        pub(crate) record: LeadRecord,
        /// How long ago the store had the record, in milliseconds, rounded up.
        pub(crate) age_ms: u64,
        /// How long ago the store, or most instances, knew of no later version; never more.
        pub(crate) majority_age_ms: u64,
        /// Whether the sender itself confirms that it knows of no later version.
        pub(crate) confirms: bool,
        /// The newest position known of its primary.
        pub(crate) sample: Option<SampleCopy>,
    }
}

plain_data! {
    /// A position that a primary was seen at.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct SampleCopy {
        pub(crate) stamp: LogStamp,
        /// How long ago it was asked for, in milliseconds, rounded up.
        pub(crate) age_ms: u64,
    }
}

plain_data! {
    /// An instance's word that it answers for no version of a record before this one.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct StopNotice {
        pub(crate) instance: InstanceName,
        pub(crate) service: ServiceName,
        pub(crate) epoch: LeaderEpoch,
    }
}

plain_data! {
    /// What an instance knows of all records. Ages are in milliseconds, rounded up.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RecordsAnswer {
        /// Who answers.
        pub(crate) instance: InstanceName,
        /// The number of the question.
        pub(crate) question: u64,
        /// How long ago the store had the receiver in the list of instances; none if it did not, or
        /// if it is about to be taken out.
        pub(crate) listed_age_ms: Option<u64>,
        /// How long ago the sender itself read all records from the store; none if it never did.
        pub(crate) read_age_ms: Option<u64>,
        /// What is known.
        pub(crate) records: Vec<RecordCopy>,
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
    Ask {
        /// Who asks.
        instance: InstanceName,
        /// The question's number, which comes back with the answer.
        question: u64,
    },
    /// The answer.
    Records(RecordsAnswer),
}
