//! What became of a request to a holder.

use super::wire::DeclineReason;
use crate::statement::StatementReply;
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
