//! Callers' statements, commands to members and their replies, independent of any wire format.

use displaydoc::Display;
use rudder_core::{LogStamp, LogTerm, plain_data};
use std::fmt;

/// Identifier that the caller gave to a request. It is forwarded unchanged and identifies the
/// request in logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestId(pub String);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Effect of a prepared statement on data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementEffect {
    /// The statement only reads.
    Read,
    /// The statement may change data.
    Write,
}

plain_data! {
    /// Content of a prepared statement, without its name.
    #[derive(PartialOrd, Ord)]
    pub struct PreparedStatement {
        /// Effect of the statement on data.
        pub effect: StatementEffect,
        /// Text of the statement, opaque to the engine.
        pub text: String,
    }
}

impl PreparedStatement {
    /// Returns the length of the text in bytes.
    pub(crate) fn size(&self) -> usize {
        self.text.len()
    }

    /// Returns the name under which this statement is prepared on member connections. It depends on
    /// the statement alone, so the names of different callers cannot collide on a shared
    /// connection.
    pub(crate) fn alias(&self) -> String {
        match self.effect {
            StatementEffect::Read => format!("r_{}", self.text),
            StatementEffect::Write => format!("w_{}", self.text),
        }
    }
}

plain_data! {
    /// Named value of a session.
    #[derive(PartialOrd, Ord)]
    pub struct SessionValue {
        /// Name of the value.
        pub name: String,
        /// Content of the value.
        pub value: String,
    }
}

impl SessionValue {
    /// Returns the length of name and value in bytes.
    pub(crate) fn size(&self) -> usize {
        self.name.len() + self.value.len()
    }
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Begins a transaction.
    Begin {
        /// Whether the caller declared that the transaction only reads.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Reads data; the text is forwarded unchanged.
    Read(String),
    /// Writes data; the text is forwarded unchanged.
    Write(String),
    /// Sets a value of the session.
    SetValue(SessionValue),
    /// Prepares a statement under a name.
    Prepare {
        /// Name of the statement within this session.
        name: String,
        /// Content of the statement.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the statement.
        name: String,
        /// Text after the name, unchanged.
        arguments: String,
    },
    /// Removes a prepared statement from the session.
    Deallocate(String),
    /// Statement that the protocol does not define.
    Malformed,
}

impl CallerStatement {
    /// Returns the length of all texts in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Begin { .. } | Self::Commit | Self::Rollback | Self::Malformed => 0,
            Self::Read(text) | Self::Write(text) | Self::Deallocate(text) => text.len(),
            Self::SetValue(value) => value.size(),
            Self::Prepare { name, prepared } => name.len() + prepared.size(),
            Self::Execute { name, arguments } => name.len() + arguments.len(),
        }
    }
}

/// Part of a statement command that a member runs for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementBody {
    /// Text of a statement, unchanged.
    Text(String),
    /// Statement that was prepared on this connection.
    Execute {
        /// Name of the statement on this connection.
        alias: String,
        /// Text after the name, unchanged.
        arguments: String,
    },
    /// Commit of the open transaction.
    Commit,
}

/// Command to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Clears session values and prepared statements.
    Reset,
    /// Sets a session value.
    SetValue(SessionValue),
    /// Prepares a statement under its alias.
    Prepare {
        /// Name of the statement on this connection.
        alias: String,
        /// Content of the statement.
        prepared: PreparedStatement,
    },
    /// Begins a transaction.
    Begin {
        /// Whether the transaction only reads, so that a replica may serve it.
        read_only: bool,
        /// Log position that the member must have applied.
        floor: Option<LogStamp>,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Requests the member's role, term and log positions.
    Status,
    /// Demotes a primary of a lower term to a replica.
    StepDown(LogTerm),
    /// Runs a caller's statement.
    Statement {
        /// Request id of the caller.
        id: RequestId,
        /// Log position that the member must have applied; only for reads outside of transactions.
        floor: Option<LogStamp>,
        /// Statement to run.
        body: StatementBody,
    },
}

/// Transaction state of a connection between statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction has failed and is not rolled back yet.
    Failed,
}

/// Reason why a statement was not served. Callers receive the texts below.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StatementError {
    /// too much work is waiting
    Busy,
    /// the transaction was rolled back
    Aborted,
    /// the log lacks the position asked for
    Lagging,
    /// this member does not take writes
    ReadOnly,
    /// this is another member or service
    Misrouted,
    /// the member has as many connections as it takes
    ConnectionLimit,
    /// the statement ran and failed
    Failed,
    /// no such prepared name
    UnknownName,
    /// the time for this statement is over; it may have run
    TimedOut,
    /// the connection broke; the change may have been kept
    InDoubt,
    /// there is no such database
    NoDatabase,
    /// the key is not known
    Unauthorized,
    /// the request is too long
    TooLarge,
    /// the request cannot be understood, or not in this state
    Malformed,
    /// the member answered {0}
    Other(String),
}

impl StatementError {
    /// Returns the label of the error in logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "rolled_back",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::ConnectionLimit => "connection_limit",
            Self::Failed => "failed",
            Self::UnknownName => "unknown_name",
            Self::TimedOut => "timed_out",
            Self::InDoubt => "in_doubt",
            Self::NoDatabase => "no_database",
            Self::Unauthorized => "unauthorized",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::Other(_) => "other",
        }
    }

    /// Returns whether the error proves that the member did not run the statement.
    pub(crate) fn guarantees_not_run(&self) -> bool {
        matches!(self, Self::Busy | Self::Lagging | Self::ReadOnly | Self::UnknownName)
    }
}

/// Outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// The statement was served. The text is the member's completion text, empty if no member took
    /// part.
    Done(String),
    /// The statement was not served.
    Error {
        /// Kind of error.
        error: StatementError,
        /// Details of the error, in one line.
        text: String,
    },
}

plain_data! {
    /// Reply to one statement or command.
    pub struct StatementReply {
        /// Rows of the result, unchanged.
        pub rows: Vec<String>,
        /// Outcome of the statement.
        pub outcome: StatementOutcome,
        /// Transaction state after the statement.
        pub state: TransactionState,
        /// Log position that the member has applied; none if no member took part.
        pub position: Option<LogStamp>,
    }
}

impl StatementReply {
    /// Returns a successful reply that no member took part in.
    pub(crate) fn without_member(state: TransactionState) -> Self {
        let outcome = StatementOutcome::Done(String::new());
        Self { rows: Vec::new(), outcome, state, position: None }
    }

    /// Returns an error reply made by this instance itself.
    pub(crate) fn refusal(error: StatementError, text: &str, state: TransactionState) -> Self {
        let outcome = StatementOutcome::Error { error, text: text.to_owned() };
        Self { rows: Vec::new(), outcome, state, position: None }
    }

    /// Returns the length of the rows in bytes.
    pub(crate) fn rows_size(&self) -> usize {
        self.rows.iter().map(String::len).sum()
    }

    /// Returns the error of a reply that reports one.
    pub(crate) fn error(&self) -> Option<&StatementError> {
        match &self.outcome {
            StatementOutcome::Done(_) => None,
            StatementOutcome::Error { error, .. } => Some(error),
        }
    }
}
