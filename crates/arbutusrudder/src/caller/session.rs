//! What a session keeps between its batches.

use crate::exchange::PreparedStatement;
use crate::group::{GroupState, PooledConnection};
use rudder_core::{AgeLedger, LogStamp, LogTerm, RequestKey, ServiceName, SessionToken};
use rudder_endpoint::WireLink;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::cancel::CancelEntry;
use rudder_settings::CallerSettings;

/// A connection that belongs to the session until its transaction ends.
pub(crate) struct PinnedConnection {
    /// The group.
    pub(crate) group: Arc<GroupState>,
    /// The member's index.
    pub(crate) member: usize,
    /// The connection.
    pub(crate) pooled: PooledConnection,
    /// The term at which the transaction began, if it may write.
    pub(crate) term: Option<LogTerm>,
    /// The transaction status: `T` or `E`, or `I` after a Flush whose Sync has not come.
    pub(crate) status: u8,
    /// The session's settings when the transaction began: a rollback brings them back.
    pub(crate) settings_before: Vec<(String, String)>,
    /// Whether a Flush ended with an error: the member skips everything up to the next Sync.
    pub(crate) skipping: bool,
    /// The key that the transaction must run under at most once.
    pub(crate) key: Option<RequestKey>,
}

/// What is known of what the session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FloorKnowledge {
    /// The token says it.
    Known,
    /// The caller named its session without a token, at this time. What a confirmed primary held
    /// at that time or later contains everything that the session was ever acknowledged; until
    /// such a sample is there, only the confirmed primary may answer.
    Unknown(Duration),
}

/// One caller's session at this instance.
pub(crate) struct CallerSession {
    /// The caller's connection.
    pub(crate) link: WireLink,
    /// The service.
    pub(crate) service: ServiceName,
    /// What its kind of caller is given.
    pub(crate) caller: CallerSettings,
    /// Tells this caller from others in fairness.
    pub(crate) caller_key: u64,
    /// What it must see.
    pub(crate) token: SessionToken,
    /// When this instance learned of the floor: the replicas had that long to catch up.
    pub(crate) floor_at: Instant,
    /// Whether the token is complete.
    pub(crate) knowledge: FloorKnowledge,
    /// Its settings, sorted by name, with their SET statements.
    pub(crate) settings: Vec<(String, String)>,
    /// Whether some member took all of them; those of a login may be wrong.
    pub(crate) settings_verified: bool,
    /// Its prepared statements, sorted by name; the unnamed one has the empty name.
    pub(crate) prepared: Vec<(String, Arc<PreparedStatement>)>,
    /// What names stood for before the present batch changed them, in the order of the changes.
    pub(crate) previous_names: Vec<(String, Option<Arc<PreparedStatement>>)>,
    /// The connection of its open transaction.
    pub(crate) pinned: Option<PinnedConnection>,
    /// The key for its next request.
    pub(crate) key: Option<RequestKey>,
    /// A staleness bound of its own, at most that of its kind.
    pub(crate) staleness: Option<Duration>,
    /// Its place on the cancel board.
    pub(crate) cancel: CancelEntry,
}

impl CallerSession {
    /// The greatest age that its reads accept.
    pub(crate) fn bound(&self) -> Duration {
        let own = self.staleness.unwrap_or(self.caller.staleness);
        own.min(self.caller.staleness)
    }

    /// The least stamp that it must see.
    pub(crate) fn floor(&self) -> Option<LogStamp> {
        self.token.floor(&self.service)
    }

    /// The transaction status that the caller is told.
    pub(crate) fn status(&self) -> u8 {
        self.pinned.as_ref().map_or(b'I', |pinned| pinned.status)
    }

    /// Whether replicas may answer; learns the floor of a session that came without a token.
    pub(crate) fn learn_floor(&mut self, group: &GroupState) -> bool {
        let FloorKnowledge::Unknown(since) = self.knowledge else { return true };
        let newest = group.board.with_ledger(AgeLedger::newest);
        let Some(sample) = newest.filter(|sample| sample.sent_at >= since) else { return false };
        let service = self.service.clone();
        self.token.raise(&service, sample.stamp);
        self.knowledge = FloorKnowledge::Known;
        true
    }

    /// The prepared statement of this name.
    pub(crate) fn statement(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        let index = self.prepared.binary_search_by(|(known, _)| known.as_str().cmp(name)).ok()?;
        Some(&self.prepared[index].1)
    }

    /// Remembers a prepared statement.
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

    /// Forgets a prepared statement.
    pub(crate) fn remove_statement(&mut self, name: &str) {
        self.previous_names.push((name.to_owned(), self.statement(name).cloned()));
        self.remove_name(name);
    }

    /// Takes back the changes of names beyond the first `done` of the present batch: after an
    /// error the rest of a batch is skipped, so its names still stand for what they did before.
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
