use super::SEED;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_decisions::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, LaneKey, LaneLimits, RefusalCause,
    TicketOutcome, WorkClass, WorkSize,
};
use std::time::{Duration, Instant};

fn request(caller: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        lane: LaneKey {
            service: "service".parse().expect("a valid name"),
            member: "member".parse().expect("a valid name"),
        },
        kind: "crews".parse().expect("a valid name"),
        caller,
        class: WorkClass::Read,
        size: WorkSize::Short,
        sheddable: false,
        in_flight_max: 1000,
        queue_wait: Duration::from_millis(200),
        deadline: now + Duration::from_secs(10),
    }
}

fn gate(slots: u32) -> AdmissionGate {
    let mut gate = AdmissionGate::new();
    let limits = LaneLimits { slots, queue_max: 10, mixed: false };
    gate.set_lane(&request(0, Instant::now()).lane, limits);
    gate
}

fn refusal_cause(decision: AdmissionDecision) -> RefusalCause {
    match decision {
        AdmissionDecision::Refuse(reason) => reason.word,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

// A request that waits for a slot must be refused when its wait expires. Releasing its ticket later
// must not free a slot, as it never held one.
#[test]
fn a_request_is_refused_when_its_wait_expires() {
    let (mut gate, now) = (gate(1), Instant::now());
    let rng = &mut StdRng::seed_from_u64(SEED);
    let running = gate.offer(&request(1, now), now, rng);
    let waiting = gate.offer(&request(2, now), now, rng);
    let expiry = gate.next_expiry().unwrap();

    let before_expiry = gate.expire(expiry - Duration::from_nanos(1), rng);
    let notices = gate.expire(expiry, rng);

    let AdmissionDecision::Wait(ticket) = waiting else { panic!("{waiting:?}") };
    assert!(matches!(running, AdmissionDecision::Run(_)));
    assert!(before_expiry.is_empty());
    assert_eq!(expiry, now + Duration::from_millis(200));
    assert_eq!(notices.len(), 1);
    assert!(matches!(notices[0].outcome, TicketOutcome::Refuse(reason)
        if reason.word == RefusalCause::WaitOver));
    assert!(gate.release(ticket, expiry, rng).is_empty());
    assert_eq!(gate.usage(&request(1, now).lane).reads, 1);
}

// When the slots of a member increase while requests wait, a new request must not overtake them.
#[test]
fn a_raised_limit_serves_waiting_requests_first() {
    let (mut gate, now) = (gate(1), Instant::now());
    let rng = &mut StdRng::seed_from_u64(SEED);
    gate.offer(&request(1, now), now, rng);
    let waiting = gate.offer(&request(2, now), now, rng);
    gate.set_lane(&request(0, now).lane, LaneLimits { slots: 2, queue_max: 10, mixed: false });

    let newcomer = gate.offer(&request(3, now), now, rng);
    let notices = gate.expire(now, rng);

    let AdmissionDecision::Wait(ticket) = waiting else { panic!("{waiting:?}") };
    assert!(matches!(newcomer, AdmissionDecision::Wait(_)));
    assert_eq!(notices.len(), 1);
    assert_eq!((notices[0].ticket, notices[0].outcome), (ticket, TicketOutcome::Run));
}

#[test]
fn one_caller_cannot_exhaust_the_limit_of_its_kind() {
    let (mut gate, now) = (gate(100), Instant::now());
    let rng = &mut StdRng::seed_from_u64(SEED);
    let request_of = |caller| AdmissionRequest { in_flight_max: 4, ..request(caller, now) };

    let busy: Vec<AdmissionDecision> =
        (0..4).map(|_| gate.offer(&request_of(1), now, rng)).collect();
    let other = gate.offer(&request_of(2), now, rng);
    let over_limit = gate.offer(&request_of(3), now, rng);

    assert_eq!(refusal_cause(busy[3]), RefusalCause::CallerLimit);
    assert!(matches!(other, AdmissionDecision::Run(_)));
    assert_eq!(refusal_cause(over_limit), RefusalCause::KindLimit);
}

// A thousand callers are refused at the same time. With equal retry delays they would all retry
// together and be refused again.
#[test]
fn retry_delays_of_refused_callers_are_spread() {
    let (mut gate, now) = (gate(2), Instant::now());
    let rng = &mut StdRng::seed_from_u64(SEED);

    let mut retry_delays: Vec<Duration> = (0..1000)
        .filter_map(|caller| match gate.offer(&request(caller, now), now, rng) {
            AdmissionDecision::Refuse(reason) => Some(reason.retry_after),
            _ => None,
        })
        .collect();

    retry_delays.sort_unstable();
    let most_in_100_ms = retry_delays
        .iter()
        .map(|first| {
            let last = *first + Duration::from_millis(100);
            retry_delays.iter().filter(|at| **at >= *first && **at < last).count()
        })
        .max();
    assert!(retry_delays.len() > 900);
    // Two slots serve 20 requests of 10 ms each in 100 ms; random delays may exceed this somewhat.
    assert!(most_in_100_ms.unwrap() <= 40, "{most_in_100_ms:?}");
}
