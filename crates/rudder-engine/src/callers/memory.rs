//! Memory that callers occupy at this instance.

use rudder_core::ByteSize;
use rudder_decisions::{MachineLimits, MemoryBudget, MemoryReservation};
use std::sync::Arc;

/// Exempt amount of the input of a connection.
const INPUT_EXEMPT: ByteSize = ByteSize(4 * 1024);

/// Exempt amount of a running request, several times its usual size.
const REQUEST_EXEMPT: ByteSize = ByteSize(8 * 1024);

/// Exempt amount of a session's values and prepared statements.
const SESSION_EXEMPT: ByteSize = ByteSize(1024);

/// Budgets for the memory of callers.
pub(crate) struct CallerMemory {
    requests: Arc<MemoryBudget>,
    sessions: Arc<MemoryBudget>,
    replies: Arc<MemoryBudget>,
}

impl CallerMemory {
    pub(crate) fn new(limits: &MachineLimits) -> Self {
        Self {
            requests: MemoryBudget::new(limits.request_memory()),
            sessions: MemoryBudget::new(limits.session_memory()),
            replies: MemoryBudget::new(limits.reply_memory()),
        }
    }

    /// Budget for replies that are being sent to other instances.
    pub(crate) fn replies(&self) -> &Arc<MemoryBudget> {
        &self.replies
    }

    /// Returns the reservation of the input of a caller's connection.
    pub(crate) fn input_reservation(&self) -> MemoryReservation {
        self.requests.reservation(INPUT_EXEMPT)
    }

    /// Returns the reservation of a caller's request.
    pub(crate) fn request_reservation(&self) -> MemoryReservation {
        self.requests.reservation(REQUEST_EXEMPT)
    }

    /// Returns the reservation of what a session keeps.
    pub(crate) fn session_reservation(&self) -> MemoryReservation {
        self.sessions.reservation(SESSION_EXEMPT)
    }
}
