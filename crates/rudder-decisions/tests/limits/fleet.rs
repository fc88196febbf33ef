//! Instances that claim operations of one account from each other over a network that fails.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{
    ClaimPlan, ClaimVerdict, FleetContact, LimitBounds, LimitLedger, OperationLimit, OwnerRole,
    OwnerWatch, RecentNotes, rank_owners,
};
use std::time::Duration;

/// The step of the simulated time.
const STEP: Duration = Duration::from_millis(5);

const ANSWER_WAIT: Duration = Duration::from_millis(60);
const CLAIM_WAIT: Duration = Duration::from_millis(600);

/// How long an owner that did not answer is passed over.
const SILENT_TIME: Duration = Duration::from_millis(1000);

/// How long an instance that starts takes until it hears from the fleet.
const JOIN_TIME: Duration = Duration::from_millis(400);

pub(crate) const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(5), overage_permille: 100, tolerance: 20 };

struct SimInstance {
    name: InstanceName,
    up: bool,
    suspended_until: Duration,
    island: usize,
    /// When it last heard from most instances.
    joined_at: Option<Duration>,
    lost_at: Option<Duration>,
    started_at: Duration,
    ledger: LimitLedger,
    watch: OwnerWatch,
    silent: RecentNotes<InstanceName>,
}

#[derive(Clone, Copy)]
enum SimMessage {
    Claim { operation: usize, counts: bool },
    Answer { operation: usize, verdict: ClaimVerdict },
    ProbeAnswer { grants: bool },
}

#[derive(Clone, Copy)]
struct SimDatagram {
    due: Duration,
    from: usize,
    to: usize,
    message: SimMessage,
}

struct SimOperation {
    instance: usize,
    began_at: Duration,
    next_at: Duration,
    plan: ClaimPlan,
    asked: Vec<usize>,
    ended: bool,
}

/// One run of a fleet.
pub(crate) struct SimFleet {
    random: SmallRng,
    now: Duration,
    account: AccountName,
    pub(crate) limit: OperationLimit,
    instances: Vec<SimInstance>,
    datagrams: Vec<SimDatagram>,
    operations: Vec<SimOperation>,
    /// When operations ran.
    pub(crate) granted: Vec<Duration>,
    pub(crate) refused: usize,
    unheard: bool,
    pub(crate) asked: usize,
}

impl SimFleet {
    pub(crate) fn new(seed: u64, count: usize, limit: OperationLimit) -> Self {
        let instance = |index: usize| SimInstance {
            name: format!("entry-{index}").parse().expect("a name"),
            up: true,
            suspended_until: Duration::ZERO,
            island: 0,
            joined_at: None,
            lost_at: None,
            started_at: Duration::ZERO,
            ledger: LimitLedger::default(),
            watch: OwnerWatch::default(),
            silent: RecentNotes::new(SILENT_TIME),
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            now: Duration::from_secs(60),
            account: "choirs".parse().expect("a name"),
            limit,
            instances: (0..count).map(instance).collect(),
            datagrams: Vec::new(),
            operations: Vec::new(),
            granted: Vec::new(),
            refused: 0,
            unheard: false,
            asked: 0,
        }
    }

