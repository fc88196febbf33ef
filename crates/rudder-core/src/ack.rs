//! Decision whether a commit may be acknowledged.
//!
//! A commit at term T and position P is acknowledged once a majority of the members, including the
//! primary, report that T is the highest term they accepted and that they received P. A promotion
//! must first fence a majority, and the two majorities share at least one member. If that member
//! reported before it was fenced, the promotion sees P and keeps it; if it reported after it was
//! fenced, its report shows the greater term and does not count.

use crate::ident::MemberName;
use crate::stamp::{LogStamp, LogTerm};
use crate::status::{MemberRole, MemberStatus};

/// The decision on a commit from the reports received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckDecision {
    /// A majority reports the commit at the commit's own term.
    Acknowledged,
    /// Too few members have reported the commit so far, and none reported a greater term.
    Waiting,
    /// A member accepted a greater term: this commit can no longer be acknowledged.
    Superseded,
}

/// Returns how many of `members` are a majority.
///
/// ```
/// assert_eq!(rudder_core::majority_of(3), 2);
/// assert_eq!(rudder_core::majority_of(4), 3);
/// ```
#[must_use]
pub const fn majority_of(members: usize) -> usize {
    members / 2 + 1
}

/// Decides whether a commit is acknowledged, from one report per member.
///
/// `reports` holds the latest report of each member that was requested after the commit.
///
/// ```
/// use rudder_core::{AckDecision, LogStamp, decide_commit};
/// assert_eq!(decide_commit(LogStamp::new(1, 9), 3, &[]), AckDecision::Waiting);
/// ```
#[must_use]
pub fn decide_commit(
    commit: LogStamp,
    members: usize,
    reports: &[(MemberName, MemberStatus)],
) -> AckDecision {
    // Without this check, an isolated primary that does not know of its successor would
    // acknowledge writes that the successor never receives.
    if reports.iter().any(|(_, status)| status.accepted > commit.term) {
        return AckDecision::Superseded;
    }
    let holds = |status: &MemberStatus| status.accepted == commit.term && status.received >= commit;
    let accepting_count = reports.iter().filter(|(_, status)| holds(status)).count();
    if accepting_count >= majority_of(members) {
        AckDecision::Acknowledged
    } else {
        AckDecision::Waiting
    }
}

/// Returns a stamp at or after a commit made at `term`, from the member's status after the commit,
/// or `None` if the member may have dropped the commit since.
///
/// If the log is empty, nothing was committed and its default stamp is returned.
///
/// ```
/// use rudder_core::{LogStamp, LogTerm, MemberRole, MemberStatus, stamp_of_commit};
/// let received = LogStamp::new(2, 9);
/// let role = MemberRole::Primary;
/// let after = MemberStatus { role, accepted: LogTerm(2), received, applied: received };
/// assert_eq!(stamp_of_commit(LogTerm(2), &after), Some(received));
/// ```
#[must_use]
pub fn stamp_of_commit(term: LogTerm, after: &MemberStatus) -> Option<LogStamp> {
    // A member that was superseded and promoted again after the commit may report a log from which
    // the commit was dropped. Terms only grow, so if the term is the same before and after, no
    // other member was promoted in between.
    let still_primary = after.role == MemberRole::Primary && after.accepted == term;
    let at_term = after.received == LogStamp::default() || after.received.term == term;
    (still_primary && at_term).then_some(after.received)
}

/// Decides whether `term` is still the greatest term that a majority accepted, for a read that must
/// see the newest data. `reports` holds reports that were requested after the read arrived.
///
/// ```
/// use rudder_core::{AckDecision, LogTerm, decide_term};
/// assert_eq!(decide_term(LogTerm(1), 3, &[]), AckDecision::Waiting);
/// ```
#[must_use]
pub fn decide_term(
    term: LogTerm,
    members: usize,
    reports: &[(MemberName, MemberStatus)],
) -> AckDecision {
    // Without this check, an isolated primary would serve outdated data as current.
    if reports.iter().any(|(_, status)| status.accepted > term) {
        return AckDecision::Superseded;
    }
    let accepting_count = reports.iter().filter(|(_, status)| status.accepted == term).count();
    if accepting_count >= majority_of(members) {
        AckDecision::Acknowledged
    } else {
        AckDecision::Waiting
    }
}
