//! The messages that a caller sends before it waits for a response.

use crate::classify::{SessionChange, StatementFacts, StatementsSummary, TransactionStep};
use bytes::Bytes;
use rudder_core::RequestKey;
use rudder_endpoint::WireFrame;
use std::sync::Arc;

/// A statement that a caller prepared. It is kept by the session and prepared again on each
/// member connection that the session uses.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// Hash of its text and parameter types, from which its name on member connections is built.
    pub(crate) hash: u128,
    /// Everything of the Parse body after the name: text and parameter types.
    pub(crate) definition: Bytes,
    /// Classification of its text.
    pub(crate) summary: Arc<StatementsSummary>,
}

/// One frame of an extended batch, with the prepared statement that it refers to.
#[derive(Clone, Debug)]
pub(crate) enum BatchFrame {
    /// Prepares a statement.
    Parse(Arc<PreparedStatement>),
    /// Binds a portal to a statement: the portal's name with its zero byte, and what follows the
    /// statement's name.
    Bind(Arc<PreparedStatement>, Bytes, Bytes),
    /// Describes a statement.
    DescribeStatement(Arc<PreparedStatement>),
    /// Closes a statement. The reply is generated here and the member keeps the statement, since
    /// other callers may use it.
    CloseStatement,
    /// Any other frame, forwarded unchanged.
    Plain(WireFrame),
}

/// Message that ends a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchEnd {
    /// A simple query.
    Simple,
    /// An extended batch with its Sync.
    Sync,
    /// An extended batch ended by a Flush: the caller wants the replies so far and sends Sync
    /// later.
    Flush,
}

/// A batch with the classification of its statements.
#[derive(Clone, Debug)]
pub(crate) struct CallerBatch {
    /// The frames, without Sync or Flush.
    pub(crate) frames: Vec<BatchFrame>,
    /// Message that ends it.
    pub(crate) end: BatchEnd,
    /// Classifications of the statements that it runs or prepares.
    pub(crate) summaries: Vec<Arc<StatementsSummary>>,
    /// Whether it executes any statement, rather than only preparing or describing.
    pub(crate) executes: bool,
}

impl CallerBatch {
    /// Returns the facts of every statement, in order.
    pub(crate) fn facts(&self) -> impl Iterator<Item = &StatementFacts> {
        self.summaries.iter().flat_map(|summary| summary.statements.iter())
    }

    /// Whether a replica may serve it.
    pub(crate) fn is_read(&self) -> bool {
        self.end != BatchEnd::Flush && self.summaries.iter().all(|summary| summary.is_read())
    }

    /// Returns whether the transaction is read-only if the first statement begins one.
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

    /// Returns the reason why it cannot run on a shared connection, if there is one.
    pub(crate) fn refusal(&self) -> Option<&'static str> {
        self.facts().find_map(|facts| facts.refusal)
    }

    /// Returns the idempotency key, given in a comment, of a request that must run at most once.
    pub(crate) fn key(&self) -> Option<&RequestKey> {
        self.summaries.iter().find_map(|summary| summary.key.as_ref())
    }

    /// Returns a hash that is equal for batches that differ only in their literals.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.summaries
            .iter()
            .fold(0, |known, summary| u64::rotate_left(known, 1) ^ summary.fingerprint)
    }

    /// Returns the changes to session state. Statements that are only prepared or described change
    /// nothing.
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
