//! A service's record as kept in the store, with what a change of primary has to know of the
//! primaries before it.

use super::record::{LeadPhase, LeadRecord};
use rudder_core::{LogTerm, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// Facts about earlier primaries. They are part of the object in the store, as each instance
    /// may end at any time, and are not sent between instances: only a change of primary uses them.
    #[derive(Default, Serialize, Deserialize)]
    pub(crate) struct LeadHistory {
        /// Term of the primary that was settled last; none if an older build wrote the record of a
        /// change in progress.
        #[serde(default)]
        pub(crate) term: Option<LogTerm>,
    }
}

impl LeadHistory {
    /// Returns whether a member that leads `term` was promoted after the last settled primary. A
    /// partitioned primary that was replaced still reports that it leads, in its older term.
    pub(crate) fn is_newer(&self, term: LogTerm) -> bool {
        self.term.is_none_or(|settled| term > settled)
    }

    /// Records that a primary was settled in `term`.
    pub(crate) fn settle(&mut self, term: LogTerm) {
        self.term = Some(term);
    }
}

plain_data! {
    /// Record in the store.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct StoredRecord {
        /// Part that all instances know.
        #[serde(flatten)]
        pub(crate) record: LeadRecord,
        #[serde(default)]
        pub(crate) history: LeadHistory,
    }
}

impl StoredRecord {
    pub(crate) fn new(record: LeadRecord, history: LeadHistory) -> Self {
        Self { record, history }
    }

    /// Returns the history, which a record of an older build states in part.
    pub(crate) fn history(&self) -> LeadHistory {
        let mut history = self.history.clone();
        if let LeadPhase::Settled { term, .. } = self.record.phase {
            history.settle(term);
        }
        history
    }
}
