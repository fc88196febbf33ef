//! Errors with which a member rejects statements.

use displaydoc::Display;
use rudder_core::{LogTerm, TERM_REFUSED_SQLSTATE};

/// Error of a failed statement.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum SqlError {
    /// syntax error: {0}
    Syntax(String),
    /// not supported by the stand-in: {0}
    Unsupported(String),
    /// relation "{0}" does not exist
    UnknownTable(String),
    /// column "{0}" does not exist
    UnknownColumn(String),
    /// function {0} does not exist
    UnknownFunction(String),
    /// relation "{0}" already exists
    DuplicateTable(String),
    /// duplicate key value violates unique constraint "{0}"
    UniqueViolation(String),
    /// null value in column "{0}" violates not-null constraint
    NullViolation(String),
    /// could not serialize access due to concurrent update
    Conflict,
    /// cannot execute {0} in a read-only transaction
    ReadOnly(&'static str),
    /// term {0} has been accepted
    TermRefused(LogTerm),
    /// current transaction is aborted, commands ignored until end of transaction block
    Aborted,
    /// canceling statement due to user request
    Cancelled,
    /// canceling statement due to statement timeout
    TimedOut,
    /// invalid input for type {0}: "{1}"
    InvalidText(&'static str, String),
    /// integer out of range
    OutOfRange,
    /// division by zero
    DivisionByZero,
    /// operands of types {0} and {1} do not go together
    TypeMismatch(&'static str, &'static str),
    /// sorry, too many clients already
    TooManyConnections,
    /// password authentication failed
    PasswordRefused,
    /// prepared statement "{0}" does not exist
    UnknownStatement(String),
    /// prepared statement "{0}" already exists
    DuplicateStatement(String),
    /// portal "{0}" does not exist
    UnknownPortal(String),
    /// savepoint "{0}" does not exist
    UnknownSavepoint(String),
    /// unrecognized configuration parameter "{0}"
    UnknownParameter(String),
    /// protocol violation: {0}
    Protocol(String),
    /// COPY from stdin failed: {0}
    CopyFailed(String),
    /// there is no parameter ${0}
    MissingParameter(usize),
    /// INSERT has {0} columns but {1} values
    ColumnCount(usize, usize),
    /// invalid value for the control statement: {0}
    InvalidControl(String),
}

impl SqlError {
    /// Returns the SQLSTATE code of the error.
    pub(crate) fn sqlstate(&self) -> &'static str {
        match self {
            Self::Syntax(_) | Self::ColumnCount(..) => "42601",
            Self::Unsupported(_) => "0A000",
            Self::UnknownTable(_) => "42P01",
            Self::UnknownColumn(_) => "42703",
            Self::UnknownFunction(_) => "42883",
            Self::DuplicateTable(_) => "42P07",
            Self::UniqueViolation(_) => "23505",
            Self::NullViolation(_) => "23502",
            Self::Conflict => "40001",
            Self::ReadOnly(_) => "25006",
            Self::TermRefused(_) => TERM_REFUSED_SQLSTATE,
            Self::Aborted => "25P02",
            Self::Cancelled | Self::TimedOut => "57014",
            Self::InvalidText(..) => "22P02",
            Self::OutOfRange => "22003",
            Self::DivisionByZero => "22012",
            Self::TypeMismatch(..) => "42804",
            Self::TooManyConnections => "53300",
            Self::PasswordRefused => "28P01",
            Self::UnknownStatement(_) => "26000",
            Self::DuplicateStatement(_) => "42P05",
            Self::UnknownPortal(_) => "34000",
            Self::UnknownSavepoint(_) => "3B001",
            Self::UnknownParameter(_) => "42704",
            Self::Protocol(_) => "08P01",
            Self::CopyFailed(_) => "22P04",
            Self::MissingParameter(_) => "42P02",
            Self::InvalidControl(_) => "22023",
        }
    }
}

impl std::error::Error for SqlError {}
