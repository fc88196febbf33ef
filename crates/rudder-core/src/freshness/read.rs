//! Whether a member's answer to a read may go to the caller.

use super::ledger::AgeLedger;
use crate::plain_data;
use crate::stamp::LogStamp;
use crate::status::MemberStatus;
use std::time::Duration;

plain_data! {
    /// What a read must see.
    #[derive(Copy)]
    pub struct ReadNeed {
        /// The least stamp for its session; none if the session has written nothing.
        pub floor: Option<LogStamp>,
        /// The greatest age that the kind of caller accepts.
        pub bound: Duration,
        /// The moment against which the age counts: the present, or for a bound of zero the
        /// moment at which the read reached this proxy.
        pub as_of: Duration,
    }
}

/// The verdict over a read at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadVerdict {
    /// The answer may go to the caller.
    Serve,
    /// The member has not applied what the session must see.
    TooOldForSession,
    /// The answer is older than the bound, or its age is unknown.
    TooOldForBound,
}

/// Judges a read from the member's own status, which must have been taken on the same connection
/// before the read ran, so that the read sees at least that much.
///
/// ```
/// use rudder_core::{AgeLedger, LogStamp, LogTerm, MemberRole, MemberStatus, ReadNeed, ReadVerdict};
/// use std::time::Duration;
/// let applied = LogStamp::new(1, 4);
/// let role = MemberRole::Replica;
/// let status = MemberStatus { role, accepted: LogTerm(1), received: applied, applied };
/// let floor = Some(LogStamp::new(1, 5));
/// let need = ReadNeed { floor, bound: Duration::from_secs(1), as_of: Duration::ZERO };
/// let verdict = rudder_core::judge_read(&status, &need, &AgeLedger::default());
/// assert_eq!(verdict, ReadVerdict::TooOldForSession);
/// ```
#[must_use]
pub fn judge_read(status: &MemberStatus, need: &ReadNeed, ledger: &AgeLedger) -> ReadVerdict {
    // Guards against a session that misses its own write at a lagging member. Terms compare
    // first: a member with a longer log of an older term may lack the write.
    if need.floor.is_some_and(|floor| status.applied < floor) {
        return ReadVerdict::TooOldForSession;
    }
    // Guards against an old picture shown as today's, by a lagging replica or by an isolated
    // primary: without a confirmed sample the age is unknown, and unknown is too old.
    match ledger.age_of(status.applied, need.as_of) {
        Some(age) if age <= need.bound => ReadVerdict::Serve,
        _ => ReadVerdict::TooOldForBound,
    }
}
