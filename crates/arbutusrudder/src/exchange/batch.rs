//! What a caller sent up to the point where it waits for an answer.

use crate::classify::{SessionChange, StatementFacts, StatementsSummary, TransactionStep};
use bytes::Bytes;
use rudder_core::RequestKey;
use rudder_endpoint::WireFrame;
use std::sync::Arc;

/// A statement that a caller prepared; it outlives the connection that it was first sent on.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// Hash of its text and parameter types: its name on members' connections.
    pub(crate) hash: u128,
    /// Everything of the Parse body after the name: text and parameter types.
    pub(crate) definition: Bytes,
    /// What is known of it.
    pub(crate) summary: Arc<StatementsSummary>,
}

/// One frame of an extended batch, with the statement that it names.
#[derive(Clone, Debug)]
pub(crate) enum BatchFrame {
    /// Prepares a statement.
    Parse(Arc<PreparedStatement>),
    /// Binds a portal to a statement: the portal's name with its zero byte, and what follows the
    /// statement's name.
    Bind(Arc<PreparedStatement>, Bytes, Bytes),
    /// Describes a statement.
    DescribeStatement(Arc<PreparedStatement>),
    /// Closes a statement: answered here, since other callers may use it too.
    CloseStatement,
    /// Anything else, sent on as it is.
    Plain(WireFrame),
}

/// How a batch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchEnd {
    /// A simple query.
    Simple,
    /// An extended batch with its Sync.
    Sync,
    /// An extended batch whose replies so far are wanted; its Sync comes later.
    Flush,
}

/// A batch, with what is known of its statements.
#[derive(Clone, Debug)]
pub(crate) struct CallerBatch {
    /// The frames, without Sync or Flush.
    pub(crate) frames: Vec<BatchFrame>,
    /// How it ends.
    pub(crate) end: BatchEnd,
    /// The statements that it runs or prepares.
    pub(crate) summaries: Vec<Arc<StatementsSummary>>,
    /// Whether it runs anything, rather than only preparing or describing.
    pub(crate) executes: bool,
}

impl CallerBatch {
    /// Every statement's facts, in order.
    pub(crate) fn facts(&self) -> impl Iterator<Item = &StatementFacts> {
        self.summaries.iter().flat_map(|summary| summary.statements.iter())
    }

    /// Whether a replica may serve it.
    pub(crate) fn is_read(&self) -> bool {
        self.end != BatchEnd::Flush && self.summaries.iter().all(|summary| summary.is_read())
    }

    /// The transaction that it begins, if its first statement does.
    pub(crate) fn begins(&self) -> Option<bool> {
        match self.facts().next()?.step? {
            TransactionStep::Begin { read_only } => Some(read_only),
            TransactionStep::End => None,
        }
    }

    /// Whether some statement ends a transaction.
    pub(crate) fn ends(&self) -> bool {
        self.facts().any(|facts| facts.step == Some(TransactionStep::End))
    }

    /// Whether some statement reads COPY data from the caller.
    pub(crate) fn copies_in(&self) -> bool {
        self.facts().any(|facts| facts.copy_in)
    }

    /// Why it cannot run on a shared connection.
    pub(crate) fn refusal(&self) -> Option<&'static str> {
        self.facts().find_map(|facts| facts.refusal)
    }

    /// The key of a request that must run at most once.
    pub(crate) fn key(&self) -> Option<&RequestKey> {
        self.summaries.iter().find_map(|summary| summary.key.as_ref())
    }

    /// What batches of the same shape share, whatever their literals.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.summaries
            .iter()
            .fold(0, |known, summary| u64::rotate_left(known, 1) ^ summary.fingerprint)
    }

    /// What it does to the session's own state. Statements that are only prepared or described
    /// do nothing to it.
    pub(crate) fn changes(&self) -> impl Iterator<Item = &SessionChange> {
        let simple = if self.end == BatchEnd::Simple { &self.summaries[..] } else { &[] };
        let bound = self.frames.iter().filter_map(|frame| match frame {
            BatchFrame::Bind(statement, _, _) if self.executes => Some(&statement.summary),
            _ => None,
        });
        let summaries = simple.iter().chain(bound);
        let facts = summaries.flat_map(|summary| summary.statements.iter());
        facts.filter_map(|facts| facts.change.as_ref())
    }
}
