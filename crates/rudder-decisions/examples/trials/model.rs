//! Discrete-event queueing model: instances that route requests, members that serve them, and the
//! links between them.

use rand::rngs::StdRng;
use rudder_decisions::WorkClass;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// Request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Arrival time since the start.
    pub(crate) at: Duration,
    /// Instance at which it arrives.
    pub(crate) instance: usize,
    /// Identifier of the caller.
    pub(crate) caller: u64,
    /// Name of the caller's kind.
    pub(crate) kind: &'static str,
    /// Whether it is shed before other requests under overload.
    pub(crate) shed: bool,
    /// Read or write.
    pub(crate) class: WorkClass,
    /// Service time at a member of speed 1.
    pub(crate) service: Duration,
    /// Fingerprint of the statement text without its constants.
    pub(crate) fingerprint: u64,
    /// Time after which the caller no longer waits for the response.
    pub(crate) timeout: Duration,
    /// Maximum wait for a slot, if it differs from that of the policy.
    pub(crate) queue_wait: Option<Duration>,
    /// Time of the last write of its session, if the request must see that write.
    pub(crate) floor: Option<Duration>,
}

/// Period in which a member is faulty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Start of the period.
    pub(crate) from: Duration,
    /// End of the period.
    pub(crate) until: Duration,
    /// Kind of the fault.
    pub(crate) kind: FaultKind,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// Every statement fails immediately.
    Failing,
    /// Caches are cold: service times are multiplied by this factor at first, and by less with each
    /// of the given number of statements.
    Cold(f64, u32),
}

/// Member of the group.
#[derive(Clone, Debug)]
pub(crate) struct MemberSpec {
    /// Speed relative to a reference member.
    pub(crate) speed: f64,
    /// Statements that run concurrently; further ones wait in the member in order of arrival.
    pub(crate) slots: u32,
    /// Whether the member is the primary.
    pub(crate) primary: bool,
    /// Round-trip time from each instance.
    pub(crate) links: Vec<Duration>,
    /// Replication lag behind the primary.
    pub(crate) lag: Duration,
    /// Fault of the member, if any.
    pub(crate) fault: Option<Fault>,
}

/// Action that a policy returns.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// Sends a request to a member.
    Send(usize, usize),
    /// Refuses a request, with the delay after which the caller may retry.
    Refuse(usize, Duration),
}

/// Routing and admission policy of one instance. Requests are identified by their index.
pub(crate) trait LoadPolicy {
    /// Handles the arrival of a request.
    fn on_request(
        &mut self,
        id: usize,
        request: &Request,
        time: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action>;
    /// Handles the response of a member. `latency` is the time at the member without the link, or
    /// `None` if the request failed.
    fn on_response(
        &mut self,
        id: usize,
        member: usize,
        latency: Option<Duration>,
        time: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action>;
    /// Returns the time at which [`LoadPolicy::on_wake`] must be called, if any.
    fn next_wake(&self) -> Option<Instant>;
    /// Handles everything that is due at `time`.
    fn on_wake(&mut self, time: Instant, rng: &mut StdRng) -> Vec<Action>;
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// First member that it was sent to.
    pub(crate) member: Option<usize>,
    /// Time at which the first response reached the instance, since the start.
    pub(crate) responded_at: Option<Duration>,
    /// Number of times it was sent.
    pub(crate) sends: u32,
    /// Whether the member reported a failure.
    pub(crate) failed: bool,
    /// Time of its refusal since the start, and the delay before a retry.
    pub(crate) refused: Option<(Duration, Duration)>,
}

/// Simulation event; request, member and instance are given by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrival(usize),
    MemberArrival(usize, usize),
    Completion(usize, usize),
    /// Request, member, and whether the request failed.
    Response(usize, usize, bool),
    Wake(usize),
}

#[derive(Default)]
struct MemberState {
    running: u32,
    /// Statements started so far.
    served: u32,
    queue: VecDeque<usize>,
}

/// Simulation of requests that reach members through one policy per instance.
pub(crate) struct QueueModel<'a> {
    origin: Instant,
    members: &'a [MemberSpec],
    requests: &'a [Request],
    policies: Vec<Box<dyn LoadPolicy>>,
    member_states: Vec<MemberState>,
    /// Events by time; the sequence number keeps simultaneous ones in insertion order.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    /// Members that each request reached, with the times.
    member_arrivals: Vec<Vec<(usize, Duration)>>,
    /// Next scheduled wake-up of each instance.
    scheduled_wakes: Vec<Option<Duration>>,
    outcomes: Vec<Outcome>,
    rng: StdRng,
}

impl<'a> QueueModel<'a> {
    /// Creates a model; `policies` has one policy per instance.
    pub(crate) fn new(
        members: &'a [MemberSpec],
        requests: &'a [Request],
        policies: Vec<Box<dyn LoadPolicy>>,
        origin: Instant,
        rng: StdRng,
    ) -> Self {
        Self {
            origin,
            members,
            requests,
            scheduled_wakes: vec![None; policies.len()],
            policies,
            member_states: members.iter().map(|_| MemberState::default()).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            member_arrivals: vec![Vec::new(); requests.len()],
            outcomes: vec![Outcome::default(); requests.len()],
            rng,
        }
    }

