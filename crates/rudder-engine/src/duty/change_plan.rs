//! What a change of primary starts from.

use super::control::MemberReport;
use crate::lead::{ChangeCause, LeadHistory, LeadPhase, StoredRecord};
use rudder_core::MemberName;

/// What a change starts from.
#[derive(Clone, Debug)]
pub(super) struct ChangePlan {
    /// Primary before the change.
    pub(super) previous: Option<MemberName>,
    /// Whether the previous primary is draining, so that a successor has to catch up with it.
    pub(super) planned: bool,
    /// Whether the change completes that of another attempt. It may promote the previous primary
    /// again: if no other member responds, the service would otherwise be left without any primary.
    pub(super) unfinished: bool,
    /// What the record states of earlier primaries.
    pub(super) history: LeadHistory,
}

impl ChangePlan {
    pub(super) fn of(before: &StoredRecord, cause: ChangeCause) -> Self {
        // `planned` is part of the record because an instance that takes over must also wait for
        // the successor to catch up, or acknowledged commits are lost. A previous primary that has
        // stopped reports no position, and there is no wait.
        let (previous, planned) = match &before.record.phase {
            LeadPhase::Settled { primary, .. } => {
                (Some(primary.clone()), cause == ChangeCause::Leaving)
            }
            LeadPhase::Changing { previous, planned, .. } => (previous.clone(), *planned),
        };
        let unfinished = cause == ChangeCause::Unfinished;
        Self { previous, planned, unfinished, history: before.history() }
    }

    /// Returns whether the log of a member holds commits that a promotion rolled back.
    pub(super) fn was_rolled_back(&self, report: &MemberReport) -> bool {
        self.history.was_rolled_back(report.status.received)
    }
}
