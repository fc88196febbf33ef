//! Load of an account at four times its limit: which claims are granted, and how often callers that
//! are not served try.

use super::fleet::BOUNDS;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::AccountName;
use rudder_decisions::{
    ClaimDecision, ClaimScope, ClaimTerms, LimitLedger, LimitQueues, OperationLimit, OwnerRole,
    PromisedTokens, QueueOutcome,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Instances that claim at the owner.
const INSTANCES: usize = 18;

/// Number of times that a caller repeats an operation.
const RETRIES_MAX: usize = 2;

/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(6);

/// Rule by which the owner assigns tokens.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TokenRule {
    /// First come, first served; every rejected claim is told the time of the next token.
    FirstCome,
    /// The queue of the owner.
    Queue,
}

/// Operations of one priority.
#[derive(Clone, Copy)]
struct LoadClass {
    priority: u8,
    times_limit: f64,
    target_ms: u64,
    timeout_ms: u64,
}

const URGENT: LoadClass =
    LoadClass { priority: 0, times_limit: 0.5, target_ms: 400, timeout_ms: 2500 };
const BACKGROUND: LoadClass =
    LoadClass { priority: 2, times_limit: 3.5, target_ms: 1500, timeout_ms: 2500 };

#[derive(Clone, Copy)]
struct Load {
    rule: TokenRule,
    classes: [LoadClass; 2],
    milli_per_second: u64,
    /// Probability that a retry uses the same session, which remembers the reservation.
    same_session: f64,
}

struct SimOperation {
    class: LoadClass,
    began_at: Duration,
    tries: usize,
    reservation: Option<u64>,
    refused_before: bool,
    granted_at: Option<Duration>,
}

#[derive(Clone, Copy)]
enum SimEvent {
    /// The caller sends the operation to an instance.
    Try(usize),
    /// The claim arrives at the owner.
    Claim { operation: usize, instance: usize },
    /// The outcome arrives at the instance.
    Outcome { operation: usize, instance: usize, outcome: QueueOutcome },
    /// The owner serves its queue.
    Serve,
}

/// Outcome of a simulated load.
struct LoadReport {
    operations: Vec<SimOperation>,
    /// Grants divided by the limit, for the worst window.
    worst_use: f64,
    most_in_window: usize,
    claims_sent: usize,
}

impl LoadReport {
    fn measured(&self, priority: u8) -> impl Iterator<Item = &SimOperation> {
        self.operations.iter().filter(move |operation| {
            operation.class.priority == priority && operation.began_at >= WARM_UP
        })
    }

    fn served_share(&self, priority: u8) -> f64 {
        let served = self.measured(priority).filter(|known| known.granted_at.is_some()).count();
        served as f64 / self.measured(priority).count() as f64
    }

    /// Share of the served operations that were granted within their latency target.
    fn on_time_share(&self) -> f64 {
        let served = || self.operations.iter().filter_map(|op| Some((op, op.granted_at?)));
        let on_time = served()
            .filter(|(operation, at)| {
                *at - operation.began_at <= Duration::from_millis(operation.class.target_ms)
            })
            .count();
        on_time as f64 / served().count() as f64
    }

    fn tries_per_unserved(&self) -> f64 {
        let unserved: Vec<_> =
            self.operations.iter().filter(|known| known.granted_at.is_none()).collect();
        unserved.iter().map(|known| known.tries).sum::<usize>() as f64 / unserved.len() as f64
    }
}

struct LoadRun {
    load: Load,
    random: SmallRng,
    now: Duration,
    account: AccountName,
    limit: OperationLimit,
    ledger: LimitLedger,
    queues: LimitQueues<(usize, usize)>,
    promised: Vec<PromisedTokens>,
    events: BTreeMap<(Duration, u64), SimEvent>,
    sequence: u64,
    operations: Vec<SimOperation>,
    granted_at: Vec<Duration>,
    claims_sent: usize,
    /// Time of the next service of the queue; other service events are outdated.
    serve_at: Option<Duration>,
}

impl LoadRun {
    fn new(load: Load, seed: u64) -> Self {
        let burst = u32::try_from(load.milli_per_second / 1000).expect("a burst");
        Self {
            load,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            account: "choirs".parse().expect("a name"),
            limit: OperationLimit { milli_per_second: load.milli_per_second, burst },
            ledger: LimitLedger::default(),
            queues: LimitQueues::new(0),
            promised: vec![PromisedTokens::default(); INSTANCES],
            events: BTreeMap::new(),
            sequence: 0,
            operations: Vec::new(),
            granted_at: Vec::new(),
            claims_sent: 0,
            serve_at: None,
        }
    }

