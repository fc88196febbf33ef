//! Division of a member's slots among seven instances: no division, an equal split of connections,
//! one slot each, a limit adapted from latency, and a home instance to which the others forward.
//!
//! The group has a primary, a replica of the same speed and a slow replica. Requests come in
//! bursts; a quarter of them are writes, and a twentieth of the reads must see a write made
//! immediately before.

use super::arrivals::{ArrivalPattern, capacity, member};
use super::current::{LimitRule, PolicySettings};
use super::model::{MemberSpec, Outcome, Request};
use super::report::{TrialRow, print_rows};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_decisions::WorkClass;
use std::time::Duration;

const INSTANCES: usize = 7;
const LENGTH: Duration = Duration::from_secs(60);
const LOADS: [f64; 4] = [0.6, 0.8, 0.92, 1.1];

/// Round-trip time between an instance and a member, and between an instance and the home instance.
const LINK: Duration = Duration::from_millis(8);

/// Connections per instance: 30, less 3 for control statements, split among seven instances.
const CONNECTIONS_PER_INSTANCE: u32 = 3;

/// Statements that the home instance keeps in flight at a member. Of 9, 12, 15 and 25 this value
/// gave the best results.
const HOME_IN_FLIGHT_MAX: u32 = 15;

const WRITE_SHARE: f64 = 0.25;
const SESSION_SHARE: f64 = 0.05;

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    for (trial, skewed) in [("slot_division", false), ("slot_division_uneven", true)] {
        let rows: Vec<TrialRow> =
            LOADS.iter().flat_map(|load| run_load(*load, skewed, seed)).collect();
        print_rows(trial, &rows);
    }
}

fn run_load(load: f64, skewed: bool, seed: u64) -> Vec<TrialRow> {
    let replica_share = (1.0 - WRITE_SHARE) * (1.0 - SESSION_SHARE);
    let rate = capacity(&group(INSTANCES)[1..]) * load / replica_share;
    let pattern = ArrivalPattern {
        write_share: WRITE_SHARE,
        session_share: SESSION_SHARE,
        burst: 2.0,
        timeout: Duration::from_secs(2),
        ..ArrivalPattern::steady(rate, LENGTH, INSTANCES)
    };
    let mut requests = pattern.draw(&mut StdRng::seed_from_u64(seed));
    if skewed {
        // Half of the callers are connected to the same instance.
        requests
            .iter_mut()
            .filter(|request| request.caller % 2 == 0)
            .for_each(|request| request.instance = 0);
    }
    let outcomes = simulate(&group(INSTANCES), &requests, PolicyChoice::RoundRobin, seed);
    let mut rows = vec![row(load, "round robin, no limits", &requests, &outcomes)];
    let demand_permille = if skewed { 570 } else { 143 };
    let rules = [
        ("member's slots each", LimitRule::Slots),
        ("equal split of connections", LimitRule::Fixed(CONNECTIONS_PER_INSTANCE)),
        ("equal split of slots", LimitRule::Fixed(1)),
        ("adaptive", LimitRule::Adaptive),
        ("window, even connections", LimitRule::WindowEven),
        ("window, connections by demand", LimitRule::WindowByDemand(demand_permille)),
        ("window, no division", LimitRule::Window),
    ];
    for (name, limit) in rules {
        let choice = PolicyChoice::Current(settings(limit));
        rows.push(row(
            load,
            name,
            &requests,
            &simulate(&group(INSTANCES), &requests, choice, seed),
        ));
    }
    rows.push(row(load, "home", &requests, &simulate_home(&requests, seed)));
    rows
}

fn settings(limit: LimitRule) -> PolicySettings {
    PolicySettings { limit, queue_wait: Duration::from_secs(1), ..PolicySettings::default() }
}

fn row(load: f64, policy: &str, requests: &[Request], outcomes: &[Outcome]) -> TrialRow {
    let reads = |request: &Request| request.class == WorkClass::Read;
    let summarize =
        |selects: &dyn Fn(&Request, &Outcome) -> bool| LoadSummary::of(requests, outcomes, selects);
    let all = summarize(&|_, _| true);
    let ordinary_reads = summarize(&|request, _| reads(request) && request.floor.is_none());
    let fresh_reads = summarize(&|request, _| reads(request) && request.floor.is_some());
    let writes = summarize(&|request, _| !reads(request));
    let on_replica = summarize(&|request, outcome| {
        reads(request) && outcome.member.is_some_and(|index| index > 0)
    });
    TrialRow::new(format!("load {load}"), policy)
        .with("goodput_share", all.served_share())
        .with("refused", all.refused as f64)
        .with("replica_share", {
            on_replica.requests as f64 / (ordinary_reads.requests + fresh_reads.requests) as f64
        })
        .with("read_mean_ms", ordinary_reads.mean_ms)
        .with("read_p99_ms", ordinary_reads.p99_ms)
        .with("fresh_read_mean_ms", fresh_reads.mean_ms)
        .with("fresh_read_p99_ms", fresh_reads.p99_ms)
        .with("write_mean_ms", writes.mean_ms)
        .with("write_p99_ms", writes.p99_ms)
}

/// Simulates all requests at one home instance, with an additional round trip for requests that
/// arrive at other instances.
fn simulate_home(requests: &[Request], seed: u64) -> Vec<Outcome> {
    let one_way = LINK / 2;
    let is_remote = |request: &Request| request.instance != 0;
    let mut forwarded: Vec<Request> = requests.to_vec();
    for request in forwarded.iter_mut().filter(|request| is_remote(request)) {
        request.at += one_way;
        request.instance = 0;
    }
    forwarded.sort_by_key(|request| request.at);
    let choice = PolicyChoice::Current(settings(LimitRule::Fixed(HOME_IN_FLIGHT_MAX)));
    let mut outcomes = simulate(&group(1), &forwarded, choice, seed);
    // Forwarding may change the arrival order; restore the order of the requests.
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_by_key(|&id| {
        requests[id].at + if is_remote(&requests[id]) { one_way } else { Duration::ZERO }
    });
    let unordered = std::mem::take(&mut outcomes);
    outcomes = vec![Outcome::default(); requests.len()];
    for (outcome, id) in unordered.into_iter().zip(order) {
        let return_delay = if is_remote(&requests[id]) { one_way } else { Duration::ZERO };
        outcomes[id] =
            Outcome { responded_at: outcome.responded_at.map(|at| at + return_delay), ..outcome };
    }
    outcomes
}

/// Returns a primary, a replica of the same speed and a slow replica.
fn group(instances: usize) -> Vec<MemberSpec> {
    let lagging =
        |speed| MemberSpec { lag: Duration::from_millis(100), ..member(speed, 5, LINK, instances) };
    let primary = MemberSpec { primary: true, ..member(1.0, 5, LINK, instances) };
    vec![primary, lagging(1.0), lagging(0.4)]
}
