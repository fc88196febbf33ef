//! What a keeper tells the rest of its instance about a group. A hint: it chooses what to try
//! first, and every promise is checked in band.

use rudder_core::{LogStamp, LogTerm, MemberName, MemberStatus, ServiceName};
use tokio::time::Instant;

/// The latest report of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberReport {
    /// The member.
    pub(crate) member: MemberName,
    /// When the question was sent.
    pub(crate) requested_at: Instant,
    /// What the member answered, if it did.
    pub(crate) status: Option<MemberStatus>,
}

/// The state of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupView {
    /// The group's service.
    pub(crate) service: ServiceName,
    /// The greatest term that any member accepted.
    pub(crate) term: LogTerm,
    /// The primary of that term; none while it has none.
    pub(crate) primary: Option<MemberName>,
    /// When the earliest question was sent of those by which a majority confirmed the primary.
    pub(crate) confirmed_at: Option<Instant>,
    /// How far the confirmed primary's log went by then.
    pub(crate) confirmed_stamp: Option<LogStamp>,
    /// Whether a planned switch is under way, so that new writes had better wait.
    pub(crate) switching: bool,
    /// The members' latest reports, sorted by name.
    pub(crate) members: Vec<MemberReport>,
}