    fn run(mut self, duration: Duration) -> LoadReport {
        let rate = self.load.milli_per_second as f64 / 1000.0;
        for class in self.load.classes {
            let count = (class.times_limit * rate * duration.as_secs_f64()) as usize;
            for _ in 0..count {
                let began_at = duration.mul_f64(self.random.random_range(0.0..1.0));
                self.operations.push(SimOperation {
                    class,
                    began_at,
                    tries: 0,
                    reservation: None,
                    refused_before: false,
                    granted_at: None,
                });
                self.schedule(began_at, SimEvent::Try(self.operations.len() - 1));
            }
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle(event);
        }
        self.report(duration)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Try(operation) => self.try_operation(operation),
            SimEvent::Claim { operation, instance } => self.claim(operation, instance),
            SimEvent::Serve => {
                if self.serve_at != Some(self.now) {
                    return;
                }
                self.serve_at = None;
                let scope = self.scope();
                let notices = self.queues.serve(&mut self.ledger, &self.account, scope);
                self.send(notices);
            }
            SimEvent::Outcome { operation, instance, outcome } => {
                self.complete(operation, instance, outcome);
            }
        }
    }

    fn try_operation(&mut self, operation: usize) {
        let instance = self.random.random_range(0..INSTANCES);
        let now = self.now;
        let known = &mut self.operations[operation];
        known.tries += 1;
        let class = known.class;
        let wait = Duration::from_millis(class.target_ms) / 2;
        let rate = self.load.milli_per_second;
        let rejected =
            self.promised[instance].try_reject(&self.account, class.priority, wait, rate, now);
        match rejected {
            Some(after) => {
                let after = after.max(Duration::from_millis(class.timeout_ms));
                self.retry(operation, after);
            }
            None => {
                self.claims_sent += 1;
                let at = now + self.delay();
                self.schedule(at, SimEvent::Claim { operation, instance });
            }
        }
    }

    fn claim(&mut self, operation: usize, instance: usize) {
        let known = &self.operations[operation];
        let timeout = Duration::from_millis(known.class.timeout_ms);
        let terms = ClaimTerms {
            priority: Some(known.class.priority),
            wait: Duration::from_millis(known.class.target_ms) / 2,
            deadline: timeout,
            refused_before: known.refused_before,
            reservation: known.reservation,
        };
        let scope = self.scope();
        match self.load.rule {
            TokenRule::Queue => {
                let claimant = (operation, instance);
                let notices =
                    self.queues.claim(&mut self.ledger, &self.account, scope, terms, claimant);
                self.send(notices);
            }
            TokenRule::FirstCome => {
                let ClaimScope { limit, bounds, role, rank, now } = scope;
                let decision = self.ledger.claim(&self.account, limit, bounds, role, rank, now);
                match decision {
                    ClaimDecision::Granted => {
                        self.granted_at.push(now);
                        let granted_at = now + self.delay();
                        self.operations[operation].granted_at = Some(granted_at);
                    }
                    ClaimDecision::Spent(after) => {
                        let jitter = Duration::from_millis(self.random.random_range(0..200));
                        self.retry(operation, after + jitter);
                    }
                    ClaimDecision::NotOwner => panic!("it is the owner"),
                }
            }
        }
    }

    fn send(&mut self, notices: Vec<rudder_decisions::QueueNotice<(usize, usize)>>) {
        for notice in notices {
            if matches!(notice.outcome, QueueOutcome::Granted { .. }) {
                self.granted_at.push(self.now);
            }
            let (operation, instance) = notice.claimant;
            let outcome = SimEvent::Outcome { operation, instance, outcome: notice.outcome };
            let at = self.now + self.delay();
            self.schedule(at, outcome);
        }
        let Some(at) = self.queues.next_service_at() else { return };
        let at = at.max(self.now + Duration::from_millis(1));
        if self.serve_at.is_none_or(|known| at < known) {
            self.serve_at = Some(at);
            self.schedule(at, SimEvent::Serve);
        }
    }

    fn complete(&mut self, operation: usize, instance: usize, outcome: QueueOutcome) {
        match outcome {
            QueueOutcome::Granted { .. } => self.operations[operation].granted_at = Some(self.now),
            QueueOutcome::Queued { .. } => {}
            QueueOutcome::Rejected(rejection) => {
                let class = self.operations[operation].class;
                if let Some(promised_for) = rejection.promised_for {
                    let until = self.now + promised_for;
                    self.promised[instance].record(&self.account, class.priority, until, self.now);
                }
                self.operations[operation].reservation = rejection.reservation;
                self.retry(operation, rejection.retry_after);
            }
            QueueOutcome::NotOwner => panic!("it is the owner"),
        }
    }

    /// Retries an operation if it has time and tries left.
    fn retry(&mut self, operation: usize, after: Duration) {
        let same_session = self.random.random_bool(self.load.same_session);
        let jitter = Duration::from_millis(self.random.random_range(6..40));
        let known = &mut self.operations[operation];
        let at = self.now + after + jitter;
        let deadline = known.began_at + Duration::from_millis(known.class.timeout_ms);
        known.refused_before = same_session;
        if !same_session {
            known.reservation = None;
        }
        if at < deadline && known.tries <= RETRIES_MAX {
            self.schedule(at, SimEvent::Try(operation));
        }
    }

    fn scope(&self) -> ClaimScope {
        let (limit, now) = (self.limit, self.now);
        ClaimScope { limit, bounds: BOUNDS, role: OwnerRole::Full, rank: 0, now }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(2..15))
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn report(self, duration: Duration) -> LoadReport {
        let in_window = |from: Duration| {
            let window = from..from + BOUNDS.window;
            self.granted_at.iter().filter(|at| window.contains(at)).count()
        };
        let starts = (WARM_UP.as_millis()..(duration - BOUNDS.window).as_millis()).step_by(250);
        let counts: Vec<usize> =
            starts.map(|ms| in_window(Duration::from_millis(ms as u64))).collect();
        let limit = self.load.milli_per_second as f64 / 1000.0 * BOUNDS.window.as_secs_f64();
        LoadReport {
            worst_use: *counts.iter().min().expect("windows") as f64 / limit,
            most_in_window: *counts.iter().max().expect("windows"),
            operations: self.operations,
            claims_sent: self.claims_sent,
        }
    }
}

