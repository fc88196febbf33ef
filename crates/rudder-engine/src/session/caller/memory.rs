//! Memory of a session's running request and of its reply.

use super::CallerSession;
use crate::session::job::retry_text;
use crate::statement::{
    CallerStatement, PreparedStatement, RequestId, StatementError, StatementReply,
};
use rudder_core::ByteSize;
use std::time::{Duration, Instant};

/// Copies of a statement while it runs: the caller's, that of the command to the member, and the
/// bytes that are sent.
const STATEMENT_COPIES: usize = 4;

/// Further copies of a prepared statement, as its name at the member contains its text.
const PREPARED_COPIES: usize = 2;

/// Copies of a reply: its rows, and the bytes that are sent.
const REPLY_COPIES: usize = 2;

/// Time for which the size of the last rows is taken for that of the next ones.
const EXPECTATION_AGE: Duration = Duration::from_secs(2);

impl CallerSession {
    /// Whether the session, or its last reply, holds memory beyond the exempt amounts.
    #[must_use]
    pub fn holds_memory(&self) -> bool {
        self.session_state.holds_memory() || self.request_memory.charged() > ByteSize(0)
    }

    /// Reserves the memory that running a statement needs; returns whether there is enough.
    pub fn reserve_memory(&mut self, id: &RequestId, statement: &CallerStatement) -> bool {
        let size = self.memory_of(id, statement);
        self.request_memory.resize(size).is_ok()
    }

    /// Returns the memory that the copies of a request and of its session state take.
    fn memory_of(&self, id: &RequestId, statement: &CallerStatement) -> ByteSize {
        let copied = match statement {
            CallerStatement::Read(_) | CallerStatement::Write(_) => {
                self.session_state.values_size()
            }
            CallerStatement::Execute { name, .. } => {
                let prepared = self.session_state.prepared(name).map_or(0, PreparedStatement::size);
                self.session_state.values_size() + PREPARED_COPIES * prepared
            }
            _ => 0,
        };
        let reads = matches!(statement, CallerStatement::Read(_) | CallerStatement::Execute { .. });
        let expected = if reads { REPLY_COPIES * self.expected_rows() } else { 0 };
        let size = id.0.len() + statement.size() + copied;
        ByteSize((STATEMENT_COPIES * size + expected) as u64)
    }

    /// Returns the size that is expected of the rows of a read. A caller that has just read a large
    /// row may read it again, which would be in vain if there is no memory for the reply.
    fn expected_rows(&self) -> usize {
        let recent = self.last_rows.filter(|(_, at)| at.elapsed() < EXPECTATION_AGE);
        recent.map_or(0, |(size, _)| size)
    }

    /// Returns the reply to a request that is not run because too much memory is in use.
    pub fn refuse_for_memory(&mut self) -> StatementReply {
        self.engine.caller_memory().record_refusal("memory");
        self.fail(StatementError::Busy, &retry_text("too much memory is in use"))
    }

    /// Reserves the memory of a reply in place of that of its request. Without enough, the reply is
    /// replaced by an error.
    pub(super) fn reserve_reply(&mut self, reply: StatementReply) -> StatementReply {
        let rows_size = reply.rows_size();
        self.last_rows = Some((rows_size, Instant::now()));
        let reply_size = ByteSize((REPLY_COPIES * rows_size) as u64);
        if self.request_memory.resize(reply_size).is_ok() {
            return reply;
        }
        drop(reply);
        self.engine.caller_memory().record_refusal("reply_memory");
        self.fail(StatementError::TooLarge, "the rows exceed the memory that is left")
    }

    /// Releases the memory of the last reply, which the caller has taken.
    pub fn finish_reply(&mut self) {
        // A smaller size always fits.
        let _ = self.request_memory.resize(ByteSize(0));
    }
}
