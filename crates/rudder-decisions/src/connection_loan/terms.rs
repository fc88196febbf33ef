//! Inputs and results of the decisions on loans.

use std::net::SocketAddr;
use std::time::Duration;

/// Use of this instance's connections to one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberUse {
    /// Share of this instance, without loans.
    pub share: u32,
    /// Connections in use or being opened.
    pub in_use: u32,
    /// Maximum number in use during about the last second.
    pub recent_peak: u32,
    /// Callers that wait for a connection to this member.
    pub waiting: u32,
    /// Highest priority among the waiting callers; 0 is the highest.
    pub priority: u8,
    /// Whether a new connection could be opened now, as far as the member is known to accept it.
    pub may_dial: bool,
}

/// A received request for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequestTerms {
    /// Id chosen by the borrower, which names the loan afterwards.
    pub request_id: u64,
    /// Address of the borrower.
    pub borrower: SocketAddr,
    /// Number of connections wanted.
    pub count: u32,
    /// Whether callers of the highest priority wait for them.
    pub is_urgent: bool,
    /// Number of the renewal of an existing loan; 0 for a new loan.
    pub renewal: u32,
}

/// Reason why nothing was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanRefusal {
    /// The request asks for nothing.
    Invalid,
    /// The loan to be renewed has ended at the lender.
    Ended,
    /// The lender has just started, so an earlier process may have lent its connections.
    Starting,
    /// Callers of the lender wait.
    CallersWait,
    /// The lender has borrowed connections itself.
    Borrowing,
    /// The lender uses or recently used its connections.
    NoSpare,
}

impl LoanRefusal {
    /// Returns the fixed word for logs and metrics.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::LoanRefusal::NoSpare.code(), "no_spare");
    /// ```
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::Ended => "ended",
            Self::Starting => "starting",
            Self::CallersWait => "callers_wait",
            Self::Borrowing => "borrowing",
            Self::NoSpare => "no_spare",
        }
    }
}

/// Decision of a lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanDecision {
    /// Connections are lent.
    Lent {
        /// Number of connections.
        count: u32,
        /// Validity, counted by the borrower from when it sent the request.
        validity: Duration,
    },
    /// Nothing is lent.
    Refused(LoanRefusal),
}

/// A received response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanResponseTerms {
    /// Id of the request.
    pub request_id: u64,
    /// Number of the renewal that the request asked for; 0 for a new loan.
    pub renewal: u32,
    /// Number of connections; 0 if refused.
    pub count: u32,
    /// Validity, counted from when the request was sent.
    pub validity: Duration,
}

/// Effect of a received response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// Connections were borrowed.
    Borrowed(u32),
    /// A loan is valid for longer.
    Renewed,
    /// The lender refused.
    Refused,
    /// The response repeats that of a loan in use and has no effect.
    Repeated,
    /// No such request is pending, or the loan has ended; a loan that it grants has to be returned.
    Unknown,
}

/// Reason why a loan ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// No caller needed it for a short time.
    Unused,
    /// The lender needs it.
    Recalled,
    /// Its validity ends.
    Expired,
    /// Loans are no longer used.
    Disabled,
    /// This instance does not know it.
    Unknown,
}

impl ReturnReason {
    /// Returns the fixed word for logs and metrics.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::ReturnReason::Recalled.code(), "recalled");
    /// ```
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::Recalled => "recalled",
            Self::Expired => "expired",
            Self::Disabled => "disabled",
            Self::Unknown => "unknown",
        }
    }
}

/// Message to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanAction {
    /// Returns a loan to its lender.
    Return {
        /// Lender.
        lender: SocketAddr,
        /// Loan.
        request_id: u64,
        /// Reason.
        reason: ReturnReason,
    },
    /// Recalls a loan from its borrower.
    Recall {
        /// Borrower.
        borrower: SocketAddr,
        /// Loan.
        request_id: u64,
    },
    /// Asks for connections.
    Request {
        /// Lender.
        lender: SocketAddr,
        /// Id of the request.
        request_id: u64,
        /// Number of connections wanted.
        count: u32,
        /// Number of the renewal of an existing loan; 0 for a new loan.
        renewal: u32,
    },
    /// A loan expired while its connection was in use, which is closed after that use; nothing is
    /// sent.
    Overdue {
        /// Lender.
        lender: SocketAddr,
    },
    /// A lender did not respond; nothing is sent.
    Unanswered {
        /// Lender.
        lender: SocketAddr,
    },
}
