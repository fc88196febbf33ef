//! Member statuses that the keeper takes from callers' requests and from the instance's own probes.

use rudder_core::{MemberName, MemberStatus};
use tokio::time::Instant;

/// Status of a member, observed with a request. It replaces a probe by the keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TrafficReport {
    /// The member.
    pub(crate) member: MemberName,
    /// When the request was sent.
    pub(crate) requested_at: Instant,
    /// The member's status, or none if the request failed or timed out.
    pub(crate) status: Option<MemberStatus>,
}
