//! Transitions between the phases of a plan, and the statements that each phase sends.

use super::candidate::choose_candidate;
use super::plan::SuccessionPlan;
use super::plan_phase::{MemberProgress, PlanPhase};
use super::plan_step::{PlanMember, PlanState};
use crate::ack::majority_of;
use crate::control::ControlStatement;
use crate::ident::MemberName;
use crate::status::MemberStatus;
use std::time::Duration;

impl SuccessionPlan {
    /// Returns the next statement for a member that has none in flight, to be sent once it is due.
    pub(super) fn next_statement(&self, progress: &MemberProgress) -> Option<ControlStatement> {
        if progress.in_flight.is_some() {
            return None;
        }
        let name = &progress.member.name;
        match &self.phase {
            PlanPhase::Fencing { .. } => {
                progress.fenced.is_none().then_some(ControlStatement::Fence(self.term))
            }
            PlanPhase::CatchingUp { target, .. } if target != name => None,
            PlanPhase::CatchingUp { .. } if progress.follows => Some(ControlStatement::Status),
            PlanPhase::CatchingUp { source, .. } => {
                Some(ControlStatement::Follow(self.term, source.clone()))
            }
            PlanPhase::Promoting { candidate, .. } => {
                (candidate == name).then_some(ControlStatement::Promote(self.term))
            }
            PlanPhase::Following { candidate, .. } | PlanPhase::Confirming { candidate, .. } => {
                self.statement_after_promotion(progress, candidate)
            }
            PlanPhase::Ended(_) => None,
        }
    }

    pub(super) fn statement_after_promotion(
        &self,
        progress: &MemberProgress,
        candidate: &MemberName,
    ) -> Option<ControlStatement> {
        if progress.member.name == *candidate {
            return Some(ControlStatement::Status);
        }
        let follow = || ControlStatement::Follow(self.term, candidate.clone());
        (!progress.follows).then(follow)
    }

    pub(super) fn advance(&mut self, now: Duration) {
        match self.phase.clone() {
            PlanPhase::Fencing { majority_since } => self.advance_fencing(now, majority_since),
            PlanPhase::CatchingUp { since, .. } if self.has_timed_out(now, since) => {
                self.promote_most_advanced(now);
            }
            // The unanswered promotion may have taken effect. Promoting another member at this term
            // could make two primaries of one term, so the plan ends and the driver continues at a
            // new term.
            PlanPhase::Promoting { candidate, since }
            | PlanPhase::Confirming { candidate, since }
                if self.has_timed_out(now, since) =>
            {
                self.phase = PlanPhase::Ended(PlanState::CandidateLost(candidate));
            }
            PlanPhase::Following { candidate, last_status_at }
                if self.has_timed_out(now, last_status_at) =>
            {
                self.phase = PlanPhase::Ended(PlanState::CandidateLost(candidate));
            }
            PlanPhase::Following { candidate, .. } if self.majority_follows() => {
                self.enter(PlanPhase::Confirming { candidate, since: now }, now);
            }
            _ => {}
        }
    }

    pub(super) fn advance_fencing(&mut self, now: Duration, majority_since: Option<Duration>) {
        let fenced = self.progress.iter().filter(|progress| progress.fenced.is_some()).count();
        // Every acknowledged write was received by a majority, and only another majority is certain
        // to share a member with it. With fewer fenced members, acknowledged writes could be lost.
        if fenced < majority_of(self.progress.len()) {
            return;
        }
        let since = majority_since.unwrap_or(now);
        self.phase = PlanPhase::Fencing { majority_since: Some(since) };
        let all_attempted = self.progress.iter().all(|progress| progress.attempted);
        if all_attempted || now >= since + self.timeouts.grace {
            self.finish_fencing(now);
        }
    }

    pub(super) fn finish_fencing(&mut self, now: Duration) {
        let fenced = self.fenced_members();
        let Some((best, best_status)) = choose_candidate(&fenced) else { return };
        let target = fenced.iter().find(|(member, _)| Some(&member.name) == self.target.as_ref());
        let phase = match target {
            Some((target, status)) if status.received < best_status.received => {
                PlanPhase::CatchingUp {
                    target: target.name.clone(),
                    source: best.name.clone(),
                    goal: best_status.received,
                    since: now,
                }
            }
            Some((target, _)) => {
                PlanPhase::Promoting { candidate: target.name.clone(), since: now }
            }
            None => PlanPhase::Promoting { candidate: best.name.clone(), since: now },
        };
        self.enter(phase, now);
    }

    pub(super) fn promote_most_advanced(&mut self, now: Duration) {
        let fenced = self.fenced_members();
        let Some((best, _)) = choose_candidate(&fenced) else { return };
        let candidate = best.name.clone();
        for progress in &mut self.progress {
            progress.follows = false;
        }
        self.enter(PlanPhase::Promoting { candidate, since: now }, now);
    }

    pub(super) fn fenced_members(&self) -> Vec<(&PlanMember, MemberStatus)> {
        let mut fenced = Vec::new();
        for progress in &self.progress {
            fenced.extend(progress.fenced.map(|status| (&progress.member, status)));
        }
        fenced
    }

    pub(super) fn enter(&mut self, phase: PlanPhase, now: Duration) {
        let is_same_phase = std::mem::discriminant(&phase) == std::mem::discriminant(&self.phase);
        self.phase = phase;
        if is_same_phase {
            return;
        }
        for progress in &mut self.progress {
            progress.due_at = now;
        }
        if let PlanPhase::Promoting { candidate, .. } = &self.phase {
            let candidate = candidate.clone();
            self.clear_follows(&candidate);
        }
    }

    pub(super) fn clear_follows(&mut self, candidate: &MemberName) {
        if let Some(index) = self.index_of(candidate) {
            self.progress[index].follows = false;
        }
    }

    pub(super) fn majority_follows(&self) -> bool {
        let followers = self.progress.iter().filter(|progress| progress.follows).count();
        followers + 1 >= majority_of(self.progress.len())
    }

    pub(super) fn has_timed_out(&self, now: Duration, since: Duration) -> bool {
        now >= since + self.timeouts.timeout
    }
}
