//! The slots of one member and the queue of requests that wait for them.
//!
//! Order of service: the waiting requests of one caller with the same class and size form a flow,
//! and flows are served round robin. A flow whose class or size may not take another slot is
//! skipped and keeps its position. Requests that are not sheddable are served before sheddable
//! ones, except at every [`SHED_TURN_INTERVAL`]th turn, so that sheddable requests are slow under
//! load but do not starve.
//!
//! - Reads and writes: each class leaves [`CLASS_RESERVE`] slot to the other if the member serves
//!   both and has two slots or more. With one slot, only the round robin order balances the
//!   classes.
//! - Long statements hold at most [`LONG_SLOTS_MAX`] slot and take part in the round robin order,
//!   so they can neither fill the member nor starve.

use super::request::TicketId;
use crate::average::MovingAverage;
use crate::work::{WorkClass, WorkSize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slots that each class leaves to the other. One slot keeps a class from waiting for the longest
/// statement of the other class; each further slot would leave a fifth or a third of a member idle.
const CLASS_RESERVE: u32 = 1;

/// Interval, in turns, at which sheddable requests go before the others. Sheddable requests then
/// get a tenth of a saturated lane, and the other requests are served completely while they need no
/// more than nine tenths of its capacity.
const SHED_TURN_INTERVAL: u32 = 10;

/// Slots that long statements may hold in one lane. Several instances share the few slots of a
/// member, so even one such slot per instance can fill it.
const LONG_SLOTS_MAX: u32 = 1;

/// Weight of a new sample in the service time of a lane: an average over about the last twenty
/// runs.
const SERVICE_GAIN: f64 = 0.05;

/// Service time assumed before the first run.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

rudder_core::plain_data! {
    /// Limits of one lane.
    #[derive(Copy)]
    pub struct LaneLimits {
        /// Maximum number of statements that this instance keeps in flight at the member.
        pub slots: u32,
        /// Maximum number of waiting requests.
        pub queue_max: u32,
        /// Whether the member serves reads and writes, so that each class gets a reserve.
        pub mixed: bool,
    }
}

impl Default for LaneLimits {
    fn default() -> Self {
        Self { slots: 1, queue_max: 64, mixed: true }
    }
}

rudder_core::plain_data! {
    /// Number of running and waiting requests of a lane.
    #[derive(Copy, Default)]
    pub struct LaneUsage {
        /// Reads that hold a slot.
        pub reads: u32,
        /// Writes that hold a slot.
        pub writes: u32,
        /// Waiting requests.
        pub waiting: u32,
    }
}

/// Properties of a request that assign it to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowKey {
    pub(crate) caller: u64,
    pub(crate) class: WorkClass,
    pub(crate) size: WorkSize,
    pub(crate) shed: bool,
}

/// A waiting request and the expiry of its wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingTicket {
    pub(crate) ticket: TicketId,
    pub(crate) expires_at: Instant,
}

#[derive(Clone, Debug)]
struct WaitingFlow {
    key: FlowKey,
    tickets: VecDeque<WaitingTicket>,
}

/// Slots and queue of one member. The flows are kept in the order in which they are served.
#[derive(Clone, Debug)]
pub(crate) struct MemberLane {
    pub(crate) limits: LaneLimits,
    reads: u32,
    writes: u32,
    long: u32,
    waiting: u32,
    turns: u64,
    flows: VecDeque<WaitingFlow>,
    service: MovingAverage,
}

impl MemberLane {
    pub(crate) fn new(limits: LaneLimits) -> Self {
        Self {
            limits,
            reads: 0,
            writes: 0,
            long: 0,
            waiting: 0,
            turns: 0,
            flows: VecDeque::new(),
            service: MovingAverage::new(SERVICE_GAIN),
        }
    }

    pub(crate) fn usage(&self) -> LaneUsage {
        LaneUsage { reads: self.reads, writes: self.writes, waiting: self.waiting }
    }

    /// Returns the mean interval at which a slot becomes free while all are in use.
    pub(crate) fn slot_interval(&self) -> Duration {
        self.service.value().unwrap_or(INITIAL_SERVICE_TIME) / self.limits.slots.max(1)
    }

    /// Returns the time until all requests that wait now have got a slot.
    pub(crate) fn backlog(&self) -> Duration {
        self.slot_interval() * self.waiting
    }

