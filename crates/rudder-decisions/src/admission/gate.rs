//! The admission gate of one instance: limits per kind and per caller, and a lane per member.
//!
//! Thresholds: one caller gets at most [`CALLER_LIMIT_FRACTION`] of the limit of its kind, so that
//! a single busy caller cannot exhaust the limit and cause other callers to be refused. Sheddable
//! requests are refused once [`SHED_QUEUE_FRACTION`] of the queue is in use, so that the queue
//! always has room for a burst of the others. A request that is not expected to get a slot before
//! its wait expires is refused at once: queueing it would only take up queue space, and the earlier
//! refusal lets its caller retry sooner.

use super::lane::{FlowKey, LaneLimits, LaneUsage, MemberLane, WaitingTicket};
use super::request::{
    AdmissionDecision, AdmissionRequest, LaneKey, RefusalCause, RefusalReason, TicketId,
    TicketNotice, TicketOutcome,
};
use super::retry_after::RetryPacer;
use rand::Rng;
use rudder_core::CallerKind;
use std::time::Instant;

/// Fraction of the limit of its kind that one caller may use.
const CALLER_LIMIT_FRACTION: f64 = 0.75;

/// Fraction of the queue that has to be in use before sheddable requests are refused.
const SHED_QUEUE_FRACTION: f64 = 0.5;

#[derive(Clone, Debug)]
struct LaneRecord {
    key: LaneKey,
    lane: MemberLane,
    pacer: RetryPacer,
}

#[derive(Clone, Debug)]
struct TicketRecord {
    ticket: TicketId,
    lane: LaneKey,
    kind: CallerKind,
    flow: FlowKey,
    running_since: Option<Instant>,
}

/// Number of requests, running or waiting, of one kind or of one caller of a kind.
#[derive(Clone, Debug)]
struct UsageCount<K> {
    key: K,
    count: u32,
}

/// Decides which requests run, wait or are refused. Each instance has one gate.
///
/// ```
/// use rand::SeedableRng;
/// use rudder_decisions::{
///     AdmissionDecision, AdmissionGate, AdmissionRequest, LaneKey, LaneLimits, WorkClass,
///     WorkSize,
/// };
/// use std::time::{Duration, Instant};
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let now = Instant::now();
/// let lane = LaneKey { service: "scores-db".parse()?, member: "scores-1".parse()? };
/// let request = AdmissionRequest {
///     lane: lane.clone(),
///     kind: "copyist".parse()?,
///     caller: 7,
///     class: WorkClass::Read,
///     size: WorkSize::Short,
///     sheddable: false,
///     in_flight_max: 100,
///     queue_wait: Duration::from_secs(1),
///     deadline: now + Duration::from_secs(30),
/// };
/// let mut gate = AdmissionGate::new();
/// gate.set_lane(&lane, LaneLimits { slots: 1, ..LaneLimits::default() });
///
/// let AdmissionDecision::Run(first) = gate.offer(&request, now, &mut rng) else { panic!() };
/// let AdmissionDecision::Wait(second) = gate.offer(&request, now, &mut rng) else { panic!() };
/// let notices = gate.release(first, now, &mut rng);
///
/// assert_eq!(notices[0].ticket, second);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    lanes: Vec<LaneRecord>,
    tickets: Vec<TicketRecord>,
    kinds: Vec<UsageCount<CallerKind>>,
    callers: Vec<UsageCount<(CallerKind, u64)>>,
    next_ticket: u64,
}

