//! Hedged reads: a read without a response after a delay is also sent to the other replica.
//!
//! The first response counts. The other statement runs to completion, because cancelling it would
//! need another connection. The service time of a statement is the same at both replicas, apart
//! from queueing and speed.

use super::arrivals::{ArrivalPattern, capacity, member};
use super::current::{CurrentPolicy, PolicySettings};
use super::model::{Action, Fault, FaultKind, LoadPolicy, MemberSpec, QueueModel, Request};
use super::report::{TrialRow, print_rows};
use super::summary::LoadSummary;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::{Duration, Instant};

const INSTANCES: usize = 7;
const LENGTH: Duration = Duration::from_secs(60);
const LINK: Duration = Duration::from_millis(2);
/// Mean service time that the policy assumes before the first measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Delays before the second send: about the 95th and the 99th percentile of the response time
/// without load.
const DELAYS: [Duration; 2] = [Duration::from_millis(32), Duration::from_millis(48)];

/// Read that has been sent at least once.
struct HedgedRead {
    id: usize,
    first_member: usize,
    /// Time of the second send, unless it was made or a response came first.
    hedge_at: Option<Instant>,
}

/// Current policy with hedged reads.
struct HedgingPolicy {
    inner: CurrentPolicy,
    delay: Duration,
    reads: Vec<HedgedRead>,
}

impl HedgingPolicy {
    /// Schedules the second send of each read that is sent.
    fn record_sends(&mut self, actions: Vec<Action>, time: Instant) -> Vec<Action> {
        for action in &actions {
            if let Action::Send(id, member) = *action {
                let hedge_at = Some(time + self.delay);
                self.reads.push(HedgedRead { id, first_member: member, hedge_at });
            }
        }
        actions
    }
}

impl LoadPolicy for HedgingPolicy {
    fn on_request(
        &mut self,
        id: usize,
        request: &Request,
        time: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action> {
        let actions = self.inner.on_request(id, request, time, rng);
        self.record_sends(actions, time)
    }

    fn on_response(
        &mut self,
        id: usize,
        member: usize,
        latency: Option<Duration>,
        time: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action> {
        let read = self.reads.iter_mut().find(|read| read.id == id).expect("the read was sent");
        read.hedge_at = None;
        if read.first_member != member {
            return Vec::new();
        }
        let actions = self.inner.on_response(id, member, latency, time, rng);
        self.record_sends(actions, time)
    }

    fn next_wake(&self) -> Option<Instant> {
        let hedge_times = self.reads.iter().filter_map(|read| read.hedge_at);
        hedge_times.chain(self.inner.next_wake()).min()
    }

    fn on_wake(&mut self, time: Instant, rng: &mut StdRng) -> Vec<Action> {
        let mut hedges = Vec::new();
        for read in self.reads.iter_mut().filter(|read| read.hedge_at.is_some_and(|at| at <= time))
        {
            read.hedge_at = None;
            hedges.push(Action::Send(read.id, if read.first_member == 1 { 2 } else { 1 }));
        }
        let actions = self.inner.on_wake(time, rng);
        hedges.extend(self.record_sends(actions, time));
        hedges
    }
}

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    let slow = Fault {
        from: Duration::from_secs(10),
        until: Duration::from_secs(40),
        kind: FaultKind::Slow(10.0),
    };
    let scenarios = [
        ("healthy, load 0.3", 0.3, None),
        ("healthy, load 0.6", 0.6, None),
        ("healthy, load 0.8", 0.8, None),
        ("one slow x10, load 0.3", 0.3, Some(slow)),
        ("one slow x10, load 0.45", 0.45, Some(slow)),
    ];
    let rows: Vec<TrialRow> = scenarios
        .iter()
        .flat_map(|(name, load, fault)| run_scenario(name, *load, *fault, seed))
        .collect();
    print_rows("hedging", &rows);
}

fn run_scenario(name: &str, load: f64, fault: Option<Fault>, seed: u64) -> Vec<TrialRow> {
    let members = group(fault);
    let rate = capacity(&members[1..]) * load;
    let requests =
        ArrivalPattern::steady(rate, LENGTH, INSTANCES).draw(&mut StdRng::seed_from_u64(seed));
    let delays = std::iter::once(None).chain(DELAYS.map(Some));
    delays.map(|delay| row(name, delay, &members, &requests, seed)).collect()
}

fn row(
    name: &str,
    delay: Option<Duration>,
    members: &[MemberSpec],
    requests: &[Request],
    seed: u64,
) -> TrialRow {
    let origin = Instant::now();
    let policy_of = |instance| -> Box<dyn LoadPolicy> {
        let settings = PolicySettings::default();
        let inner = CurrentPolicy::new(settings, members, instance, origin, INITIAL_SERVICE_TIME);
        match delay {
            Some(delay) => Box::new(HedgingPolicy { inner, delay, reads: Vec::new() }),
            None => Box::new(inner),
        }
    };
    let policies = (0..INSTANCES).map(policy_of).collect();
    let rng = StdRng::seed_from_u64(seed);
    let outcomes = QueueModel::new(members, requests, policies, origin, rng).run();
    let summary = LoadSummary::of(requests, &outcomes, |_, _| true);
    let sends: u32 = outcomes.iter().map(|outcome| outcome.sends).sum();
    let policy = delay.map_or("no hedging".to_owned(), |delay| format!("after {delay:?}"));
    TrialRow::new(name, policy)
        .with("mean_ms", summary.mean_ms)
        .with("p99_ms", summary.p99_ms)
        .with("sends_per_read", f64::from(sends) / requests.len() as f64)
}

fn group(fault: Option<Fault>) -> Vec<MemberSpec> {
    let replica = member(1.0, 5, LINK, INSTANCES);
    let primary = MemberSpec { primary: true, ..replica.clone() };
    vec![primary, replica.clone(), MemberSpec { fault, ..replica }]
}