    /// Lets the fleet run, with so many operations a second at random instances.
    pub(crate) fn run(&mut self, time: Duration, operations_per_s: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.join();
            self.arrive(operations_per_s);
            self.deliver();
            self.claim();
        }
    }

    pub(crate) fn owners(&self) -> Vec<usize> {
        let names = self.instances.iter().map(|instance| &instance.name);
        let owners = rank_owners(&self.account, names, 3);
        let index = |owner: &&InstanceName| {
            self.instances.iter().position(|known| known.name == **owner).expect("it is listed")
        };
        owners.iter().map(index).collect()
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.instances[index].up = false;
    }

    pub(crate) fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.up = true;
        instance.joined_at = None;
        instance.lost_at = None;
        instance.started_at = self.now;
        instance.ledger = LimitLedger::default();
        instance.watch = OwnerWatch::default();
        instance.silent = RecentNotes::new(SILENT_TIME);
        for operation in &mut self.operations {
            operation.ended |= operation.instance == index;
        }
    }

    pub(crate) fn suspend(&mut self, index: usize, time: Duration) {
        self.instances[index].suspended_until = self.now + time;
    }

    /// Puts an instance where it reaches only those of the same island.
    pub(crate) fn cut(&mut self, index: usize, island: usize) {
        self.instances[index].island = island;
    }

    /// Whether no instance has a sign of the store.
    pub(crate) fn set_unheard(&mut self, unheard: bool) {
        self.unheard = unheard;
    }

    pub(crate) fn any_instance(&mut self) -> usize {
        self.random.random_range(0..self.instances.len())
    }

    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    pub(crate) fn pause(&mut self, range_ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range_ms))
    }

    pub(crate) fn count(&self) -> usize {
        self.instances.len()
    }

    fn runs(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.up && self.now >= instance.suspended_until
    }

    /// An instance that reaches most of the fleet hears from it.
    fn join(&mut self) {
        if self.unheard {
            return;
        }
        for index in 0..self.instances.len() {
            let island = self.instances[index].island;
            let reached = (0..self.instances.len())
                .filter(|other| self.runs(*other) && self.instances[*other].island == island);
            let most = reached.count() * 2 > self.instances.len();
            let settled = self.now >= self.instances[index].started_at + JOIN_TIME;
            if most && settled && self.runs(index) {
                self.instances[index].joined_at = Some(self.now);
            }
        }
    }

    fn arrive(&mut self, operations_per_s: f64) {
        let mut expected = operations_per_s * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                let instance = self.any_instance();
                if self.runs(instance) {
                    self.begin(instance);
                }
            }
            expected -= 1.0;
        }
    }

    fn begin(&mut self, instance: usize) {
        self.asked += 1;
        let known = &self.instances[instance].silent;
        let silent: Vec<bool> = self
            .owners()
            .into_iter()
            .map(|owner| known.contains(&self.instances[owner].name, self.now))
            .collect();
        self.operations.push(SimOperation {
            instance,
            began_at: self.now,
            next_at: self.now,
            plan: ClaimPlan::new(&silent),
            asked: Vec::new(),
            ended: false,
        });
    }

    fn claim(&mut self) {
        let owners = self.owners();
        for operation in 0..self.operations.len() {
            let instance = self.operations[operation].instance;
            let due = self.now >= self.operations[operation].next_at;
            if self.operations[operation].ended || !due || !self.runs(instance) {
                continue;
            }
            if self.now >= self.operations[operation].began_at + CLAIM_WAIT {
                self.operations[operation].ended = true;
                self.refused += 1;
                continue;
            }
            let place = self.operations[operation].plan.next().expect("there are owners");
            let owner = owners[place];
            if self.operations[operation].asked.contains(&owner) {
                let name = self.instances[owner].name.clone();
                self.instances[instance].silent.note(&name, self.now);
            }
            self.operations[operation].asked.push(owner);
            self.operations[operation].next_at = self.now + ANSWER_WAIT;
            if owner == instance {
                let verdict = self.judge(owner, true);
                self.end(operation, owner, verdict);
            } else {
                self.send(instance, owner, SimMessage::Claim { operation, counts: true });
            }
        }
    }

    fn end(&mut self, operation: usize, owner: usize, verdict: ClaimVerdict) {
        let instance = self.operations[operation].instance;
        let name = self.instances[owner].name.clone();
        self.instances[instance].silent.forget(&name);
        self.operations[operation].asked.retain(|asked| *asked != owner);
        if self.operations[operation].ended {
            return;
        }
        match verdict {
            ClaimVerdict::Granted => self.granted.push(self.now),
            ClaimVerdict::Spent(_) => self.refused += 1,
            ClaimVerdict::NotOwner => {
                self.operations[operation].next_at = self.now + Duration::from_millis(10);
                return;
            }
        }
        self.operations[operation].ended = true;
    }

    fn send(&mut self, from: usize, to: usize, message: SimMessage) {
        if self.random.random_bool(0.01) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..30));
        self.datagrams.push(SimDatagram { due: self.now + delay, from, to, message });
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|datagram| datagram.due <= self.now);
        self.datagrams = later;
        for datagram in due {
            let reached =
                self.instances[datagram.from].island == self.instances[datagram.to].island;
            if reached && self.runs(datagram.to) {
                self.take(datagram);
            }
        }
    }

    fn take(&mut self, datagram: SimDatagram) {
        let SimDatagram { from, to, message, .. } = datagram;
        match message {
            SimMessage::Claim { operation, counts: true } => {
                let verdict = self.judge(to, true);
                self.send(to, from, SimMessage::Answer { operation, verdict });
            }
            SimMessage::Claim { counts: false, .. } => {
                let grants = self.judge(to, false) != ClaimVerdict::NotOwner;
                self.send(to, from, SimMessage::ProbeAnswer { grants });
            }
            SimMessage::Answer { operation, verdict } => self.end(operation, from, verdict),
            SimMessage::ProbeAnswer { grants } => {
                let owner = self.instances[from].name.clone();
                let account = self.account.clone();
                self.instances[to].watch.note_answer(&account, &owner, grants, self.now);
            }
        }
    }

    fn judge(&mut self, index: usize, counts: bool) -> ClaimVerdict {
        let owners = self.owners();
        let place = owners.iter().position(|owner| *owner == index).expect("an owner");
        let mut standings = Vec::new();
        for earlier in &owners[..place] {
            let name = self.instances[*earlier].name.clone();
            if self.instances[index].watch.probe_is_due(&self.account, &name, self.now) {
                self.send(index, *earlier, SimMessage::Claim { operation: 0, counts: false });
            }
            let watch = &self.instances[index].watch;
            standings.push(watch.standing(&self.account, &name, self.now));
        }
        let role = OwnerRole::of(self.contact(index), &standings);
        if !counts {
            let grants = self.instances[index].ledger.grants(&self.account, role);
            return if grants { ClaimVerdict::Granted } else { ClaimVerdict::NotOwner };
        }
        let (limit, now) = (self.limit, self.now);
        self.instances[index].ledger.claim(&self.account, limit, BOUNDS, role, place, now)
    }

    fn contact(&mut self, index: usize) -> FleetContact {
        let now = self.now;
        let instance = &mut self.instances[index];
        let joined = instance.joined_at;
        if joined.is_none_or(|at| now >= at + LimitBounds::joined_life()) {
            instance.lost_at = Some(now);
            return FleetContact::Lost;
        }
        let settled_at = *instance.lost_at.get_or_insert(now) + BOUNDS.window;
        if now >= settled_at { FleetContact::Settled } else { FleetContact::Joined }
    }

    /// The most operations that ran in any window.
    pub(crate) fn most_in_window(&self) -> u64 {
        let mut most = 0;
        let mut first = 0;
        for (last, at) in self.granted.iter().enumerate() {
            while self.granted[first] + BOUNDS.window <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as u64
    }

    /// The most that may run in a window.
    pub(crate) fn allowed(&self) -> u64 {
        let limit = self.limit.in_window(BOUNDS.window);
        limit + limit * u64::from(BOUNDS.overage_permille) / 1000 + u64::from(BOUNDS.tolerance)
    }
}
