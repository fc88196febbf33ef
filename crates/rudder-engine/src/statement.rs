//! What callers ask for and what members answer, free of any wire format.

use displaydoc::Display;
use rudder_core::{LogStamp, LogTerm, plain_data};
use std::fmt;

/// The caller's own name of one request; it is passed on unchanged and names the request in logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestId(pub String);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether a prepared statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementEffect {
    /// It only reads.
    Read,
    /// It may change data.
    Write,
}

plain_data! {
    /// What a prepared statement does, apart from its name.
    #[derive(PartialOrd, Ord)]
    pub struct StatementShape {
        /// Whether it may change data.
        pub effect: StatementEffect,
        /// The statement itself, opaque to the engine.
        pub shape: String,
    }
}

impl StatementShape {
    /// The name under which connections know this shape. It follows from the shape alone, so that
    /// the names of different callers cannot collide on a shared connection.
    pub(crate) fn alias(&self) -> String {
        match self.effect {
            StatementEffect::Read => format!("r_{}", self.shape),
            StatementEffect::Write => format!("w_{}", self.shape),
        }
    }
}

plain_data! {
    /// A named value of a session.
    #[derive(PartialOrd, Ord)]
    pub struct SessionValue {
        /// The value's name.
        pub name: String,
        /// The value.
        pub value: String,
    }
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerStatement {
    /// Begins a transaction.
    Begin {
        /// Whether the caller promises only to read.
        read_only: bool,
    },
    /// Ends a transaction and keeps its changes.
    Commit,
    /// Ends a transaction and drops its changes.
    Rollback,
    /// Reads; the text is passed on unchanged.
    Read(String),
    /// Writes; the text is passed on unchanged.
    Write(String),
    /// Sets a value of the session.
    SetValue(SessionValue),
    /// Gives a name to a statement.
    Prepare {
        /// The name, valid for this session.
        name: String,
        /// What the name stands for.
        shape: StatementShape,
    },
    /// Runs a named statement.
    Execute {
        /// The name.
        name: String,
        /// What follows the name, unchanged.
        arguments: String,
    },
    /// Forgets a name.
    Deallocate(String),
    /// Not a statement that the protocol knows.
    Malformed,
}

/// What a member is asked to run for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementBody {
    /// A text, unchanged.
    Text(String),
    /// A statement that was prepared on this connection.
    Execute {
        /// The name that this connection knows.
        alias: String,
        /// What follows the name, unchanged.
        arguments: String,
    },
    /// The end of the transaction.
    Commit,
}

/// One command to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Clears values and prepared names.
    Reset,
    /// Sets a value.
    SetValue(SessionValue),
    /// Prepares a shape under its alias.
    Prepare {
        /// The name on this connection.
        alias: String,
        /// The shape.
        shape: StatementShape,
    },
    /// Begins a transaction.
    Begin {
        /// Whether a replica may serve it.
        read_only: bool,
        /// What the member's log must hold.
        floor: Option<LogStamp>,
    },
    /// Drops the transaction.
    Rollback,
    /// Asks for role, term and log positions.
    Status,
    /// Makes a primary of a lower term a replica.
    StepDown(LogTerm),
    /// A caller's statement.
    Statement {
        /// The caller's id of the request.
        id: RequestId,
        /// What the member's log must hold; only for reads outside of transactions.
        floor: Option<LogStamp>,
        /// What to run.
        body: StatementBody,
    },
}

/// The state of a connection between statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// Outside of transactions.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed.
    Failed,
}

/// Why a statement was not served. The texts are the sentences that callers see.
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
    /// The fixed word in logs and metrics.
    pub(crate) fn word(&self) -> &'static str {
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

    /// Whether the member says with this error that it ran nothing.
    pub(crate) fn ran_nothing(&self) -> bool {
        matches!(self, Self::Busy | Self::Lagging | Self::ReadOnly | Self::UnknownName)
    }
}

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// It was served; the text is the member's proof of it, empty if no member was asked.
    Done(String),
    /// It was not served.
    Error {
        /// The kind of error.
        error: StatementError,
        /// What else is to be said, in one line.
        text: String,
    },
}

plain_data! {
    /// An answer to one statement or command.
    pub struct StatementReply {
        /// The rows, unchanged.
        pub rows: Vec<String>,
        /// How it ended.
        pub outcome: StatementOutcome,
        /// The state after it.
        pub state: TransactionState,
        /// How far the member's log is applied; none if no member was asked.
        pub position: Option<LogStamp>,
    }
}

impl StatementReply {
    /// An answer that needed no member.
    pub(crate) fn local(state: TransactionState) -> Self {
        let outcome = StatementOutcome::Done(String::new());
        Self { rows: Vec::new(), outcome, state, position: None }
    }

    /// A refusal of this instance's own.
    pub(crate) fn refusal(error: StatementError, text: &str, state: TransactionState) -> Self {
        let outcome = StatementOutcome::Error { error, text: text.to_owned() };
        Self { rows: Vec::new(), outcome, state, position: None }
    }

    /// The error, if it is one.
    pub(crate) fn error(&self) -> Option<&StatementError> {
        match &self.outcome {
            StatementOutcome::Done(_) => None,
            StatementOutcome::Error { error, .. } => Some(error),
        }
    }
}
