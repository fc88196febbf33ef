//! Replaces a primary: gets a term and carries the plan out.

use super::bounds::{GRANT_CALL_BOUND, plan_bounds};
use super::controls::ControlAnswer;
use super::decision::DecisionReason;
use super::grant_client::GrantClientError;
use super::group_keeper::GroupKeeper;
use super::schedule::ActSchedule;
use rudder_core::{
    LogTerm, MemberName, PlanBounds, PlanMember, PlanReply, PlanState, SuccessionPlan,
};
use rudder_endpoint::ControlError;
use std::time::Duration;
use tokio::time::Instant;

impl GroupKeeper {
    /// Runs one succession, and further ones at new terms while candidates are lost.
    pub(super) async fn succeed(&mut self, target: Option<&MemberName>) -> Option<MemberName> {
        loop {
            let Some(term) = self.next_term().await else {
                self.decide(DecisionReason::NoTerm, self.accepted, None);
                self.rest(self.config.timing.probe_interval);
                return None;
            };
            self.accepted = self.accepted.max(term);
            let mut plan = SuccessionPlan::new(term, self.plan_members(), self.plan_bounds());
            if let Some(target) = target {
                plan = plan.switch_to(target.clone());
            }
            self.window_at = Instant::now();
            match self.run_plan(&mut plan).await {
                PlanState::Done(primary) => {
                    self.finish(term, &primary);
                    return Some(primary);
                }
                PlanState::Superseded(greater) => {
                    self.decide(DecisionReason::Superseded, greater, None);
                    self.note_accepted(greater);
                    return None;
                }
                PlanState::CandidateLost(member) => {
                    self.decide(DecisionReason::CandidateLost, term, Some(&member));
                }
                PlanState::Running => return None,
            }
        }
    }

    fn finish(&mut self, term: LogTerm, primary: &MemberName) {
        self.decide(DecisionReason::Promoted, term, Some(primary));
        self.repointed_term = term;
        self.schedule = ActSchedule::default();
        self.tally.note_promotion(self.elapsed());
        self.heard_at = Instant::now();
        self.round_at = self.heard_at;
        self.grant_due_at = self.heard_at;
        self.publish(false);
    }

    /// The next term: granted by the platform, or the reserved one if the platform does not
    /// answer in time. Either belongs to this run alone.
    async fn next_term(&mut self) -> Option<LogTerm> {
        let granted = tokio::time::timeout(GRANT_CALL_BOUND, self.client.take(self.accepted)).await;
        match granted {
            Ok(Ok(term)) => {
                self.decide(DecisionReason::TermGranted, term, None);
                Some(term)
            }
            Ok(Err(GrantClientError::Contended)) => None,
            Ok(Err(_)) | Err(_) => {
                let term = self.purse.spend(self.accepted)?;
                self.decide(DecisionReason::TermReserved, term, None);
                Some(term)
            }
        }
    }

    fn rest(&mut self, bound: Duration) {
        self.schedule.rest_until = Some(Instant::now() + bound);
    }

    fn plan_members(&self) -> Vec<PlanMember> {
        self.config.members.iter().map(|known| known.member.clone()).collect()
    }

    fn plan_bounds(&self) -> PlanBounds {
        plan_bounds(&self.config.timing)
    }

    /// Runs the plan until it ends. It does not end while no majority of the members can be
    /// reached.
    async fn run_plan(&mut self, plan: &mut SuccessionPlan) -> PlanState {
        // Answers to earlier statements must not pass for answers to the plan's own.
        self.controls.abandon();
        loop {
            for request in plan.poll(self.elapsed()) {
                self.controls.send(&request.member, request.statement);
            }
            let state = plan.state();
            if state != PlanState::Running {
                return state;
            }
            let wake_at = plan.wake_at().map(|wake_at| self.origin + wake_at);
            tokio::select! {
                biased;
                answer = self.controls.next() => self.observe(plan, &answer),
                () = wait_until(wake_at) => {}
            }
        }
    }

    fn observe(&mut self, plan: &mut SuccessionPlan, answer: &ControlAnswer) {
        let status = answer.result.as_ref().ok().copied();
        self.book.note(&answer.member, answer.asked_at, status);
        let reply = match &answer.result {
            Ok(status) => PlanReply::Status(*status),
            Err(ControlError::Superseded(term)) => PlanReply::Superseded(*term),
            Err(ControlError::Refused(_)) => PlanReply::Refused,
            Err(ControlError::Unreachable(_) | ControlError::TimedOut) => PlanReply::Lost,
        };
        plan.observe(self.elapsed(), &answer.member, &answer.statement, reply);
    }
}

/// Sleeps until `wake_at`, or for ever if there is none.
pub(super) async fn wait_until(wake_at: Option<Instant>) {
    match wake_at {
        Some(wake_at) => tokio::time::sleep_until(wake_at).await,
        None => std::future::pending().await,
    }
}
