//! A service's record as kept in the store, with what a change of primary has to know of the
//! primaries before it.

use super::commit_evidence::CommitHolder;
use super::record::{LeadPhase, LeadRecord};
use rudder_core::{LogStamp, LogTerm, plain_data};
use serde::{Deserialize, Serialize};

/// Maximum number of terms whose start is kept. A member of an older term has been down for as many
/// changes of primary.
const TERM_STARTS_MAX: usize = 16;

plain_data! {
    /// Start of a term in the log of the last settled primary.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct TermStart {
        /// The term.
        pub(crate) term: LogTerm,
        /// End of the log when the term began. Entries of earlier terms beyond it are rolled back.
        pub(crate) base: LogStamp,
    }
}

plain_data! {
    /// Facts about earlier primaries. They are part of the object in the store, as each instance
    /// may end at any time, and are not sent between instances: only a change of primary uses them.
    #[derive(Default, Serialize, Deserialize)]
    pub(crate) struct LeadHistory {
        /// Term of the primary that was settled last; none if an older build wrote the record of a
        /// change in progress.
        #[serde(default)]
        pub(crate) term: Option<LogTerm>,
        /// Terms in the log of that primary, sorted by term and by base.
        #[serde(default)]
        pub(crate) term_starts: Vec<TermStart>,
        /// Processes that may hold acknowledged commits which no other replica has, sorted. Empty if
        /// the service has no synchronous replicas.
        #[serde(default)]
        pub(crate) holders: Vec<CommitHolder>,
        /// Processes that ended and were released a short time ago, sorted. One that comes back with
        /// its log counts again, although it may be cut from the store and not be listed.
        #[serde(default)]
        pub(crate) released: Vec<CommitHolder>,
        /// Position that the acknowledged commits of the primary that is being changed have reached
        /// at least; none if it is not known.
        #[serde(default)]
        pub(crate) acknowledged: Option<LogStamp>,
    }
}

impl LeadHistory {
    /// Returns the history of a service whose first known primary leads `term`.
    pub(crate) fn of_term(term: LogTerm) -> Self {
        Self { term: Some(term), ..Self::default() }
    }

    /// Returns whether a member that leads `term` was promoted after the last settled primary. A
    /// partitioned primary that was replaced still reports that it leads, in its older term.
    pub(crate) fn is_newer(&self, term: LogTerm) -> bool {
        self.term.is_none_or(|settled| term > settled)
    }

    /// Records that a primary was settled in `term`, whose log ended at `base` when it took over.
    pub(crate) fn settle(&mut self, term: LogTerm, base: LogStamp) {
        if self.term == Some(term) {
            // The previous primary leads on, and its log has kept what it holds.
            self.acknowledged = None;
            return;
        }
        self.term = Some(term);
        self.acknowledged = None;
        // Terms after that of `base` are not in the log of the new primary.
        self.term_starts.retain(|start| start.term <= base.term);
        self.term_starts.push(TermStart { term, base });
        if self.term_starts.len() > TERM_STARTS_MAX {
            // Logs of the oldest terms are taken to end at the lower of two bases.
            let oldest = self.term_starts.remove(0);
            self.term_starts[0].base = oldest.base;
        }
    }

    /// Returns the position up to which a log that ends at `received` is part of the log of the last
    /// settled primary. What is beyond it was rolled back by a promotion.
    pub(crate) fn kept_position(&self, received: LogStamp) -> LogStamp {
        let later = self.term_starts.partition_point(|start| start.term <= received.term);
        let base = self.term_starts.get(later).map(|start| start.base);
        base.map_or(received, |base| received.min(base))
    }

    /// Returns whether a log that ends at `received` holds commits that a promotion rolled back.
    pub(crate) fn was_rolled_back(&self, received: LogStamp) -> bool {
        self.kept_position(received) < received
    }

    /// Returns the position at which the log of the last settled primary ended when it took over.
    pub(crate) fn base(&self) -> Option<LogStamp> {
        let last = self.term_starts.last().filter(|start| Some(start.term) == self.term);
        last.map(|start| start.base)
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
        match self.record.phase {
            LeadPhase::Settled { term, base: Some(base), .. } => history.settle(term, base),
            LeadPhase::Settled { term, base: None, .. } => history.term = Some(term),
            LeadPhase::Changing { .. } => {}
        }
        history
    }
}
