//! Handling of the replies of members to the statements of a plan.

use super::plan::SuccessionPlan;
use super::plan_phase::{PlanPhase, SentStatement};
use super::plan_step::{PlanReply, PlanState};
use crate::control::ControlStatement;
use crate::status::{MemberRole, MemberStatus};
use std::time::Duration;

impl SuccessionPlan {
    pub(super) fn handle_status(
        &mut self,
        now: Duration,
        index: usize,
        sent: &SentStatement,
        status: MemberStatus,
    ) {
        let progress = &mut self.progress[index];
        progress.attempted = true;
        progress.due_at = now + self.timeouts.retry;
        match &sent.statement {
            // A member counts as fenced only if it reports the plan's term. A member at a lower
            // term would continue to receive the old primary's writes after its log was compared.
            ControlStatement::Fence(_) if status.accepted == self.term => {
                progress.fenced = Some(status);
            }
            ControlStatement::Follow(..) if status.accepted == self.term => {
                progress.follows = true;
            }
            _ => {}
        }
        self.advance_candidate(now, index, sent, status);
    }

    pub(super) fn advance_candidate(
        &mut self,
        now: Duration,
        index: usize,
        sent: &SentStatement,
        status: MemberStatus,
    ) {
        let name = self.progress[index].member.name.clone();
        let is_primary = status.role == MemberRole::Primary && status.accepted == self.term;
        let candidate_lost = || PlanPhase::Ended(PlanState::CandidateLost(name.clone()));
        let next = match &self.phase {
            PlanPhase::CatchingUp { target, goal, .. } if *target == name => {
                let caught_up = self.progress[index].follows && status.received >= *goal;
                let promoting = PlanPhase::Promoting { candidate: name.clone(), since: now };
                caught_up.then_some(promoting)
            }
            PlanPhase::Promoting { candidate, .. } if *candidate == name && is_primary => {
                Some(PlanPhase::Following { candidate: name.clone(), last_status_at: now })
            }
            PlanPhase::Following { candidate, .. } if *candidate == name && is_primary => {
                Some(PlanPhase::Following { candidate: name.clone(), last_status_at: now })
            }
            PlanPhase::Following { candidate, .. } if *candidate == name => Some(candidate_lost()),
            // Only a status that was requested after a majority followed shows that the new primary
            // was still running then. An older status must not make the group writable.
            PlanPhase::Confirming { candidate, since }
                if *candidate == name && is_primary && sent.sent_at >= *since =>
            {
                Some(PlanPhase::Ended(PlanState::Done(name.clone())))
            }
            PlanPhase::Confirming { candidate, .. } if *candidate == name && !is_primary => {
                Some(candidate_lost())
            }
            PlanPhase::Confirming { candidate, .. } if *candidate == name => {
                self.progress[index].due_at = now;
                None
            }
            _ => None,
        };
        if let Some(phase) = next {
            self.enter(phase, now);
        }
    }

    pub(super) fn handle_failure(
        &mut self,
        now: Duration,
        index: usize,
        sent: &SentStatement,
        reply: PlanReply,
    ) {
        let retry = self.timeouts.retry;
        let progress = &mut self.progress[index];
        progress.attempted = true;
        progress.due_at = now + retry;
        let name = progress.member.name.clone();
        match &self.phase {
            // A suspended member may run an unanswered `follow` statement late. If the target had
            // been promoted by then, the statement would make it a replica again and truncate its
            // log, so a target whose `follow` was not answered is never promoted at this term.
            PlanPhase::CatchingUp { target, .. }
                if *target == name && matches!(sent.statement, ControlStatement::Follow(..)) =>
            {
                self.promote_most_advanced(now);
            }
            PlanPhase::Promoting { candidate, .. }
                if *candidate == name && reply == PlanReply::Refused =>
            {
                self.phase = PlanPhase::Ended(PlanState::CandidateLost(name));
            }
            _ => {}
        }
    }
}