    /// Runs the simulation to its end and returns the outcome of each request.
    pub(crate) fn run(mut self) -> Vec<Outcome> {
        for id in 0..self.requests.len() {
            self.push(self.requests[id].at, Event::RequestArrival(id));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.handle(now, event);
        }
        self.outcomes
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let time = self.origin + now;
        match event {
            Event::RequestArrival(id) => {
                let instance = self.requests[id].instance;
                let request = &self.requests[id];
                let policy = &mut self.policies[instance];
                let actions = policy.on_request(id, request, time, &mut self.rng);
                self.apply(instance, &actions, now);
            }
            Event::MemberArrival(id, member) => self.reach_member(id, member, now),
            Event::Completion(id, member) => self.complete(id, member, now),
            Event::Response(id, member, failed) => self.respond(id, member, failed, now),
            Event::Wake(instance) => {
                self.scheduled_wakes[instance] = None;
                let actions = self.policies[instance].on_wake(time, &mut self.rng);
                self.apply(instance, &actions, now);
            }
        }
    }

    fn apply(&mut self, instance: usize, actions: &[Action], now: Duration) {
        for action in actions {
            match *action {
                Action::Send(id, member) => {
                    let outcome = &mut self.outcomes[id];
                    outcome.member.get_or_insert(member);
                    outcome.sends += 1;
                    self.push(now + self.one_way(id, member), Event::MemberArrival(id, member));
                }
                Action::Refuse(id, retry_after) => {
                    self.outcomes[id].refused = Some((now, retry_after));
                }
            }
        }
        let Some(wake) = self.policies[instance].next_wake() else {
            return;
        };
        let wake = wake.duration_since(self.origin).max(now);
        if self.scheduled_wakes[instance].is_none_or(|at| wake < at) {
            self.scheduled_wakes[instance] = Some(wake);
            self.push(wake, Event::Wake(instance));
        }
    }

    fn reach_member(&mut self, id: usize, member: usize, now: Duration) {
        self.member_arrivals[id].push((member, now));
        if matches!(self.fault_at(member, now), Some(FaultKind::Failing)) {
            self.push(now + self.one_way(id, member), Event::Response(id, member, true));
            return;
        }
        self.member_states[member].queue.push_back(id);
        self.start_next(member, now);
    }

    fn start_next(&mut self, member: usize, now: Duration) {
        if self.member_states[member].running >= self.members[member].slots {
            return;
        }
        let Some(id) = self.member_states[member].queue.pop_front() else {
            return;
        };
        self.member_states[member].running += 1;
        let service = self.requests[id].service.mul_f64(self.service_factor(member, now));
        self.member_states[member].served += 1;
        self.push(now + service, Event::Completion(id, member));
    }

    fn complete(&mut self, id: usize, member: usize, now: Duration) {
        self.member_states[member].running -= 1;
        self.push(now + self.one_way(id, member), Event::Response(id, member, false));
        self.start_next(member, now);
    }

    fn respond(&mut self, id: usize, member: usize, failed: bool, now: Duration) {
        let instance = self.requests[id].instance;
        let outcome = &mut self.outcomes[id];
        if outcome.responded_at.is_none() {
            outcome.responded_at = Some(now);
            outcome.failed = failed;
        }
        let arrivals = &self.member_arrivals[id];
        let arrival = arrivals.iter().find(|(reached, _)| *reached == member);
        let (_, arrived) =
            arrival.expect("responses come only from members that were sent the request");
        let at_member = now - self.one_way(id, member) - *arrived;
        let latency = (!failed).then_some(at_member);
        let time = self.origin + now;
        let policy = &mut self.policies[instance];
        let actions = policy.on_response(id, member, latency, time, &mut self.rng);
        self.apply(instance, &actions, now);
    }

    fn one_way(&self, id: usize, member: usize) -> Duration {
        self.members[member].links[self.requests[id].instance] / 2
    }

    fn fault_at(&self, member: usize, now: Duration) -> Option<FaultKind> {
        let fault = self.members[member].fault?;
        (fault.from <= now && now < fault.until).then_some(fault.kind)
    }

    /// Returns the factor by which service times at the member are multiplied.
    fn service_factor(&self, member: usize, now: Duration) -> f64 {
        let factor = match self.fault_at(member, now) {
            Some(FaultKind::Slow(factor)) => factor,
            Some(FaultKind::Cold(factor, statements)) => {
                let served = self.member_states[member].served.min(statements);
                factor - (factor - 1.0) * f64::from(served) / f64::from(statements)
            }
            _ => 1.0,
        };
        factor / self.members[member].speed
    }
}
