//! Simulation of instances that enforce the operation limit of one account.
//!
//! The owners of the account are ranked. Before an operation runs, its instance claims it from the
//! first owner that responds. Messages between instances are delayed and lost.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{
    ClaimDecision, ClaimPlan, ClaimScope, ClaimTerms, ExpiringSet, FleetContact, LimitBounds,
    LimitLedger, LimitQueues, OperationLimit, OwnerRole, OwnerWatch, QueueNotice, QueueOutcome,
    rank_owners,
};
use std::time::Duration;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);

/// Time after which a claim without a response is sent to the next owner of the plan.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which an operation whose claims got no decision is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which an instance skips an owner that did not respond.
const SKIP_DURATION: Duration = Duration::from_millis(1000);

/// Time from the start of an instance to its first contact with the fleet.
const JOIN_DELAY: Duration = Duration::from_millis(400);

/// Bounds of every simulated limit.
pub(crate) const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(5), overage_permille: 100, tolerance: 20 };

/// One simulated instance, which is both a claimant and a possible owner.
struct SimInstance {
    name: InstanceName,
    running: bool,
    suspended_until: Duration,
    /// Network partition; only instances of the same partition reach each other.
    partition: usize,
    /// Last time at which it reached a majority of the instances.
    last_contact_at: Option<Duration>,
    /// Last time at which it had no contact with the fleet, or its first check after a start.
    contact_lost_at: Option<Duration>,
    started_at: Duration,
    ledger: LimitLedger,
    queues: LimitQueues<SimClaimant>,
    watch: OwnerWatch,
    /// Owners that did not respond recently.
    unresponsive: ExpiringSet<InstanceName>,
}

#[derive(Clone, Copy)]
enum SimMessage {
    /// Request for one operation, or a probe that asks whether the owner grants operations and
    /// consumes none.
    Claim {
        operation: usize,
        consumes: bool,
    },
    ClaimResponse {
        operation: usize,
        decision: ClaimDecision,
    },
    ProbeResponse {
        grants: bool,
    },
    QueueResponse {
        operation: usize,
        outcome: QueueOutcome,
    },
    ReturnGrant {
        grant: u64,
    },
}

/// Operation whose claim an owner received, and the instance that sent it.
#[derive(Clone, Copy)]
struct SimClaimant {
    operation: usize,
    instance: usize,
}

/// Useful wait of claims, by priority.
const QUEUE_WAITS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(300), Duration::from_millis(750)];

/// Time to the deadline of claims that may wait.
const QUEUE_DEADLINE: Duration = Duration::from_millis(2500);

/// Probability that a granted operation does not run, so that its grant is returned.
const RETURN_PROBABILITY: f64 = 0.2;

/// Numbers of grants that a process of an owner may give.
const NUMBERS_PER_PROCESS: u64 = 1 << 32;

#[derive(Clone, Copy)]
struct SimDatagram {
    deliver_at: Duration,
    from: usize,
    to: usize,
    message: SimMessage,
}

/// One operation and its claims.
struct SimOperation {
    instance: usize,
    started_at: Duration,
    next_attempt_at: Duration,
    plan: ClaimPlan,
    /// Owners that were sent a claim and have not responded.
    tried_owners: Vec<usize>,
    finished: bool,
    priority: u8,
}

/// Simulated fleet of instances and the network between them.
pub(crate) struct SimFleet {
    random: SmallRng,
    now: Duration,
    account: AccountName,
    pub(crate) limit: OperationLimit,
    instances: Vec<SimInstance>,
    datagrams: Vec<SimDatagram>,
    operations: Vec<SimOperation>,
    /// Times at which operations were granted.
    pub(crate) granted_at: Vec<Duration>,
    pub(crate) refused: usize,
    /// Whether all instances are without contact with the store.
    store_unreachable: bool,
    /// Operations that were requested.
    pub(crate) requested: usize,
    /// Whether claims go through the owners' queues and unused grants are returned.
    pub(crate) uses_queues: bool,
    processes: u64,
    /// Grants whose tokens were put back.
    pub(crate) returned: usize,
}

