//! What became of a request to a holder.

use super::wire::DeclineReason;
use crate::statement::{StatementError, StatementReply};
use displaydoc::Display;

/// Reason why a request got no response from a holder. The texts are fixed words in logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ForwardFault {
    /// connecting
    Connecting,
    /// unreachable
    Unreachable,
    /// closed
    Closed,
    /// silent
    Silent,
    /// malformed
    Malformed,
    /// timeout
    Timeout,
    /// too_large
    TooLarge,
    /// queue_full
    QueueFull,
    /// undeliverable
    Undeliverable,
}

/// Result of a request to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ForwardResult {
    Reply(StatementReply),
    /// The holder sent nothing to a member.
    Declined(DeclineReason),
    /// The holder did not receive the request.
    NotSent(ForwardFault),
    /// The holder may have run the request.
    Lost(ForwardFault),
}

impl ForwardResult {
    /// Whether a member may have run the request, or begun its transaction. The reply to a statement
    /// of a transaction does not tell whether the transaction began.
    pub(super) fn may_have_run(&self, is_transaction: bool) -> bool {
        match self {
            Self::Reply(reply) => {
                let not_run = reply.error().is_some_and(StatementError::guarantees_not_run);
                is_transaction || !not_run
            }
            Self::Declined(_) | Self::NotSent(_) => false,
            Self::Lost(_) => true,
        }
    }

    /// Whether the request is not sent to another holder: the fault is of the request, or its holder
    /// will be usable as soon as the connection to it is open.
    pub(super) fn is_of_request(&self) -> bool {
        match self {
            Self::Reply(_) => false,
            Self::Declined(reason) => {
                !matches!(reason, DeclineReason::Draining | DeclineReason::Overloaded)
            }
            Self::NotSent(fault) => {
                matches!(fault, ForwardFault::TooLarge | ForwardFault::Connecting)
            }
            Self::Lost(fault) => *fault == ForwardFault::Undeliverable,
        }
    }
}
