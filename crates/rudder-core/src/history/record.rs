//! The records of a run.

use crate::ident::RequestKey;
use crate::outcome::OutcomeClass;
use crate::plain_data;
use crate::session::SessionId;
use std::time::Duration;

/// What a caller was told about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was acknowledged.
    Acknowledged,
    /// It was refused, in this class.
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
    /// One write as its caller saw it. Times count from the start of the run.
    pub struct WriteRecord {
        /// The caller's session.
        pub session: SessionId,
        /// When the request was sent.
        pub invoked: Duration,
        /// When its outcome arrived.
        pub returned: Duration,
        /// What it adds, and where.
        pub stored: StoredValue,
        /// The key of a request that must run at most once; its repeats carry the same.
        pub key: Option<RequestKey>,
        /// What the caller was told.
        pub outcome: WriteOutcome,
    }
}

plain_data! {
    /// One answered read as its caller saw it.
    pub struct ReadRecord {
        /// The caller's session.
        pub session: SessionId,
        /// When the request was sent.
        pub invoked: Duration,
        /// The row that was read.
        pub row: String,
        /// The values that it showed.
        pub values: Vec<u64>,
        /// The greatest age that the caller accepts.
        pub bound: Duration,
    }
}

plain_data! {
    /// A whole run.
    #[derive(Default)]
    pub struct HistoryLog {
        /// The writes, in any order.
        pub writes: Vec<WriteRecord>,
        /// The answered reads, in any order.
        pub reads: Vec<ReadRecord>,
        /// Everything that the real primary holds at the end, repetitions included.
        pub stored: Vec<StoredValue>,
    }
}
