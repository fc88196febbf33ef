//! The condition of a group, derived from the latest reports of its members.

use crate::ack::majority_of;
use crate::ident::MemberName;
use crate::stamp::LogTerm;
use crate::status::{MemberRole, MemberStatus};

/// The condition of a group according to the reports of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupCondition {
    /// The primary of the greatest accepted term responded.
    HasPrimary {
        /// The primary.
        primary: MemberName,
        /// Its term.
        term: LogTerm,
        /// Whether a majority, the primary included, accepted this term.
        confirmed: bool,
        /// Members that accepted only a lower term and must be made to replicate from the primary.
        members_behind: Vec<MemberName>,
    },
    /// No primary of the greatest accepted term responded: the primary has failed, or a
    /// succession is in progress or was interrupted.
    NoPrimary {
        /// The greatest accepted term.
        term: LogTerm,
    },
    /// No member responded.
    NoReports,
}

impl GroupCondition {
    /// Returns whether a primary responded and no member accepted a greater term.
    ///
    /// ```
    /// assert!(!rudder_core::GroupCondition::NoReports.has_primary());
    /// ```
    #[must_use]
    pub const fn has_primary(&self) -> bool {
        matches!(self, Self::HasPrimary { .. })
    }
}

/// Returns the condition of a group of `members` members, from the latest report of each member that
/// responded.
///
/// ```
/// use rudder_core::{GroupCondition, assess_group};
/// assert_eq!(assess_group(3, &[]), GroupCondition::NoReports);
/// ```
#[must_use]
pub fn assess_group(members: usize, reports: &[(MemberName, MemberStatus)]) -> GroupCondition {
    let Some(term) = reports.iter().map(|(_, status)| status.accepted).max() else {
        return GroupCondition::NoReports;
    };
    // An old primary may respond although its successor exists or is being promoted, so a member
    // counts as the primary only if no member accepted a greater term.
    let is_primary =
        |status: &MemberStatus| status.role == MemberRole::Primary && status.accepted == term;
    let Some((primary, _)) = reports.iter().find(|(_, status)| is_primary(status)) else {
        return GroupCondition::NoPrimary { term };
    };
    let accepting_count = reports.iter().filter(|(_, status)| status.accepted == term).count();
    let is_behind = |status: &MemberStatus| status.accepted < term;
    let members_behind = reports.iter().filter(|(_, status)| is_behind(status));
    GroupCondition::HasPrimary {
        primary: primary.clone(),
        term,
        confirmed: accepting_count >= majority_of(members),
        members_behind: members_behind.map(|(name, _)| name.clone()).collect(),
    }
}