impl AdmissionGate {
    /// Creates a gate without lanes.
    ///
    /// ```
    /// assert!(rudder_decisions::AdmissionGate::new().next_expiry().is_none());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a lane or changes its limits. Callers call [`AdmissionGate::expire`] afterwards, so
    /// that waiting requests get the slots of a raised limit. A lane that was never set has the
    /// default limits.
    ///
    /// ```
    /// use rudder_decisions::{AdmissionGate, LaneKey, LaneLimits};
    /// let lane = LaneKey { service: "a".parse()?, member: "b".parse()? };
    /// AdmissionGate::new().set_lane(&lane, LaneLimits::default());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn set_lane(&mut self, key: &LaneKey, limits: LaneLimits) {
        self.lane_or_insert(key).lane.limits = limits;
    }

    /// Returns the number of running and waiting requests of a lane.
    ///
    /// ```
    /// use rudder_decisions::{AdmissionGate, LaneKey, LaneUsage};
    /// let lane = LaneKey { service: "a".parse()?, member: "b".parse()? };
    /// assert_eq!(AdmissionGate::new().usage(&lane), LaneUsage::default());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn usage(&self, key: &LaneKey) -> LaneUsage {
        let index = self.lanes.binary_search_by(|record| record.key.cmp(key));
        index.map_or_else(|_| LaneUsage::default(), |index| self.lanes[index].lane.usage())
    }

    /// Decides whether a new request runs, waits or is refused.
    ///
    /// See the example of [`AdmissionGate`].
    pub fn offer(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> AdmissionDecision {
        if let Some(cause) = self.refusal_cause(request, now) {
            return AdmissionDecision::Refuse(self.refusal_reason(&request.lane, cause, now, rng));
        }
        let flow = flow_of(request);
        let ticket = self.open_ticket(request, flow);
        let lane = &mut self.lane_or_insert(&request.lane).lane;
        // After a raised limit, waiting requests go first; otherwise new requests would overtake
        // them.
        if lane.has_room(flow) && !lane.can_serve_next() {
            lane.acquire_slot(flow);
            self.mark_running(ticket, now);
            return AdmissionDecision::Run(ticket);
        }
        let expires_at = request.deadline.min(now + request.queue_wait);
        lane.enqueue(flow, WaitingTicket { ticket, expires_at });
        AdmissionDecision::Wait(ticket)
    }

    /// Releases a ticket, running or waiting, and returns the notices for waiting tickets that now
    /// run or are refused. An unknown ticket changes nothing, so releasing a ticket twice is safe.
    ///
    /// See the example of [`AdmissionGate`].
    pub fn release(
        &mut self,
        ticket: TicketId,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Vec<TicketNotice> {
        let Some(record) = self.close_ticket(ticket) else {
            return Vec::new();
        };
        let lane = &mut self.lane_or_insert(&record.lane).lane;
        match record.running_since {
            Some(since) => lane.release_slot(record.flow, now.duration_since(since)),
            None => {
                lane.remove_ticket(ticket);
            }
        }
        self.expire_and_serve(&record.lane, now, rng)
    }

    /// Refuses the requests of all lanes whose wait has expired, and gives free slots to waiting
    /// requests. Callers call it at [`AdmissionGate::next_expiry`].
    ///
    /// ```
    /// use rand::SeedableRng;
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let mut gate = rudder_decisions::AdmissionGate::new();
    /// assert!(gate.expire(std::time::Instant::now(), &mut rng).is_empty());
    /// ```
    pub fn expire(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<TicketNotice> {
        let waiting_lanes = self.lanes.iter().filter(|record| record.lane.usage().waiting > 0);
        let keys: Vec<LaneKey> = waiting_lanes.map(|record| record.key.clone()).collect();
        keys.iter().flat_map(|key| self.expire_and_serve(key, now, rng)).collect()
    }

    /// Refuses all waiting requests of a lane whose member was removed.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// use rudder_decisions::{AdmissionGate, LaneKey};
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let lane = LaneKey { service: "a".parse()?, member: "b".parse()? };
    /// let notices = AdmissionGate::new().close(&lane, std::time::Instant::now(), &mut rng);
    /// assert!(notices.is_empty());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn close(&mut self, key: &LaneKey, now: Instant, rng: &mut dyn Rng) -> Vec<TicketNotice> {
        let tickets = self.lane_or_insert(key).lane.remove_all();
        self.refuse_all(key, &tickets, RefusalCause::LaneClosed, now, rng)
    }

    /// Returns the earliest expiry of a waiting request, or `None` if no request waits.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::AdmissionGate::new().next_expiry(), None);
    /// ```
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        let waiting_lanes = self.lanes.iter().filter(|record| record.lane.usage().waiting > 0);
        waiting_lanes.filter_map(|record| record.lane.next_expiry()).min()
    }

    /// Returns the cause if a request has to be refused at once.
    fn refusal_cause(&mut self, request: &AdmissionRequest, now: Instant) -> Option<RefusalCause> {
        let caller_key = (request.kind.clone(), request.caller);
        let caller_max = (f64::from(request.in_flight_max) * CALLER_LIMIT_FRACTION).ceil() as u32;
        if count_of(&self.kinds, &request.kind) >= request.in_flight_max {
            return Some(RefusalCause::KindLimit);
        }
        if count_of(&self.callers, &caller_key) >= caller_max {
            return Some(RefusalCause::CallerLimit);
        }
        let flow = flow_of(request);
        let lane = &self.lane_or_insert(&request.lane).lane;
        if lane.has_room(flow) {
            return (request.deadline <= now).then_some(RefusalCause::TooLate);
        }
        let waiting = f64::from(lane.usage().waiting);
        let queue_max = f64::from(lane.limits.queue_max);
        if waiting >= queue_max {
            return Some(RefusalCause::QueueFull);
        }
        if request.sheddable && waiting >= queue_max * SHED_QUEUE_FRACTION {
            return Some(RefusalCause::Shed);
        }
        let expires_at = request.deadline.min(now + request.queue_wait);
        (now + lane.expected_wait(flow) > expires_at).then_some(RefusalCause::TooLate)
    }

    /// Refuses the requests of one lane whose wait has expired, then gives free slots to waiting
    /// requests.
    fn expire_and_serve(
        &mut self,
        key: &LaneKey,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Vec<TicketNotice> {
        let expired = self.lane_or_insert(key).lane.remove_expired(now);
        let mut notices = self.refuse_all(key, &expired, RefusalCause::WaitOver, now, rng);
        while let Some(ticket) = self.lane_or_insert(key).lane.serve_next() {
            self.mark_running(ticket, now);
            notices.push(TicketNotice { ticket, outcome: TicketOutcome::Run });
        }
        notices
    }

    fn refuse_all(
        &mut self,
        key: &LaneKey,
        tickets: &[TicketId],
        cause: RefusalCause,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Vec<TicketNotice> {
        let mut notices = Vec::with_capacity(tickets.len());
        for &ticket in tickets {
            self.close_ticket(ticket);
            let reason = self.refusal_reason(key, cause, now, rng);
            notices.push(TicketNotice { ticket, outcome: TicketOutcome::Refuse(reason) });
        }
        notices
    }

    fn refusal_reason(
        &mut self,
        key: &LaneKey,
        cause: RefusalCause,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> RefusalReason {
        let record = self.lane_or_insert(key);
        let (backlog, slot_interval) = (record.lane.backlog(), record.lane.slot_interval());
        let retry_after = record.pacer.next_delay(backlog, slot_interval, now, rng);
        RefusalReason { word: cause, retry_after }
    }

    fn lane_or_insert(&mut self, key: &LaneKey) -> &mut LaneRecord {
        let index = match self.lanes.binary_search_by(|record| record.key.cmp(key)) {
            Ok(index) => index,
            Err(index) => {
                let lane = MemberLane::new(LaneLimits::default());
                let record = LaneRecord { key: key.clone(), lane, pacer: RetryPacer::default() };
                self.lanes.insert(index, record);
                index
            }
        };
        &mut self.lanes[index]
    }

    fn open_ticket(&mut self, request: &AdmissionRequest, flow: FlowKey) -> TicketId {
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        increment(&mut self.kinds, request.kind.clone());
        increment(&mut self.callers, (request.kind.clone(), request.caller));
        // Ticket numbers only increase, so pushing keeps the records sorted.
        self.tickets.push(TicketRecord {
            ticket,
            lane: request.lane.clone(),
            kind: request.kind.clone(),
            flow,
            running_since: None,
        });
        ticket
    }

    fn close_ticket(&mut self, ticket: TicketId) -> Option<TicketRecord> {
        let index = self.tickets.binary_search_by_key(&ticket, |record| record.ticket).ok()?;
        let record = self.tickets.remove(index);
        decrement(&mut self.kinds, &record.kind);
        decrement(&mut self.callers, &(record.kind.clone(), record.flow.caller));
        Some(record)
    }

    fn mark_running(&mut self, ticket: TicketId, now: Instant) {
        let index = self.tickets.binary_search_by_key(&ticket, |record| record.ticket);
        if let Ok(index) = index {
            self.tickets[index].running_since = Some(now);
        }
    }
}

fn flow_of(request: &AdmissionRequest) -> FlowKey {
    FlowKey {
        caller: request.caller,
        class: request.class,
        size: request.size,
        shed: request.sheddable,
    }
}

fn count_of<K: Ord>(counts: &[UsageCount<K>], key: &K) -> u32 {
    let index = counts.binary_search_by(|usage| usage.key.cmp(key));
    index.map_or(0, |index| counts[index].count)
}

fn increment<K: Ord>(counts: &mut Vec<UsageCount<K>>, key: K) {
    match counts.binary_search_by(|usage| usage.key.cmp(&key)) {
        Ok(index) => counts[index].count += 1,
        Err(index) => counts.insert(index, UsageCount { key, count: 1 }),
    }
}

fn decrement<K: Ord>(counts: &mut Vec<UsageCount<K>>, key: &K) {
    let Ok(index) = counts.binary_search_by(|usage| usage.key.cmp(key)) else {
        return;
    };
    counts[index].count -= 1;
    if counts[index].count == 0 {
        counts.remove(index);
    }
}