    /// Returns the expected wait of one more request of this flow. As flows are served round robin,
    /// the number of requests ahead of it is the length of its own flow's queue times the number of
    /// flows, and at most the length of the whole queue. Sheddable flows are not ahead of the
    /// others, and get only every [`SHED_TURN_INTERVAL`]th turn while others wait.
    pub(crate) fn expected_wait(&self, key: FlowKey) -> Duration {
        let (mut flows, mut waiting, mut own_waiting) = (0, 0, 0);
        for flow in self.flows.iter().filter(|flow| flow.key.shed == key.shed) {
            flows += 1;
            waiting += flow.tickets.len();
            own_waiting += if flow.key == key { flow.tickets.len() } else { 0 };
        }
        let round_robin_position = (own_waiting + 1) * (flows + usize::from(own_waiting == 0));
        let position = u32::try_from(round_robin_position.min(waiting + 1)).unwrap_or(u32::MAX);
        let others_wait = self.flows.iter().any(|flow| !flow.key.shed);
        let turns = if key.shed && others_wait { SHED_TURN_INTERVAL } else { 1 };
        self.slot_interval() * position.saturating_mul(turns)
    }

    /// Whether a request of this flow may take a slot now. A new request gets a free slot only if
    /// no waiting request may use it; the gate ensures this by serving the queue at every release.
    pub(crate) fn has_room(&self, key: FlowKey) -> bool {
        let slots = self.limits.slots;
        let reserve = if self.limits.mixed && slots > CLASS_RESERVE { CLASS_RESERVE } else { 0 };
        let of_class = match key.class {
            WorkClass::Read => self.reads,
            WorkClass::Write => self.writes,
        };
        self.reads + self.writes < slots
            && of_class < slots - reserve
            && (key.size == WorkSize::Short || self.long < LONG_SLOTS_MAX)
    }

    /// Whether a waiting request may take a slot now.
    pub(crate) fn can_serve_next(&self) -> bool {
        self.next_flow().is_some()
    }

    pub(crate) fn acquire_slot(&mut self, key: FlowKey) {
        *self.class_count(key.class) += 1;
        self.long += u32::from(key.size == WorkSize::Long);
    }

    /// Releases a slot that was held for `held`.
    pub(crate) fn release_slot(&mut self, key: FlowKey, held: Duration) {
        let count = self.class_count(key.class);
        *count = count.saturating_sub(1);
        self.long = self.long.saturating_sub(u32::from(key.size == WorkSize::Long));
        self.service.observe(held);
    }

    pub(crate) fn enqueue(&mut self, key: FlowKey, waiting: WaitingTicket) {
        self.waiting += 1;
        if let Some(flow) = self.flows.iter_mut().find(|flow| flow.key == key) {
            flow.tickets.push_back(waiting);
            return;
        }
        self.flows.push_back(WaitingFlow { key, tickets: VecDeque::from([waiting]) });
    }

    /// Removes the next waiting request that may take a slot, and assigns it one.
    pub(crate) fn serve_next(&mut self) -> Option<TicketId> {
        let index = self.next_flow()?;
        let mut flow = self.flows.remove(index)?;
        let waiting = flow.tickets.pop_front()?;
        self.acquire_slot(flow.key);
        self.waiting -= 1;
        self.turns += 1;
        if !flow.tickets.is_empty() {
            self.flows.push_back(flow);
        }
        Some(waiting.ticket)
    }

    /// Removes all waiting requests whose wait has expired.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<TicketId> {
        self.remove_waiting(|waiting| waiting.expires_at <= now)
    }

    /// Removes one waiting request, for example because its caller disconnected.
    pub(crate) fn remove_ticket(&mut self, ticket: TicketId) -> bool {
        !self.remove_waiting(|waiting| waiting.ticket == ticket).is_empty()
    }

    /// Removes all waiting requests.
    pub(crate) fn remove_all(&mut self) -> Vec<TicketId> {
        self.remove_waiting(|_| true)
    }

    /// Returns the earliest expiry of a waiting request.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let tickets = self.flows.iter().flat_map(|flow| flow.tickets.iter());
        tickets.map(|waiting| waiting.expires_at).min()
    }

    fn next_flow(&self) -> Option<usize> {
        let shed_first =
            self.turns % u64::from(SHED_TURN_INTERVAL) == u64::from(SHED_TURN_INTERVAL) - 1;
        let ready = |shed: bool| {
            self.flows.iter().position(|flow| flow.key.shed == shed && self.has_room(flow.key))
        };
        ready(shed_first).or_else(|| ready(!shed_first))
    }

    fn remove_waiting(&mut self, matches: impl Fn(&WaitingTicket) -> bool) -> Vec<TicketId> {
        let mut removed = Vec::new();
        for flow in &mut self.flows {
            let matching = flow.tickets.iter().filter(|waiting| matches(waiting));
            removed.extend(matching.map(|waiting| waiting.ticket));
            flow.tickets.retain(|waiting| !matches(waiting));
        }
        self.flows.retain(|flow| !flow.tickets.is_empty());
        self.waiting -= u32::try_from(removed.len()).unwrap_or(self.waiting);
        removed
    }

    fn class_count(&mut self, class: WorkClass) -> &mut u32 {
        match class {
            WorkClass::Read => &mut self.reads,
            WorkClass::Write => &mut self.writes,
        }
    }
}
