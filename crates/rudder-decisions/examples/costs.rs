//! Processor time of single decisions, and sizes of the state types.
//!
//! `cargo run --release -p rudder-decisions --example costs` prints JSON lines. Unlike the trials
//! it reads the clock, so the figures depend on the machine and on its other load.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_core::{LogStamp, MemberRole};
use rudder_decisions::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, LaneKey, LaneLimits, MemberHealth,
    MemberMeter, MemberView, MemberWeight, ReadDemand, ReadRouter, SilenceDetector, WorkClass,
    WorkEstimate, WorkSize,
};
use serde_json::json;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Decisions per measurement.
const ROUNDS: u32 = 200_000;

fn main() {
    for lanes in [9, 37, 2340] {
        print_cost(&format!("offer and release, {lanes} lanes"), time_admission(lanes));
    }
    for members in [3, 5] {
        print_cost(&format!("choose among {members} members"), time_routing(members));
    }
    for fingerprints in [16, 2048] {
        print_cost(
            &format!("estimate among {fingerprints} fingerprints"),
            time_estimate(fingerprints),
        );
    }
    let sizes = [
        ("MemberMeter", size_of::<MemberMeter>()),
        ("SilenceDetector", size_of::<SilenceDetector>()),
        ("MemberView", size_of::<MemberView>()),
        ("AdmissionRequest", size_of::<AdmissionRequest>()),
    ];
    for (name, bytes) in sizes {
        println!("{}", json!({"size": name, "bytes": bytes}));
    }
}

fn print_cost(name: &str, elapsed: Duration) {
    let each_ns = elapsed.as_nanos() / u128::from(ROUNDS);
    println!("{}", json!({"step": name, "ns_each": each_ns}));
}

fn lane(index: usize) -> LaneKey {
    LaneKey {
        service: format!("service-{}", index / 3).parse().expect("a valid name"),
        member: format!("member-{}", index % 3).parse().expect("a valid name"),
    }
}

fn time_admission(lanes: usize) -> Duration {
    let rng = &mut StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut gate = AdmissionGate::new();
    let keys: Vec<LaneKey> = (0..lanes).map(lane).collect();
    for key in &keys {
        gate.set_lane(key, LaneLimits { slots: 12, ..LaneLimits::default() });
    }
    let requests: Vec<AdmissionRequest> = keys
        .into_iter()
        .map(|lane| AdmissionRequest {
            lane,
            kind: "crews".parse().expect("a valid name"),
            caller: 1,
            class: WorkClass::Read,
            size: WorkSize::Short,
            sheddable: false,
            in_flight_max: 1000,
            queue_wait: Duration::from_secs(1),
            deadline: now + Duration::from_secs(60),
        })
        .collect();
    let start = Instant::now();
    for round in 0..ROUNDS as usize {
        let decision = gate.offer(&requests[round * 7 % lanes], now, rng);
        if let AdmissionDecision::Run(ticket) = decision {
            black_box(gate.release(ticket, now, rng));
        }
    }
    start.elapsed()
}

fn time_routing(members: usize) -> Duration {
    let rng = &mut StdRng::seed_from_u64(1);
    let view = |index: usize| MemberView {
        name: format!("member-{index}").parse().expect("a valid name"),
        role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
        domain: format!("domain-{index}").parse().expect("a valid name"),
        applied: LogStamp::new(1, 100),
        age: Some(Duration::from_millis(50)),
        lag: Duration::from_millis(50),
        in_flight: 1,
        slots: 5,
        sending_instances: 7,
        service: Duration::from_millis(10),
        link_cost: Duration::from_millis(8),
        health: MemberHealth::Ready,
        weight: MemberWeight::FULL,
    };
    let views: Vec<MemberView> = (0..members).map(view).collect();
    let demand = ReadDemand {
        floor: Some(LogStamp::new(1, 90)),
        floor_age: Duration::ZERO,
        max_staleness: Duration::from_secs(1),
        domain: "domain-1".parse().expect("a valid name"),
        wait_max: Duration::from_millis(50),
    };
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(ReadRouter::new().choose(&demand, &views, rng));
    }
    start.elapsed()
}

fn time_estimate(fingerprints: u64) -> Duration {
    let mut estimate = WorkEstimate::new();
    let start = Instant::now();
    for round in 0..u64::from(ROUNDS) {
        let fingerprint = round * 31 % fingerprints;
        black_box(estimate.size(fingerprint));
        estimate.observe(fingerprint, Duration::from_millis(10));
    }
    start.elapsed()
}