fn load(rule: TokenRule, milli_per_second: u64, same_session: f64) -> Load {
    Load { rule, classes: [URGENT, BACKGROUND], milli_per_second, same_session }
}

fn run(load: Load, seed: u64) -> LoadReport {
    let report = LoadRun::new(load, seed).run(Duration::from_secs(36));
    println!(
        "seed {seed}, rate {}, same session {}: worst use {:.3}, urgent served {:.3}, \
         background served {:.3}, on time {:.3}, tries per unserved {:.2}, claims sent {}",
        load.milli_per_second / 1000,
        load.same_session,
        report.worst_use,
        report.served_share(0),
        report.served_share(2),
        report.on_time_share(),
        report.tries_per_unserved(),
        report.claims_sent,
    );
    report
}

/// Whether a load is served as the owner's queue has to serve it.
fn meets_targets(report: &LoadReport) -> bool {
    report.served_share(0) >= 0.97
        && report.worst_use >= 0.97
        && report.tries_per_unserved() < 1.5
        && report.on_time_share() >= 0.95
}

/// Urgent work could be rejected as often as any other, callers that are not served could retry
/// again and again, and tokens could stay unused while claims wait or are promised a token.
#[test]
fn an_account_at_four_times_its_limit_is_served_by_priority() {
    for rate in [30_000, 160_000] {
        for same_session in [0.0, 0.5, 1.0] {
            for seed in 0..4 {
                let report = run(load(TokenRule::Queue, rate, same_session), seed);
                assert!(meets_targets(&report), "seed {seed}");
            }
        }
    }
}

/// The load must distinguish the queue from the rule that serves claims as they arrive.
#[test]
fn first_come_first_served_does_not_meet_the_targets() {
    for seed in 0..4 {
        let report = run(load(TokenRule::FirstCome, 30_000, 0.5), seed);
        assert!(!meets_targets(&report), "seed {seed}");
        assert!(report.served_share(0) < 0.8 && report.tries_per_unserved() > 2.0);
    }
}

/// Urgent work above the limit could starve all other work.
#[test]
fn the_lowest_priority_gets_one_of_eight_tokens() {
    for seed in 0..4 {
        let classes = [
            LoadClass { times_limit: 2.0, ..URGENT },
            LoadClass { times_limit: 2.0, ..BACKGROUND },
        ];
        let report = run(Load { classes, ..load(TokenRule::Queue, 80_000, 0.5) }, seed);
        let served = |priority| {
            report.measured(priority).filter(|known| known.granted_at.is_some()).count() as f64
        };
        let share = served(2) / (served(0) + served(2));
        assert!((0.115..0.2).contains(&share), "seed {seed}: {share}");
        assert!(report.worst_use >= 0.97, "seed {seed}: {}", report.worst_use);
    }
}

/// Claims that wait or are promised a token must not add to what the bucket grants.
#[test]
fn queued_claims_stay_within_the_limit() {
    for seed in 0..4 {
        let report = run(load(TokenRule::Queue, 30_000, 0.5), seed);
        let limit = OperationLimit { milli_per_second: 30_000, burst: 30 };
        assert!(report.most_in_window as u64 <= limit.in_window(BOUNDS.window));
    }
}
