use super::SEED;
use proptest::collection::vec;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_decisions::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, LaneKey, LaneLimits, TicketId,
    TicketNotice, TicketOutcome, WorkClass, WorkSize,
};
use std::time::{Duration, Instant};

/// Step of a random sequence of operations on the gate.
#[derive(Clone, Debug)]
enum GateStep {
    Offer { caller: u64, write: bool, long: bool, shed: bool, wait_ms: u64 },
    Release(usize),
    Advance { ms: u64 },
    Resize { slots: u32 },
}

fn steps() -> impl Strategy<Value = Vec<GateStep>> {
    let offer = (0..4_u64, any::<bool>(), any::<bool>(), any::<bool>(), 1..200_u64).prop_map(
        |(caller, write, long, shed, wait_ms)| GateStep::Offer {
            caller,
            write,
            long,
            shed,
            wait_ms,
        },
    );
    let release = any::<usize>().prop_map(GateStep::Release);
    let advance = (1..100_u64).prop_map(|ms| GateStep::Advance { ms });
    let resize = (1..6_u32).prop_map(|slots| GateStep::Resize { slots });
    vec(prop_oneof![6 => offer, 4 => release, 2 => advance, 1 => resize], 1..200)
}

fn lane() -> LaneKey {
    LaneKey {
        service: "service".parse().expect("a valid name"),
        member: "member".parse().expect("a valid name"),
    }
}

/// Gate under test and the expected state of its tickets.
struct GateRun {
    gate: AdmissionGate,
    rng: StdRng,
    now: Instant,
    slots: u32,
    running: Vec<TicketId>,
    waiting: Vec<TicketId>,
}

impl GateRun {
    fn new() -> Self {
        let mut run = Self {
            gate: AdmissionGate::new(),
            rng: StdRng::seed_from_u64(SEED),
            now: Instant::now(),
            slots: 0,
            running: Vec::new(),
            waiting: Vec::new(),
        };
        run.resize(3);
        run
    }

    fn resize(&mut self, slots: u32) {
        self.slots = slots;
        self.gate.set_lane(&lane(), LaneLimits { slots, queue_max: 20, mixed: true });
        let notices = self.gate.expire(self.now, &mut self.rng);
        self.apply_notices(&notices);
    }

    fn step(&mut self, step: &GateStep) {
        match *step {
            GateStep::Offer { caller, write, long, shed, wait_ms } => {
                let request = AdmissionRequest {
                    lane: lane(),
                    kind: "crews".parse().expect("a valid name"),
                    caller,
                    class: if write { WorkClass::Write } else { WorkClass::Read },
                    size: if long { WorkSize::Long } else { WorkSize::Short },
                    sheddable: shed,
                    in_flight_max: 15,
                    queue_wait: Duration::from_millis(wait_ms),
                    deadline: self.now + Duration::from_secs(5),
                };
                match self.gate.offer(&request, self.now, &mut self.rng) {
                    AdmissionDecision::Run(ticket) => self.running.push(ticket),
                    AdmissionDecision::Wait(ticket) => self.waiting.push(ticket),
                    AdmissionDecision::Refuse(_) => {}
                }
            }
            GateStep::Release(index) => {
                if !self.running.is_empty() {
                    let ticket = self.running.swap_remove(index % self.running.len());
                    let notices = self.gate.release(ticket, self.now, &mut self.rng);
                    self.apply_notices(&notices);
                }
            }
            GateStep::Advance { ms } => {
                self.now += Duration::from_millis(ms);
                let notices = self.gate.expire(self.now, &mut self.rng);
                self.apply_notices(&notices);
            }
            GateStep::Resize { slots } => self.resize(slots),
        }
    }

    /// Applies notices; each must refer to a waiting ticket and ends its wait.
    fn apply_notices(&mut self, notices: &[TicketNotice]) {
        for notice in notices {
            let found = self.waiting.iter().position(|ticket| *ticket == notice.ticket);
            self.waiting.swap_remove(found.expect("a notice must refer to a waiting ticket"));
            if notice.outcome == TicketOutcome::Run {
                self.running.push(notice.ticket);
            }
        }
    }
}

proptest! {
    #[test]
    fn every_ticket_has_one_outcome_and_no_slot_is_granted_twice(steps in steps()) {
        let mut run = GateRun::new();

        for step in &steps {
            let running_before = run.running.len();
            run.step(step);

            let usage = run.gate.usage(&lane());
            prop_assert_eq!((usage.reads + usage.writes) as usize, run.running.len());
            prop_assert_eq!(usage.waiting as usize, run.waiting.len());
            // A lowered limit revokes no slot, but no slot is granted while the limit is exceeded.
            prop_assert!(run.running.len() <= running_before.max(run.slots as usize));
            prop_assert!(run.gate.next_expiry().is_none_or(|expiry| expiry > run.now));
        }
        while !run.running.is_empty() {
            run.step(&GateStep::Release(0));
        }
        prop_assert!(run.waiting.is_empty(), "waiting requests are served once slots are free");
    }
}
