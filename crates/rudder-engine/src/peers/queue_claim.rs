//! Claims that may wait in the queue of an account's owner.

use rudder_core::{AccountName, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// Claim of one operation of an account, which may wait at the instance that counts for it.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct QueueClaim {
        /// Number of the claim, which is returned in the response.
        pub(crate) request_id: u64,
        pub(crate) account: AccountName,
        /// Priority of the route, 0 being the highest; `None` counts as the lowest.
        pub(crate) priority: Option<u8>,
        /// Useful wait while a grant is certain, half of the latency target.
        pub(crate) wait_ms: u32,
        /// Time to the deadline of the operation.
        pub(crate) deadline_ms: u32,
        /// Whether the operation was refused before.
        pub(crate) refused_before: bool,
        /// Reservation that the operation holds.
        pub(crate) reservation: Option<u64>,
    }
}

/// Outcome of a claim at the owner's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QueuedOutcome {
    /// The operation may run.
    Granted {
        /// Number by which the grant can be returned.
        grant: u64,
    },
    /// The claim waits; another response follows.
    Queued {
        /// Maximum time to that response.
        within_ms: u32,
    },
    /// The operation may not run now.
    Rejected {
        /// Delay after which a retry is useful.
        retry_after_ms: u32,
        /// Reservation of the token at that time.
        reservation: Option<u64>,
        /// Time for which all tokens are promised to other claims.
        promised_until_ms: Option<u32>,
    },
    /// The sender does not count for the account.
    NotOwner,
}

plain_data! {
    /// Response to a [`QueueClaim`].
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct QueuedClaim {
        /// Number of the claim.
        pub(crate) request_id: u64,
        pub(crate) outcome: QueuedOutcome,
    }
}

plain_data! {
    /// Return of a grant whose statement did not run.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct ReturnClaim {
        pub(crate) account: AccountName,
        pub(crate) grant: u64,
    }
}
