//! Selection of the fenced member that is promoted.

use super::plan_step::PlanMember;
use crate::status::MemberStatus;
use std::cmp::Reverse;

/// Returns the member with the most advanced log; among equal logs, the one with the lowest
/// preference number.
///
/// ```
/// use rudder_core::{LogStamp, MemberRole, MemberStatus, PlanMember, choose_candidate};
/// let member = |name: &str, preference| PlanMember { name: name.parse().unwrap(), preference };
/// let status = |received| MemberStatus {
///     role: MemberRole::Replica,
///     accepted: rudder_core::LogTerm(2),
///     received,
///     applied: received,
/// };
/// let (first, second) = (member("a", 0), member("b", 1));
/// let fenced = [(&first, status(LogStamp::new(1, 4))), (&second, status(LogStamp::new(1, 5)))];
/// assert_eq!(choose_candidate(&fenced).unwrap().0.name.as_str(), "b");
/// ```
#[must_use]
pub fn choose_candidate<'a>(
    fenced: &[(&'a PlanMember, MemberStatus)],
) -> Option<(&'a PlanMember, MemberStatus)> {
    // Every acknowledged write is covered by the received stamp of at least one member of the
    // fenced majority, so the most advanced log contains all of them.
    let rank =
        |entry: &&(&PlanMember, MemberStatus)| (entry.1.received, Reverse(entry.0.preference));
    fenced.iter().max_by_key(rank).copied()
}
