//! The decision whether the result of a read at a member may be returned to the caller.

use super::samples::FreshnessSamples;
use crate::plain_data;
use crate::stamp::LogStamp;
use crate::status::MemberStatus;
use std::time::Duration;

plain_data! {
    /// The consistency requirements of a read.
    #[derive(Copy)]
    pub struct ReadRequirement {
        /// The minimum stamp for its session; `None` if the session has written nothing.
        pub floor: Option<LogStamp>,
        /// Maximum age of the data that the kind of caller accepts.
        pub bound: Duration,
        /// The time at which the age is measured: the present, or for a bound of zero the time at
        /// which the read reached this proxy.
        pub as_of: Duration,
    }
}

/// The decision on a read at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadDecision {
    /// The result may be returned to the caller.
    Serve,
    /// The member has not applied the minimum stamp of the session.
    TooOldForSession,
    /// The data is older than the bound, or its age is unknown.
    TooOldForBound,
}

/// Decides whether a read may be served, from the member's own status. The status must have been
/// taken on the same connection before the read ran, so that the read sees at least the log that
/// the status reports.
///
/// ```
/// use rudder_core::{
///     FreshnessSamples, LogStamp, LogTerm, MemberRole, MemberStatus, ReadDecision, ReadRequirement,
/// };
/// use std::time::Duration;
/// let applied = LogStamp::new(1, 4);
/// let role = MemberRole::Replica;
/// let status = MemberStatus { role, accepted: LogTerm(1), received: applied, applied };
/// let floor = Some(LogStamp::new(1, 5));
/// let bound = Duration::from_secs(1);
/// let requirement = ReadRequirement { floor, bound, as_of: Duration::ZERO };
/// let decision = rudder_core::decide_read(&status, &requirement, &FreshnessSamples::default());
/// assert_eq!(decision, ReadDecision::TooOldForSession);
/// ```
#[must_use]
pub fn decide_read(
    status: &MemberStatus,
    requirement: &ReadRequirement,
    samples: &FreshnessSamples,
) -> ReadDecision {
    // Otherwise a session could miss its own write at a lagging member. Stamps compare by term
    // first: a member with a longer log of an older term may lack the write.
    if requirement.floor.is_some_and(|floor| status.applied < floor) {
        return ReadDecision::TooOldForSession;
    }
    // Otherwise a lagging replica or an isolated primary could serve outdated data as current.
    // Without a confirmed sample the age is unknown, which is treated as too old.
    match samples.age_of(status.applied, requirement.as_of) {
        Some(age) if age <= requirement.bound => ReadDecision::Serve,
        _ => ReadDecision::TooOldForBound,
    }
}
