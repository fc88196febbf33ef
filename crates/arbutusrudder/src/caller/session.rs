//! State that a session keeps between its batches.

use crate::exchange::PreparedStatement;
use crate::group::{GroupState, PooledConnection};
use rudder_core::{
    ByteSize, FreshnessSamples, LogStamp, LogTerm, RequestKey, ServiceName, SessionToken,
};
use rudder_decisions::{BudgetError, MemoryReservation};
use rudder_endpoint::WireLink;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::cancel::CancelEntry;
use rudder_settings::CallerSettings;

/// Memory of a prepared statement or setting besides its texts.
const STATEMENT_BYTES: usize = 256;

/// A member connection reserved for the session until its transaction ends.
pub(crate) struct PinnedConnection {
    pub(crate) group: Arc<GroupState>,
    /// The member's index.
    pub(crate) member: usize,
    pub(crate) pooled: PooledConnection,
    /// The term at which the transaction began, if it may write.
    pub(crate) term: Option<LogTerm>,
    /// The transaction status: `T` or `E`, or `I` after a Flush whose Sync was not received yet.
    pub(crate) status: u8,
    /// The session's settings when the transaction began, restored by a rollback.
    pub(crate) settings_before: Vec<(String, String)>,
    /// Whether a Flush ended with an error: the member skips everything up to the next Sync.
    pub(crate) skipping: bool,
    /// Idempotency key under which the transaction must run at most once.
    pub(crate) key: Option<RequestKey>,
}

/// Whether the session's floor, the least log position that it must see, is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FloorKnowledge {
    /// The token holds it.
    Known,
    /// The caller named its session without a token, at this time. The log of a confirmed primary
    /// at that time or later contains everything acknowledged to the session. Until such a sample
    /// is received, only the confirmed primary may serve reads.
    Unknown(Duration),
}

/// One caller's session at this instance.
pub(crate) struct CallerSession {
    /// The caller's connection.
    pub(crate) link: WireLink,
    pub(crate) service: ServiceName,
    /// Settings of its kind of caller.
    pub(crate) caller: CallerSettings,
    /// Identifies this caller in fair queueing.
    pub(crate) caller_key: u64,
    /// Token with the least log positions that it must see.
    pub(crate) token: SessionToken,
    /// When this instance learned the floor; replicas have had since then to catch up.
    pub(crate) floor_at: Instant,
    /// Whether the floor is known.
    pub(crate) knowledge: FloorKnowledge,
    /// Its settings, sorted by name, with their SET statements.
    pub(crate) settings: Vec<(String, String)>,
    /// Whether a member accepted all of them; login settings may be invalid.
    pub(crate) settings_verified: bool,
    /// Its prepared statements, sorted by name; the unnamed one has the empty name.
    pub(crate) prepared: Vec<(String, Arc<PreparedStatement>)>,
    /// Statements that names referred to before the current batch changed them, in order of change.
    pub(crate) previous_names: Vec<(String, Option<Arc<PreparedStatement>>)>,
    /// Memory of the batch that is collected or served.
    pub(crate) batch_memory: MemoryReservation,
    /// Memory of its settings and prepared statements.
    pub(crate) state_memory: MemoryReservation,
    /// The connection of its open transaction.
    pub(crate) pinned: Option<PinnedConnection>,
    /// Idempotency key of its next request.
    pub(crate) key: Option<RequestKey>,
    /// Staleness bound set by the session, limited by that of its kind.
    pub(crate) staleness: Option<Duration>,
    /// Registration of its cancel key.
    pub(crate) cancel: CancelEntry,
}

impl CallerSession {
    /// Returns the greatest age of data that its reads accept.
    pub(crate) fn bound(&self) -> Duration {
        let own = self.staleness.unwrap_or(self.caller.staleness);
        own.min(self.caller.staleness)
    }

    /// Returns the least stamp that it must see.
    pub(crate) fn floor(&self) -> Option<LogStamp> {
        self.token.floor(&self.service)
    }

    /// Returns the transaction status reported to the caller.
    pub(crate) fn status(&self) -> u8 {
        self.pinned.as_ref().map_or(b'I', |pinned| pinned.status)
    }

    /// Learns the floor of a session without a token, if possible. Returns whether the floor is
    /// known, so that replicas may serve reads.
    pub(crate) fn learn_floor(&mut self, group: &GroupState) -> bool {
        let FloorKnowledge::Unknown(since) = self.knowledge else { return true };
        let newest = group.reports.with_samples(FreshnessSamples::newest);
        let Some(sample) = newest.filter(|sample| sample.sent_at >= since) else { return false };
        let service = self.service.clone();
        self.token.raise(&service, sample.stamp);
        self.knowledge = FloorKnowledge::Known;
        true
    }

    /// Returns the key by which its requests take turns with those of other callers. Requests sent
    /// ahead of the replies to earlier ones count as another caller's: they follow each other without
    /// a pause, and would use up the share of the sessions that wait for their replies.
    pub(crate) fn admission_key(&self) -> u64 {
        if self.link.has_buffered_frame() { !self.caller_key } else { self.caller_key }
    }

    /// Returns the bytes of its settings.
    pub(crate) fn settings_size(&self) -> usize {
        self.settings.iter().map(|(name, statement)| name.len() + statement.len()).sum()
    }

    /// Accounts for the memory of its settings and prepared statements.
    ///
    /// # Errors
    ///
    /// [`BudgetError`] if the sessions of all callers hold too much.
    pub(crate) fn reserve_state(&mut self) -> Result<(), BudgetError> {
        let statement = |(name, statement): &(String, Arc<PreparedStatement>)| {
            name.len() + statement.definition.len() + STATEMENT_BYTES
        };
        let prepared: usize = self.prepared.iter().map(statement).sum();
        let size = prepared + self.settings_size() + STATEMENT_BYTES * self.settings.len();
        self.state_memory.resize(ByteSize(size as u64))
    }

    /// Returns the prepared statement of this name.
    pub(crate) fn statement(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        let index = self.prepared.binary_search_by(|(known, _)| known.as_str().cmp(name)).ok()?;
        Some(&self.prepared[index].1)
    }

    /// Adds a prepared statement.
    pub(crate) fn add_statement(&mut self, name: &str, statement: Arc<PreparedStatement>) {
        self.previous_names.push((name.to_owned(), self.statement(name).cloned()));
        self.insert_name(name, statement);
    }

    fn insert_name(&mut self, name: &str, statement: Arc<PreparedStatement>) {
        match self.prepared.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(index) => self.prepared[index].1 = statement,
            Err(index) => self.prepared.insert(index, (name.to_owned(), statement)),
        }
    }

    /// Removes a prepared statement.
    pub(crate) fn remove_statement(&mut self, name: &str) {
        self.previous_names.push((name.to_owned(), self.statement(name).cloned()));
        self.remove_name(name);
    }

    /// Reverts the changes of names after the first `done` of the current batch. After an error the
    /// rest of a batch is skipped, so its names keep their earlier statements.
    pub(crate) fn restore_names(&mut self, done: usize) {
        while self.previous_names.len() > done {
            match self.previous_names.pop() {
                Some((name, Some(statement))) => self.insert_name(&name, statement),
                Some((name, None)) => self.remove_name(&name),
                None => return,
            }
        }
    }

    fn remove_name(&mut self, name: &str) {
        if let Ok(index) = self.prepared.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            self.prepared.remove(index);
        }
    }
}
