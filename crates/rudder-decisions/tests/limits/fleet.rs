//! Simulation of instances that enforce the operation limit of one account.
//!
//! The owners of the account are ranked. Before an operation runs, its instance claims it from the
//! first owner that responds. Messages between instances are delayed and lost.

mod claims;
mod faults;
mod probing;
mod queueing;
mod reach;

use queueing::{NUMBERS_PER_PROCESS, SimClaimant};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{AccountName, DomainName, InstanceName};
use rudder_decisions::{
    ClaimDecision, ClaimPlan, ClaimScope, ExpiringSet, FleetContact, GrantLog, LimitBounds,
    LimitLedger, LimitQueues, OperationLimit, OwnerRole, OwnerWatch, QueueOutcome, rank_owners,
};
use std::time::Duration;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(5);

/// Time for which an instance skips an owner that did not respond.
const SKIP_DURATION: Duration = Duration::from_millis(1000);

/// Time for which an owner that did not respond is in doubt, unless it responds.
const DOUBT_DURATION: Duration = Duration::from_millis(5000);

/// Time from the start of an instance to its first contact with the fleet.
const JOIN_DELAY: Duration = Duration::from_millis(400);

/// Bounds of every simulated limit.
pub(crate) const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(5), overage_permille: 100, tolerance: 20 };

/// One simulated instance, which is both a claimant and a possible owner.
struct SimInstance {
    name: InstanceName,
    domain: DomainName,
    running: bool,
    suspended_until: Duration,
    /// Network partition; only instances of the same partition reach each other.
    partition: usize,
    /// Whether the store serves this instance.
    store_serves: bool,
    /// Last time at which it reached a majority of the instances.
    last_contact_at: Option<Duration>,
    /// Last time at which it had no contact with the fleet, or its first check after a start.
    contact_lost_at: Option<Duration>,
    started_at: Duration,
    /// Last time at which each other instance was connected to it, directly or through others.
    connected_at: Vec<Option<Duration>>,
    ledger: LimitLedger,
    queues: LimitQueues<SimClaimant>,
    watch: OwnerWatch,
    /// Owners that did not respond recently.
    unresponsive: ExpiringSet<InstanceName>,
    /// Owners that did not respond to a claim in time.
    doubtful: ExpiringSet<InstanceName>,
    /// Owners that decided its claims.
    grants: GrantLog,
}

#[derive(Clone, Copy)]
enum SimMessage {
    /// Request for one operation.
    Claim {
        operation: usize,
    },
    ClaimResponse {
        operation: usize,
        decision: ClaimDecision,
    },
    QueueResponse {
        operation: usize,
        outcome: QueueOutcome,
    },
    ReturnGrant {
        grant: u64,
    },
    /// Request whether the owner grants operations, possibly on behalf of another instance.
    Probe {
        relay: Option<SimRelay>,
    },
    ProbeResponse {
        grants: bool,
        relay: Option<SimRelay>,
    },
    /// Request to probe an owner.
    RelayProbe {
        owner: usize,
        sent_at: Duration,
    },
    /// What the sender has observed of an owner, as a relay or as a claimant.
    Report {
        owner: usize,
        grants: bool,
        observed_at: Duration,
    },
}

