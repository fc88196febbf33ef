//! Messages about owners of an account's limit that an instance cannot reach itself.

use rudder_core::{AccountName, InstanceName, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// Request to a relay to probe an owner of an account.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RelayProbe {
        /// Number of the request, which is returned in the response.
        pub(crate) request_id: u64,
        pub(crate) account: AccountName,
        pub(crate) owner: InstanceName,
    }
}

plain_data! {
    /// Response of a relay, or evidence that a claimant sends along with its claim.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RelayedProbe {
        /// Number of the request; [`EVIDENCE_ID`] for evidence without a request.
        pub(crate) request_id: u64,
        pub(crate) account: AccountName,
        pub(crate) owner: InstanceName,
        /// Whether the owner counts the account's operations.
        pub(crate) grants: bool,
        /// For evidence, the time since the owner decided a claim of the sender; otherwise zero.
        pub(crate) age_ms: u32,
    }
}

/// Request number of evidence that no request asked for.
pub(crate) const EVIDENCE_ID: u64 = 0;
