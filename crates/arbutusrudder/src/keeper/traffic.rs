//! What reaches a keeper from the traffic that flows anyway.

use rudder_core::{MemberName, MemberStatus};
use tokio::time::Instant;

/// What a request showed about a member. It stands in for a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TrafficReport {
    /// The member.
    pub(crate) member: MemberName,
    /// When the question was sent.
    pub(crate) requested_at: Instant,
    /// The member's status, or none if the request failed or timed out.
    pub(crate) status: Option<MemberStatus>,
}
