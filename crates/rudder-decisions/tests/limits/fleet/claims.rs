//! Claims of operations at the owners of the account.

use super::queueing::SimClaimant;
use super::{SimFleet, SimMessage, SimOperation};
use rand::RngExt;
use rudder_core::InstanceName;
use rudder_decisions::{ClaimDecision, ClaimPlan, ExpiringSet};
use std::time::Duration;

/// Time after which a claim without a response is sent to the next owner of the plan.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which an operation whose claims got no decision is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

impl SimFleet {
    pub(super) fn start_operation(&mut self, instance: usize) {
        self.requested += 1;
        let known = &self.instances[instance];
        let marked = |set: &ExpiringSet<InstanceName>| -> Vec<bool> {
            let owners = self.owners().into_iter();
            owners.map(|owner| set.contains(&self.instances[owner].name, self.now)).collect()
        };
        let plan = ClaimPlan::with_doubt(&marked(&known.unresponsive), &marked(&known.doubtful));
        let priority = if self.uses_queues { self.random.random_range(0..3) } else { 0 };
        self.operations.push(SimOperation {
            priority,
            instance,
            started_at: self.now,
            next_attempt_at: self.now,
            plan,
            awaited_owner: None,
            tried_owners: Vec::new(),
            finished: false,
        });
    }

    /// Sends the next claim of each operation that is due, and refuses operations after the
    /// timeout. An owner that is tried again without a response is recorded as unresponsive.
    pub(super) fn send_claims(&mut self) {
        let owners = self.owners();
        for operation in 0..self.operations.len() {
            let instance = self.operations[operation].instance;
            let is_due = self.now >= self.operations[operation].next_attempt_at;
            if self.operations[operation].finished || !is_due || !self.is_running(instance) {
                continue;
            }
            if let Some(awaited) = self.operations[operation].awaited_owner.take() {
                let name = self.instances[awaited].name.clone();
                self.instances[instance].doubtful.insert(&name, self.now);
            }
            if self.now >= self.operations[operation].started_at + CLAIM_TIMEOUT {
                self.operations[operation].finished = true;
                self.unanswered += 1;
                self.refused += 1;
                continue;
            }
            let place = self.operations[operation].plan.next().expect("there are owners");
            let owner = owners[place];
            if self.operations[operation].tried_owners.contains(&owner) {
                let name = self.instances[owner].name.clone();
                self.instances[instance].unresponsive.insert(&name, self.now);
            }
            self.operations[operation].tried_owners.push(owner);
            let is_hedged = self.operations[operation].plan.is_hedged();
            self.operations[operation].awaited_owner = (!is_hedged).then_some(owner);
            let timeout = if is_hedged { Duration::ZERO } else { RESPONSE_TIMEOUT };
            self.operations[operation].next_attempt_at = self.now + timeout;
            if self.uses_queues && owner == instance {
                self.queue_claim(owner, SimClaimant { operation, instance });
            } else if owner == instance {
                let decision = self.decide(owner, true);
                self.complete_claim(operation, owner, decision);
            } else {
                self.send_evidence(instance, &owners[..place], owner);
                self.send(instance, owner, SimMessage::Claim { operation });
            }
        }
    }

    /// Applies the decision of an owner to an operation.
    pub(super) fn complete_claim(
        &mut self,
        operation: usize,
        owner: usize,
        decision: ClaimDecision,
    ) {
        self.record_response(operation, owner);
        if decision != ClaimDecision::NotOwner {
            self.record_decision(operation, owner);
        }
        if self.operations[operation].finished {
            return;
        }
        match decision {
            ClaimDecision::Granted => self.granted_at.push(self.now),
            ClaimDecision::Spent(_) => self.refused += 1,
            ClaimDecision::NotOwner => {
                self.operations[operation].next_attempt_at = self.now + Duration::from_millis(10);
                return;
            }
        }
        self.waits.push(self.now - self.operations[operation].started_at);
        self.operations[operation].finished = true;
    }

    /// Records that an owner responded.
    pub(super) fn record_response(&mut self, operation: usize, owner: usize) {
        let instance = self.operations[operation].instance;
        let name = self.instances[owner].name.clone();
        self.instances[instance].unresponsive.remove(&name);
        self.instances[instance].doubtful.remove(&name);
        self.operations[operation].awaited_owner.take_if(|awaited| *awaited == owner);
        self.operations[operation].tried_owners.retain(|tried| *tried != owner);
    }

    /// Records an owner's decision as evidence.
    pub(super) fn record_decision(&mut self, operation: usize, owner: usize) {
        let instance = self.operations[operation].instance;
        let name = self.instances[owner].name.clone();
        self.instances[instance].grants.record(&self.account, &name, self.now);
    }
}
