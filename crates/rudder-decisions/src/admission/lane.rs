//! The slots of one member and the queue in front of them.
//!
//! Order of service: each caller's waiting requests of one class and size form a flow, and flows
//! take turns. A flow is passed over while its class or size may not take another slot, and keeps
//! its turn. Work that is turned away last goes before work that is turned away first, except at
//! every [`SHED_TURN_INTERVAL`]th turn, so that the latter is slow under load, not starved.
//!
//! - Reads and writes: each class leaves [`CLASS_RESERVE`] slot to the other where both are served
//!   and there are two slots or more. With one slot the turns of the flows must do.
//! - Long work holds [`LONG_SLOTS_MAX`] slot and takes its turn like other work. It can thus neither fill
//!   the member nor starve.

use super::request::TicketId;
use crate::average::MovingAverage;
use crate::work::{WorkClass, WorkSize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slots that each class leaves to the other. One is enough to keep a class from waiting for the
/// other class's longest statement; more would idle a fifth or a third of a member each.
const CLASS_RESERVE: u32 = 1;

/// Every this many turns, work that is turned away first goes before the rest: it then gets a tenth
/// of a full lane, and work that cannot wait is served whole up to nine tenths of what it carries.
const SHED_TURN_INTERVAL: u32 = 10;

/// Slots that long work may hold in one lane. Several instances share a member's few slots, so that
/// even one each can fill it.
const LONG_SLOTS_MAX: u32 = 1;

/// Weight of one more run in a lane's service time: about the last twenty runs count.
const SERVICE_GAIN: f64 = 0.05;

/// Service time assumed before the first run.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

rudder_core::plain_data! {
    /// The limits of one lane.
    #[derive(Copy)]
    pub struct LaneLimits {
        /// Statements that this instance may keep in flight at the member.
        pub slots: u32,
        /// Requests that may wait.
        pub queue_max: u32,
        /// Whether both classes are served, so that each is kept a reserve.
        pub mixed: bool,
    }
}

impl Default for LaneLimits {
    fn default() -> Self {
        Self { slots: 1, queue_max: 64, mixed: true }
    }
}

rudder_core::plain_data! {
    /// How full a lane is.
    #[derive(Copy, Default)]
    pub struct LaneUsage {
        /// Reads that hold a slot.
        pub reads: u32,
        /// Writes that hold a slot.
        pub writes: u32,
        /// Requests that wait.
        pub waiting: u32,
    }
}

/// What decides the turn of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowKey {
    pub(crate) caller: u64,
    pub(crate) class: WorkClass,
    pub(crate) size: WorkSize,
    pub(crate) shed: bool,
}

/// A waiting request.
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

/// One member's slots and queue. Flows stand in the order of their turns.
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

    /// The time between two slots becoming free when all are taken.
    pub(crate) fn slot_interval(&self) -> Duration {
        self.service.value().unwrap_or(INITIAL_SERVICE_TIME) / self.limits.slots.max(1)
    }

    /// The time until everything that waits now has got a slot.
    pub(crate) fn backlog(&self) -> Duration {
        self.slot_interval() * self.waiting
    }

    /// The expected wait of one more request of this flow. Flows take turns, so what stands before
    /// it is its own flow's queue times the number of flows, and never more than the whole queue.
    /// Flows that are turned away first do not stand before the others, and get only every
    /// [`SHED_TURN_INTERVAL`]th turn while others wait.
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

    /// Whether a request of this flow may take a slot now. A free slot goes to a newcomer only if
    /// no waiting request may use it, which the gate ensures by serving the queue at every release.
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

    /// Gives a slot back after `held`.
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

    /// Takes the next waiting request that may have a slot, and gives it one.
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

    /// Takes out every waiting request whose wait is over.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<TicketId> {
        self.remove_waiting(|waiting| waiting.expires_at <= now)
    }

    /// Takes out one waiting request, for example because its caller went away.
    pub(crate) fn remove_ticket(&mut self, ticket: TicketId) -> bool {
        !self.remove_waiting(|waiting| waiting.ticket == ticket).is_empty()
    }

    /// Takes out everything that waits.
    pub(crate) fn remove_all(&mut self) -> Vec<TicketId> {
        self.remove_waiting(|_| true)
    }

    /// When the next waiting request's wait is over.
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
