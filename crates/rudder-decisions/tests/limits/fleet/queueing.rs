//! Claims that wait at their owner, and grants that are returned.

use super::{SimDatagram, SimFleet, SimInstance, SimMessage};
use crate::fleet::claims::RESPONSE_TIMEOUT;
use rand::RngExt;
use rudder_decisions::{ClaimDecision, ClaimTerms, QueueNotice, QueueOutcome};
use std::time::Duration;

/// Operation whose claim an owner received, and the instance that sent it.
#[derive(Clone, Copy)]
pub(super) struct SimClaimant {
    pub(super) operation: usize,
    pub(super) instance: usize,
}

/// Useful wait of claims, by priority.
const QUEUE_WAITS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(300), Duration::from_millis(750)];

/// Time to the deadline of claims that may wait.
const QUEUE_DEADLINE: Duration = Duration::from_millis(2500);

/// Probability that a granted operation does not run, so that its grant is returned.
const RETURN_PROBABILITY: f64 = 0.2;

/// Numbers of grants that a process of an owner may give.
pub(super) const NUMBERS_PER_PROCESS: u64 = 1 << 32;

impl SimFleet {
    /// Decides on a claim that may wait at the owner `index`.
    pub(super) fn queue_claim(&mut self, index: usize, claimant: SimClaimant) {
        let scope = self.claim_scope(index);
        let priority = self.operations[claimant.operation].priority;
        let wait = QUEUE_WAITS[usize::from(priority)];
        let priority = Some(priority);
        let terms =
            ClaimTerms { priority, wait, deadline: QUEUE_DEADLINE, ..ClaimTerms::default() };
        let SimInstance { ledger, queues, .. } = &mut self.instances[index];
        let notices = queues.claim(ledger, &self.account, scope, terms, claimant);
        self.send_outcomes(index, notices);
    }

    /// Serves the queues that are due at all running instances.
    pub(super) fn serve_queues(&mut self) {
        for index in 0..self.instances.len() {
            let is_due = !self.instances[index].queues.due(self.now).is_empty();
            if !is_due || !self.is_running(index) {
                continue;
            }
            let scope = self.claim_scope(index);
            let SimInstance { ledger, queues, .. } = &mut self.instances[index];
            let notices = queues.serve(ledger, &self.account, scope);
            self.send_outcomes(index, notices);
        }
    }

    pub(super) fn send_outcomes(&mut self, index: usize, notices: Vec<QueueNotice<SimClaimant>>) {
        for QueueNotice { claimant: SimClaimant { operation, instance }, outcome, .. } in notices {
            if instance == index {
                self.complete_queue_claim(operation, index, outcome);
            } else {
                self.send(index, instance, SimMessage::QueueResponse { operation, outcome });
            }
        }
    }

    /// Applies the outcome of a claim that may wait. Grants of operations that have ended or do not
    /// run are returned.
    pub(super) fn complete_queue_claim(
        &mut self,
        operation: usize,
        owner: usize,
        outcome: QueueOutcome,
    ) {
        let decision = match outcome {
            QueueOutcome::Granted { grant, .. } => {
                let ended = self.operations[operation].finished;
                if ended || self.random.random_bool(RETURN_PROBABILITY) {
                    self.record_response(operation, owner);
                    self.record_decision(operation, owner);
                    self.operations[operation].finished = true;
                    self.return_grant(operation, owner, grant);
                    return;
                }
                ClaimDecision::Granted
            }
            QueueOutcome::Queued { within } => {
                self.record_response(operation, owner);
                let known = &mut self.operations[operation];
                known.next_attempt_at = self.now + within + RESPONSE_TIMEOUT;
                return;
            }
            QueueOutcome::Rejected(rejection) => ClaimDecision::Spent(rejection.retry_after),
            QueueOutcome::NotOwner => ClaimDecision::NotOwner,
        };
        self.complete_claim(operation, owner, decision);
    }

    /// Returns a grant after a random time, and in some cases twice or to the wrong owner.
    fn return_grant(&mut self, operation: usize, owner: usize, grant: u64) {
        let instance = self.operations[operation].instance;
        let other = self.owners()[0];
        let copies =
            if self.random.random_bool(0.1) { vec![owner, owner, other] } else { vec![owner] };
        for to in copies {
            let delay = self.random_duration(1..2500);
            let message = SimMessage::ReturnGrant { grant };
            let deliver_at = self.now + delay;
            self.datagrams.push(SimDatagram { deliver_at, from: instance, to, message });
        }
    }

    pub(super) fn take_back(&mut self, index: usize, grant: u64) {
        let scope = self.claim_scope(index);
        let SimInstance { ledger, queues, .. } = &mut self.instances[index];
        if queues.return_grant(ledger, &self.account, scope, grant) {
            self.returned += 1;
        }
    }
}