/// Instance for which a relay probes an owner, and the time of its request.
#[derive(Clone, Copy)]
struct SimRelay {
    requester: usize,
    sent_at: Duration,
}

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
    /// Owner whose response is awaited.
    awaited_owner: Option<usize>,
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
    owners: Vec<usize>,
    /// Pairs of instances whose link is cut.
    cut_links: Vec<(usize, usize)>,
    datagrams: Vec<SimDatagram>,
    operations: Vec<SimOperation>,
    /// Times at which operations were granted.
    pub(crate) granted_at: Vec<Duration>,
    pub(crate) refused: usize,
    /// Operations that were refused because no owner decided.
    pub(crate) unanswered: usize,
    /// Times that operations waited for the decision of an owner.
    pub(crate) waits: Vec<Duration>,
    /// Whether all instances are without contact with the store.
    store_unreachable: bool,
    /// Whether contact with the store suffices for an owner, without a majority of the instances.
    store_suffices: bool,
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
            domain: format!("domain-{}", index % 6).parse().expect("a name"),
            running: true,
            suspended_until: Duration::ZERO,
            partition: 0,
            store_serves: true,
            last_contact_at: None,
            contact_lost_at: None,
            started_at: Duration::ZERO,
            connected_at: vec![None; count],
            ledger: LimitLedger::default(),
            queues: LimitQueues::new(index as u64 * NUMBERS_PER_PROCESS),
            watch: OwnerWatch::default(),
            unresponsive: ExpiringSet::new(SKIP_DURATION),
            doubtful: ExpiringSet::new(DOUBT_DURATION),
            grants: GrantLog::default(),
        };
        let account: AccountName = "choirs".parse().expect("a name");
        let instances: Vec<SimInstance> = (0..count).map(instance).collect();
        let position = |owner: &InstanceName| {
            instances.iter().position(|known| known.name == *owner).expect("it is listed")
        };
        let ranked = rank_owners(&account, instances.iter().map(|known| &known.name), 3);
        let owners = ranked.into_iter().map(position).collect();
        Self {
            random: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(60),
            account,
            limit,
            instances,
            owners,
            cut_links: Vec::new(),
            datagrams: Vec::new(),
            operations: Vec::new(),
            granted_at: Vec::new(),
            refused: 0,
            unanswered: 0,
            waits: Vec::new(),
            store_unreachable: false,
            store_suffices: false,
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
            self.update_reach();
            self.generate_arrivals(operations_per_s);
            self.deliver();
            self.probe_between_claims();
            self.serve_queues();
            self.send_claims();
        }
    }

    /// Returns the three owners of the account, the highest ranked first.
    pub(crate) fn owners(&self) -> Vec<usize> {
        self.owners.clone()
    }

    fn is_running(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.running && self.now >= instance.suspended_until
    }

    /// Whether datagrams of one instance arrive at another.
    fn is_linked(&self, from: usize, to: usize) -> bool {
        let link = (from.min(to), from.max(to));
        self.instances[from].partition == self.instances[to].partition
            && !self.cut_links.contains(&link)
    }

    /// While the store is reachable, records contact for each running instance that the store serves
    /// and that reaches a majority of the fleet.
    fn update_contact(&mut self) {
        for index in 0..self.instances.len() {
            // A running instance checks its contact regularly, so that an owner without claims
            // detects that it was cut off.
            if self.is_running(index) {
                self.fleet_contact(index);
            }
            if self.store_unreachable {
                continue;
            }
            let reachable = (0..self.instances.len())
                .filter(|other| self.is_running(*other) && self.is_linked(index, *other));
            let majority = self.store_suffices || reachable.count() * 2 > self.instances.len();
            let instance = &self.instances[index];
            let joined = self.now >= instance.started_at + JOIN_DELAY;
            if majority && joined && instance.store_serves && self.is_running(index) {
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
            let is_linked = self.is_linked(datagram.from, datagram.to);
            if is_linked && self.is_running(datagram.to) {
                self.receive(datagram);
            }
        }
    }

    fn receive(&mut self, datagram: SimDatagram) {
        let SimDatagram { from, to, message, .. } = datagram;
        match message {
            SimMessage::Claim { operation } if self.uses_queues => {
                self.queue_claim(to, SimClaimant { operation, instance: from });
            }
            SimMessage::QueueResponse { operation, outcome } => {
                self.complete_queue_claim(operation, from, outcome);
            }
            SimMessage::ReturnGrant { grant } => self.take_back(to, grant),
            SimMessage::Claim { operation } => {
                let decision = self.decide(to, true);
                self.send(to, from, SimMessage::ClaimResponse { operation, decision });
            }
            SimMessage::Probe { relay } => {
                let grants = self.decide(to, false) != ClaimDecision::NotOwner;
                self.send(to, from, SimMessage::ProbeResponse { grants, relay });
            }
            SimMessage::ClaimResponse { operation, decision } => {
                self.complete_claim(operation, from, decision);
            }
            SimMessage::ProbeResponse { grants, relay: Some(relay) } => {
                let SimRelay { requester, sent_at: observed_at } = relay;
                let report = SimMessage::Report { owner: from, grants, observed_at };
                self.send(to, requester, report);
            }
            SimMessage::ProbeResponse { grants, relay: None } => {
                let owner = self.instances[from].name.clone();
                let account = self.account.clone();
                self.instances[to].watch.record_response(&account, &owner, grants, self.now);
            }
            SimMessage::RelayProbe { owner, sent_at } => {
                let relay = Some(SimRelay { requester: from, sent_at });
                self.send(to, owner, SimMessage::Probe { relay });
            }
            SimMessage::Report { owner, grants, observed_at } => {
                let owner = self.instances[owner].name.clone();
                let account = self.account.clone();
                self.instances[to].watch.record_report(&account, &owner, grants, observed_at);
            }
        }
    }

    /// Decides on a claim at the owner `index`. For a probe the decision is only whether the owner
    /// grants operations.
    fn decide(&mut self, index: usize, consumes: bool) -> ClaimDecision {
        let ClaimScope { limit, bounds, role, rank, now } = self.claim_scope(index);
        if !consumes {
            if role == OwnerRole::Absent {
                self.instances[index].ledger.step_down(&self.account);
                let notices = self.instances[index].queues.release(&self.account);
                self.send_outcomes(index, notices);
            }
            let grants = self.instances[index].ledger.grants(&self.account, role);
            return if grants { ClaimDecision::Granted } else { ClaimDecision::NotOwner };
        }
        self.instances[index].ledger.claim(&self.account, limit, bounds, role, rank, now)
    }

    /// Returns the scope of a decision at the owner `index`, probing the owners ranked before it.
    fn claim_scope(&mut self, index: usize) -> ClaimScope {
        let owners = self.owners();
        let rank = owners.iter().position(|owner| *owner == index).expect("an owner");
        let mut states = Vec::new();
        for earlier in &owners[..rank] {
            self.probe(index, *earlier);
            let instance = &self.instances[index];
            let name = &self.instances[*earlier].name;
            states.push(instance.watch.state(&self.account, name, self.now));
        }
        let role = OwnerRole::of(self.fleet_contact(index), &states);
        let limit = self.fleet_reach(index).part_of(self.limit);
        ClaimScope { limit, bounds: BOUNDS, role, rank, now: self.now }
    }

    fn fleet_contact(&mut self, index: usize) -> FleetContact {
        let now = self.now;
        let instance = &mut self.instances[index];
        let last_contact_at = instance.last_contact_at;
        if last_contact_at.is_none_or(|at| now >= at + LimitBounds::contact_timeout()) {
            instance.contact_lost_at = Some(now);
            if let Some(at) = last_contact_at {
                instance.ledger.detach(at + LimitBounds::contact_timeout());
            }
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
