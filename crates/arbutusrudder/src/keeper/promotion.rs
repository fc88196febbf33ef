//! Replaces a primary: obtains a term and runs the succession plan.

use super::controls::ControlResponse;
use super::decision::DecisionReason;
use super::grant_client::GrantClientError;
use super::group_keeper::GroupKeeper;
use super::schedule::PromotionSchedule;
use super::timeouts::{GRANT_CALL_TIMEOUT, plan_timeouts};
use rudder_core::{
    LogTerm, MemberName, PlanMember, PlanReply, PlanState, PlanTimeouts, SuccessionPlan,
};
use rudder_endpoint::ControlError;
use std::time::Duration;
use tokio::time::Instant;

impl GroupKeeper {
    /// Runs a succession, and repeats it at a new term each time the candidate is lost.
    pub(super) async fn run_succession(
        &mut self,
        target: Option<&MemberName>,
    ) -> Option<MemberName> {
        loop {
            let Some(term) = self.next_term().await else {
                self.record_decision(DecisionReason::NoTerm, self.accepted_term, None);
                self.delay_next_attempt(self.config.timing.probe_interval);
                return None;
            };
            self.accepted_term = self.accepted_term.max(term);
            let mut plan = SuccessionPlan::new(term, self.plan_members(), self.plan_timeouts());
            if let Some(target) = target {
                plan = plan.switch_to(target.clone());
            }
            self.window_start = Instant::now();
            match self.run_plan(&mut plan).await {
                PlanState::Done(primary) => {
                    self.complete_succession(term, &primary);
                    return Some(primary);
                }
                PlanState::Superseded(greater) => {
                    self.record_decision(DecisionReason::Superseded, greater, None);
                    self.record_accepted_term(greater);
                    return None;
                }
                PlanState::CandidateLost(member) => {
                    self.record_decision(DecisionReason::CandidateLost, term, Some(&member));
                }
                PlanState::Running => return None,
            }
        }
    }

    fn complete_succession(&mut self, term: LogTerm, primary: &MemberName) {
        self.record_decision(DecisionReason::Promoted, term, Some(primary));
        self.repointed_term = term;
        self.schedule = PromotionSchedule::default();
        self.detector.reset(self.elapsed());
        self.primary_seen_at = Instant::now();
        self.round_started_at = self.primary_seen_at;
        self.grant_due_at = self.primary_seen_at;
        self.publish(false);
    }

    /// Returns the next term: one granted by the platform, or the reserved one if the platform does
    /// not respond in time. No other run gets the same term.
    async fn next_term(&mut self) -> Option<LogTerm> {
        let granted = tokio::time::timeout(
            GRANT_CALL_TIMEOUT,
            self.client.grant_next_term(self.accepted_term),
        )
        .await;
        match granted {
            Ok(Ok(term)) => {
                self.record_decision(DecisionReason::TermGranted, term, None);
                Some(term)
            }
            Ok(Err(GrantClientError::Contended)) => None,
            Ok(Err(_)) | Err(_) => {
                let term = self.reserved_terms.use_next(self.accepted_term)?;
                self.record_decision(DecisionReason::TermReserved, term, None);
                Some(term)
            }
        }
    }

    fn delay_next_attempt(&mut self, delay: Duration) {
        self.schedule.retry_at = Some(Instant::now() + delay);
    }

    fn plan_members(&self) -> Vec<PlanMember> {
        self.config.members.iter().map(|configured| configured.member.clone()).collect()
    }

    fn plan_timeouts(&self) -> PlanTimeouts {
        plan_timeouts(&self.config.timing)
    }

    /// Runs the plan until it ends. It does not end while no majority of the members is reachable.
    async fn run_plan(&mut self, plan: &mut SuccessionPlan) -> PlanState {
        // Responses to earlier statements must not be taken for responses to the plan's statements.
        self.controls.discard_in_flight();
        loop {
            for request in plan.poll(self.elapsed()) {
                self.controls.send(&request.member, request.statement);
            }
            let state = plan.state();
            if state != PlanState::Running {
                return state;
            }
            let wake_at = plan.next_deadline().map(|deadline| self.origin + deadline);
            tokio::select! {
                biased;
                response = self.controls.next() => self.observe(plan, &response),
                () = wait_until(wake_at) => {}
            }
        }
    }

    fn observe(&mut self, plan: &mut SuccessionPlan, response: &ControlResponse) {
        let status = response.result.as_ref().ok().copied();
        self.reports.record(&response.member, response.requested_at, status);
        let reply = match &response.result {
            Ok(status) => PlanReply::Status(*status),
            Err(ControlError::Superseded(term)) => PlanReply::Superseded(*term),
            Err(ControlError::Refused(_)) => PlanReply::Refused,
            Err(ControlError::Unreachable(_) | ControlError::TimedOut) => PlanReply::NoResponse,
        };
        plan.handle_reply(self.elapsed(), &response.member, &response.statement, reply);
    }
}

/// Sleeps until `wake_at`, or forever if there is none.
pub(super) async fn wait_until(wake_at: Option<Instant>) {
    match wake_at {
        Some(wake_at) => tokio::time::sleep_until(wake_at).await,
        None => std::future::pending().await,
    }
}