impl SimFleet {
    pub(crate) fn new(seed: u64, count: usize, limit: OperationLimit) -> Self {
        let instance = |index: usize| SimInstance {
            name: format!("entry-{index}").parse().expect("a name"),
            running: true,
            suspended_until: Duration::ZERO,
            partition: 0,
            last_contact_at: None,
            contact_lost_at: None,
            started_at: Duration::ZERO,
            ledger: LimitLedger::default(),
            queues: LimitQueues::new(index as u64 * NUMBERS_PER_PROCESS),
            watch: OwnerWatch::default(),
            unresponsive: ExpiringSet::new(SKIP_DURATION),
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(60),
            account: "choirs".parse().expect("a name"),
            limit,
            instances: (0..count).map(instance).collect(),
            datagrams: Vec::new(),
            operations: Vec::new(),
            granted_at: Vec::new(),
            refused: 0,
            store_unreachable: false,
            requested: 0,
            uses_queues: false,
            processes: count as u64,
            returned: 0,
        }
    }

    /// Runs the fleet for `duration` with `operations_per_s` operations at random instances.
    pub(crate) fn run(&mut self, duration: Duration, operations_per_s: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.update_contact();
            self.generate_arrivals(operations_per_s);
            self.deliver();
            self.serve_queues();
            self.send_claims();
        }
    }

    /// Returns the three owners of the account, the highest ranked first.
    pub(crate) fn owners(&self) -> Vec<usize> {
        let names = self.instances.iter().map(|instance| &instance.name);
        let owners = rank_owners(&self.account, names, 3);
        let index = |owner: &&InstanceName| {
            self.instances.iter().position(|known| known.name == **owner).expect("it is listed")
        };
        owners.iter().map(index).collect()
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.instances[index].running = false;
    }

    /// Starts an instance with empty state; its unfinished operations are dropped.
    pub(crate) fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.running = true;
        instance.last_contact_at = None;
        instance.contact_lost_at = None;
        instance.started_at = self.now;
        instance.ledger = LimitLedger::default();
        instance.queues = LimitQueues::new(self.processes * NUMBERS_PER_PROCESS);
        self.processes += 1;
        instance.watch = OwnerWatch::default();
        instance.unresponsive = ExpiringSet::new(SKIP_DURATION);
        for operation in &mut self.operations {
            operation.finished |= operation.instance == index;
        }
    }

    pub(crate) fn suspend(&mut self, index: usize, duration: Duration) {
        self.instances[index].suspended_until = self.now + duration;
    }

    /// Moves an instance to a network partition.
    pub(crate) fn set_partition(&mut self, index: usize, partition: usize) {
        self.instances[index].partition = partition;
    }

    /// Sets whether all instances are without contact with the store.
    pub(crate) fn set_store_unreachable(&mut self, store_unreachable: bool) {
        self.store_unreachable = store_unreachable;
    }

    pub(crate) fn random_instance(&mut self) -> usize {
        self.random.random_range(0..self.instances.len())
    }

    pub(crate) fn random_bool(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    pub(crate) fn random_duration(&mut self, range_ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range_ms))
    }

    pub(crate) fn instance_count(&self) -> usize {
        self.instances.len()
    }

    fn is_running(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.running && self.now >= instance.suspended_until
    }

    /// While the store is reachable, records contact for each running instance that reaches a
    /// majority of the fleet.
    fn update_contact(&mut self) {
        if self.store_unreachable {
            return;
        }
        for index in 0..self.instances.len() {
            let partition = self.instances[index].partition;
            let reachable = (0..self.instances.len()).filter(|other| {
                self.is_running(*other) && self.instances[*other].partition == partition
            });
            let majority = reachable.count() * 2 > self.instances.len();
            let joined = self.now >= self.instances[index].started_at + JOIN_DELAY;
            if majority && joined && self.is_running(index) {
                self.instances[index].last_contact_at = Some(self.now);
            }
        }
    }

    /// Starts operations at random instances; operations at stopped instances are skipped.
    fn generate_arrivals(&mut self, operations_per_s: f64) {
        let mut expected = operations_per_s * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                let instance = self.random_instance();
                if self.is_running(instance) {
                    self.start_operation(instance);
                }
            }
            expected -= 1.0;
        }
    }

    fn start_operation(&mut self, instance: usize) {
        self.requested += 1;
        let unresponsive = &self.instances[instance].unresponsive;
        let unresponsive: Vec<bool> = self
            .owners()
            .into_iter()
            .map(|owner| unresponsive.contains(&self.instances[owner].name, self.now))
            .collect();
        let priority = if self.uses_queues { self.random.random_range(0..3) } else { 0 };
        self.operations.push(SimOperation {
            priority,
            instance,
            started_at: self.now,
            next_attempt_at: self.now,
            plan: ClaimPlan::new(&unresponsive),
            tried_owners: Vec::new(),
            finished: false,
        });
    }

    /// Sends the next claim of each operation that is due, and refuses operations after the
    /// timeout. An owner that is tried again without a response is recorded as unresponsive.
    fn send_claims(&mut self) {
        let owners = self.owners();
        for operation in 0..self.operations.len() {
            let instance = self.operations[operation].instance;
            let is_due = self.now >= self.operations[operation].next_attempt_at;
            if self.operations[operation].finished || !is_due || !self.is_running(instance) {
                continue;
            }
            if self.now >= self.operations[operation].started_at + CLAIM_TIMEOUT {
                self.operations[operation].finished = true;
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
            self.operations[operation].next_attempt_at = self.now + RESPONSE_TIMEOUT;
            if self.uses_queues && owner == instance {
                self.queue_claim(owner, SimClaimant { operation, instance });
            } else if owner == instance {
                let decision = self.decide(owner, true);
                self.complete_claim(operation, owner, decision);
            } else {
                self.send(instance, owner, SimMessage::Claim { operation, consumes: true });
            }
        }
    }

    /// Applies the decision of an owner to an operation.
    fn complete_claim(&mut self, operation: usize, owner: usize, decision: ClaimDecision) {
        let instance = self.operations[operation].instance;
        let name = self.instances[owner].name.clone();
        self.instances[instance].unresponsive.remove(&name);
        self.operations[operation].tried_owners.retain(|tried| *tried != owner);
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
        self.operations[operation].finished = true;
    }

    /// Sends a message; 1 % of messages are lost.
    fn send(&mut self, from: usize, to: usize, message: SimMessage) {
        if self.random.random_bool(0.01) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..30));
        self.datagrams.push(SimDatagram { deliver_at: self.now + delay, from, to, message });
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|datagram| datagram.deliver_at <= self.now);
        self.datagrams = later;
        for datagram in due {
            let reachable =
                self.instances[datagram.from].partition == self.instances[datagram.to].partition;
            if reachable && self.is_running(datagram.to) {
                self.receive(datagram);
            }
        }
    }

    fn receive(&mut self, datagram: SimDatagram) {
        let SimDatagram { from, to, message, .. } = datagram;
        match message {
            SimMessage::Claim { operation, consumes: true } if self.uses_queues => {
                self.queue_claim(to, SimClaimant { operation, instance: from });
            }
            SimMessage::QueueResponse { operation, outcome } => {
                self.complete_queue_claim(operation, from, outcome);
            }
            SimMessage::ReturnGrant { grant } => self.take_back(to, grant),
            SimMessage::Claim { operation, consumes: true } => {
                let decision = self.decide(to, true);
                self.send(to, from, SimMessage::ClaimResponse { operation, decision });
            }
            SimMessage::Claim { consumes: false, .. } => {
                let grants = self.decide(to, false) != ClaimDecision::NotOwner;
                self.send(to, from, SimMessage::ProbeResponse { grants });
            }
            SimMessage::ClaimResponse { operation, decision } => {
                self.complete_claim(operation, from, decision);
            }
            SimMessage::ProbeResponse { grants } => {
                let owner = self.instances[from].name.clone();
                let account = self.account.clone();
                self.instances[to].watch.record_response(&account, &owner, grants, self.now);
            }
        }
    }

    /// Decides on a claim at the owner `index`, probing the owners ranked before it. For a probe
    /// the decision is only whether the owner grants operations.
    fn decide(&mut self, index: usize, consumes: bool) -> ClaimDecision {
        let (place, role) = self.place_and_role(index);
        if !consumes {
            let grants = self.instances[index].ledger.grants(&self.account, role);
            return if grants { ClaimDecision::Granted } else { ClaimDecision::NotOwner };
        }
        let (limit, now) = (self.limit, self.now);
        self.instances[index].ledger.claim(&self.account, limit, BOUNDS, role, place, now)
    }

    /// Returns the rank and role of the owner `index`, probing the owners ranked before it.
    fn place_and_role(&mut self, index: usize) -> (usize, OwnerRole) {
        let owners = self.owners();
        let place = owners.iter().position(|owner| *owner == index).expect("an owner");
        let mut states = Vec::new();
        for earlier in &owners[..place] {
            let name = self.instances[*earlier].name.clone();
            if self.instances[index].watch.try_begin_probe(&self.account, &name, self.now) {
                self.send(index, *earlier, SimMessage::Claim { operation: 0, consumes: false });
            }
            let watch = &self.instances[index].watch;
            states.push(watch.state(&self.account, &name, self.now));
        }
        (place, OwnerRole::of(self.fleet_contact(index), &states))
    }

    fn claim_scope(&mut self, index: usize) -> ClaimScope {
        let (rank, role) = self.place_and_role(index);
        ClaimScope { limit: self.limit, bounds: BOUNDS, role, rank, now: self.now }
    }

    /// Decides on a claim that may wait at the owner `index`.
    fn queue_claim(&mut self, index: usize, claimant: SimClaimant) {
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
    fn serve_queues(&mut self) {
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

    fn send_outcomes(&mut self, index: usize, notices: Vec<QueueNotice<SimClaimant>>) {
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
    fn complete_queue_claim(&mut self, operation: usize, owner: usize, outcome: QueueOutcome) {
        let decision = match outcome {
            QueueOutcome::Granted { grant, .. } => {
                let ended = self.operations[operation].finished;
                if ended || self.random.random_bool(RETURN_PROBABILITY) {
                    self.operations[operation].finished = true;
                    self.return_grant(operation, owner, grant);
                    return;
                }
                ClaimDecision::Granted
            }
            QueueOutcome::Queued { within } => {
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

    fn take_back(&mut self, index: usize, grant: u64) {
        let scope = self.claim_scope(index);
        let SimInstance { ledger, queues, .. } = &mut self.instances[index];
        if queues.return_grant(ledger, &self.account, scope, grant) {
            self.returned += 1;
        }
    }

    fn fleet_contact(&mut self, index: usize) -> FleetContact {
        let now = self.now;
        let instance = &mut self.instances[index];
        let last_contact_at = instance.last_contact_at;
        if last_contact_at.is_none_or(|at| now >= at + LimitBounds::contact_timeout()) {
            instance.contact_lost_at = Some(now);
            return FleetContact::Lost;
        }
        let settled_at = *instance.contact_lost_at.get_or_insert(now) + BOUNDS.window;
        if now >= settled_at { FleetContact::Settled } else { FleetContact::Connected }
    }

    /// Returns the greatest number of operations granted in any window.
    pub(crate) fn max_in_window(&self) -> u64 {
        let mut max_count = 0;
        let mut first = 0;
        for (last, at) in self.granted_at.iter().enumerate() {
            while self.granted_at[first] + BOUNDS.window <= *at {
                first += 1;
            }
            max_count = max_count.max(last + 1 - first);
        }
        max_count as u64
    }

    /// Returns the number of operations that may run in a window.
    pub(crate) fn allowed_in_window(&self) -> u64 {
        let limit = self.limit.in_window(BOUNDS.window);
        limit + limit * u64::from(BOUNDS.overage_permille) / 1000 + u64::from(BOUNDS.tolerance)
    }
}
