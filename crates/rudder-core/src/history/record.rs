//! Records of the writes and reads of a run.

use crate::ident::RequestKey;
use crate::outcome::OutcomeClass;
use crate::plain_data;
use crate::session::SessionId;
use std::time::Duration;

/// The outcome of a write as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The write was rejected with this outcome class.
    Refused(OutcomeClass),
}

plain_data! {
    /// A value in a row.
    #[derive(PartialOrd, Ord)]
    pub struct StoredValue {
        /// The row.
        pub row: String,
        /// The value, unique to the write that added it.
        pub value: u64,
    }
}

plain_data! {
    /// One write as observed by its caller. Times count from the start of the run.
    pub struct WriteRecord {
        /// The caller's session.
        pub session: SessionId,
        /// Time at which the request was sent.
        pub invoked: Duration,
        /// Time at which its outcome arrived.
        pub returned: Duration,
        /// The value that it adds, with its row.
        pub stored: StoredValue,
        /// The key of a request that must run at most once; its retries have the same key.
        pub key: Option<RequestKey>,
        /// The outcome reported to the caller.
        pub outcome: WriteOutcome,
    }
}

plain_data! {
    /// One successful read as observed by its caller.
    pub struct ReadRecord {
        /// The caller's session.
        pub session: SessionId,
        /// Time at which the request was sent.
        pub invoked: Duration,
        /// The row that was read.
        pub row: String,
        /// The values that it returned.
        pub values: Vec<u64>,
        /// Maximum age of the data that the caller accepts.
        pub bound: Duration,
    }
}

plain_data! {
    /// A whole run.
    #[derive(Default)]
    pub struct HistoryLog {
        /// The writes, in any order.
        pub writes: Vec<WriteRecord>,
        /// The successful reads, in any order.
        pub reads: Vec<ReadRecord>,
        /// All values that the current primary stores at the end, including repeated ones.
        pub stored: Vec<StoredValue>,
    }
}
