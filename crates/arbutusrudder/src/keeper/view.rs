//! State of a group as its keeper publishes it within the instance. It is a hint for routing: every
//! consistency guarantee is checked against the members' responses.

use rudder_core::{LogStamp, LogTerm, MemberName, MemberStatus, ServiceName};
use tokio::time::Instant;

/// The latest report of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberReport {
    /// The member.
    pub(crate) member: MemberName,
    /// When the request was sent.
    pub(crate) requested_at: Instant,
    /// The member's status, or none if the request failed.
    pub(crate) status: Option<MemberStatus>,
}

/// The state of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupView {
    /// The group's service.
    pub(crate) service: ServiceName,
    /// The greatest term that any member accepted.
    pub(crate) term: LogTerm,
    /// The confirmed primary of that term, if any.
    pub(crate) primary: Option<MemberName>,
    /// When the earliest of the requests was sent by which a majority confirmed the primary.
    pub(crate) confirmed_at: Option<Instant>,
    /// The confirmed primary's log position at that time.
    pub(crate) confirmed_stamp: Option<LogStamp>,
    /// Whether a planned switch is in progress, so that new writes should wait.
    pub(crate) switching: bool,
    /// The members' latest reports, sorted by name.
    pub(crate) members: Vec<MemberReport>,
}
