//! What the members' latest reports say about their group as a whole.

use crate::ack::majority_of;
use crate::ident::MemberName;
use crate::stamp::LogTerm;
use crate::status::{MemberRole, MemberStatus};

/// The state of a group, judged from the reports of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupCondition {
    /// The greatest term that any member accepted has its primary.
    Led {
        /// The primary.
        primary: MemberName,
        /// Its term.
        term: LogTerm,
        /// Whether a majority, the primary included, accepted this term.
        confirmed: bool,
        /// Members that still stand at a lower term and must be pointed to the primary.
        strays: Vec<MemberName>,
    },
    /// A member accepted a term whose primary does not answer: the primary is lost, or a
    /// succession is under way or was left in the middle.
    Leaderless {
        /// The greatest accepted term.
        term: LogTerm,
    },
    /// No member answered.
    Unheard,
}

impl GroupCondition {
    /// Whether a primary answered and no member accepted a greater term.
    ///
    /// ```
    /// assert!(!rudder_core::GroupCondition::Unheard.has_primary());
    /// ```
    #[must_use]
    pub const fn has_primary(&self) -> bool {
        matches!(self, Self::Led { .. })
    }
}

/// Judges a group of `members` members from the latest report of each that answered.
///
/// ```
/// use rudder_core::{GroupCondition, judge_group};
/// assert_eq!(judge_group(3, &[]), GroupCondition::Unheard);
/// ```
#[must_use]
pub fn judge_group(members: usize, reports: &[(MemberName, MemberStatus)]) -> GroupCondition {
    let Some(term) = reports.iter().map(|(_, status)| status.accepted).max() else {
        return GroupCondition::Unheard;
    };
    // An old primary may respond although its successor exists or is being promoted, so a member
    // counts as the primary only if no member accepted a greater term.
    let is_primary =
        |status: &MemberStatus| status.role == MemberRole::Primary && status.accepted == term;
    let Some((primary, _)) = reports.iter().find(|(_, status)| is_primary(status)) else {
        return GroupCondition::Leaderless { term };
    };
    let accepting_count = reports.iter().filter(|(_, status)| status.accepted == term).count();
    let is_behind = |status: &MemberStatus| status.accepted < term;
    let strays = reports.iter().filter(|(_, status)| is_behind(status));
    GroupCondition::Led {
        primary: primary.clone(),
        term,
        confirmed: accepting_count >= majority_of(members),
        strays: strays.map(|(name, _)| name.clone()).collect(),
    }
}
