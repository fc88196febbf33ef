//! Policy under test: the decisions of this package, combined as in the proxy.

use super::adaptive::AdaptiveLimit;
use super::model::{Action, LoadPolicy, MemberSpec, Request};
use rand::rngs::StdRng;
use rudder_core::{ConnectionCount, DomainName, LogStamp, MemberName, MemberRole};
use rudder_decisions::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, DemandPart, HolderShare, LaneKey,
    LaneLimits, MemberHealth, MemberMeter, MemberView, MemberWeight, OutlierTracker, RampSchedule,
    ReadDemand, ReadRoute, ReadRouter, TicketId, TicketNotice, TicketOutcome, WorkClass,
    WorkEstimate, WorkSize,
};
use std::time::{Duration, Instant};

/// Connections that a member accepts from all instances together.
const CONNECTIONS: ConnectionCount = ConnectionCount(30);

/// Rule for the statements that an instance keeps in flight at a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitRule {
    /// Slots of the member.
    Slots,
    /// Fixed number.
    Fixed(u32),
    /// Limit adapted from latency, see [`AdaptiveLimit`].
    Adaptive,
    /// Window that keeps the member's slots busy in spite of the link delay, at most an even share
    /// of the connections.
    WindowEven,
    /// Window, at most a share of the connections by demand. The first instance has this part of
    /// the demand in thousandths; the others divide the rest evenly.
    WindowByDemand(u32),
    /// Window without a division of connections.
    Window,
}

/// Settings of [`CurrentPolicy`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct PolicySettings {
    /// Limit per member.
    pub(crate) limit: LimitRule,
    /// Whether speeds are known from the start; otherwise all members are initially assumed equal.
    pub(crate) speeds_known: bool,
    /// Whether long statements are distinguished from short ones.
    pub(crate) sizes_estimated: bool,
    /// Whether the primary reserves slots for reads and for writes.
    pub(crate) slots_reserved: bool,
    /// Whether the router takes the requests of other instances into account.
    pub(crate) sharers_known: bool,
    /// Whether failing members get less work.
    pub(crate) outliers_tracked: bool,
    /// Member whose load is raised gradually, as after a restart.
    pub(crate) ramp: Option<usize>,
    /// Maximum number of requests of one kind that run or wait.
    pub(crate) in_flight_max: u32,
    /// Maximum wait for a slot.
    pub(crate) queue_wait: Duration,
    /// Maximum number of requests that wait for one member.
    pub(crate) queue_max: u32,
    /// Maximum wait of a read for a replica to catch up.
    pub(crate) read_wait: Duration,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            limit: LimitRule::Window,
            speeds_known: false,
            sizes_estimated: true,
            slots_reserved: true,
            sharers_known: true,
            outliers_tracked: true,
            ramp: None,
            in_flight_max: 100_000,
            queue_wait: Duration::from_secs(60),
            queue_max: 100_000,
            read_wait: Duration::from_millis(50),
        }
    }
}

/// Running or waiting ticket.
struct OpenTicket {
    ticket: TicketId,
    id: usize,
    member: usize,
}

/// Policy of one instance.
pub(crate) struct CurrentPolicy {
    settings: PolicySettings,
    members: Vec<MemberSpec>,
    lanes: Vec<LaneKey>,
    instance: usize,
    origin: Instant,
    gate: AdmissionGate,
    meters: Vec<MemberMeter>,
    adaptive: Vec<AdaptiveLimit>,
    tracker: OutlierTracker,
    estimate: WorkEstimate,
    ramp: RampSchedule,
    open_tickets: Vec<OpenTicket>,
    /// Request indexes and fingerprints.
    fingerprints: Vec<(usize, u64)>,
    /// Reads that wait for a replica to catch up, with the time of the next attempt.
    delayed_reads: Vec<(Instant, usize, Request)>,
}

impl CurrentPolicy {
    /// Creates the policy of one instance.
    pub(crate) fn new(
        settings: PolicySettings,
        members: &[MemberSpec],
        instance: usize,
        origin: Instant,
        initial_service_time: Duration,
    ) -> Self {
        let lane_of = |index| LaneKey {
            service: "service".parse().expect("a valid name"),
            member: format!("member-{index}").parse().expect("a valid name"),
        };
        let meter_of = |member: &MemberSpec| {
            let speed = if settings.speeds_known { member.speed } else { 1.0 };
            MemberMeter::new(member.slots, initial_service_time.div_f64(speed))
        };
        Self {
            settings,
            lanes: (0..members.len()).map(lane_of).collect(),
            meters: members.iter().map(meter_of).collect(),
            adaptive: members
                .iter()
                .map(|member| AdaptiveLimit::new(member.slots, initial_service_time))
                .collect(),
            members: members.to_vec(),
            instance,
            origin,
            gate: AdmissionGate::new(),
            tracker: OutlierTracker::new(origin),
            estimate: WorkEstimate::new(),
            ramp: RampSchedule::new(origin),
            open_tickets: Vec::new(),
            fingerprints: Vec::new(),
            delayed_reads: Vec::new(),
        }
    }

    fn limit(&self, member: usize, now: Instant) -> u32 {
        let slots = self.members[member].slots;
        let link = self.members[member].links[self.instance];
        let window = self.meters[member].window(link, now);
        match self.settings.limit {
            LimitRule::Slots => slots,
            LimitRule::Fixed(limit) => limit,
            LimitRule::Adaptive => self.adaptive[member].limit(),
            LimitRule::Window => window,
            LimitRule::WindowEven => window.min(self.settled_share(1000 / self.instances())),
            LimitRule::WindowByDemand(first_permille) => {
                let rest_permille = (1000 - first_permille) / (self.instances() - 1);
                window.min(self.settled_share(if self.instance == 0 {
                    first_permille
                } else {
                    rest_permille
                }))
            }
        }
    }

    fn instances(&self) -> u32 {
        u32::try_from(self.members[0].links.len()).expect("the number of instances fits into u32")
    }

    /// Returns this instance's connections once its share has taken effect.
    fn settled_share(&self, permille: u32) -> u32 {
        let settled_at = self.origin + Duration::from_secs(10);
        let mut share = HolderShare::new(CONNECTIONS, self.instances(), self.origin);
        let part = DemandPart::of(permille, 1000, self.instances());
        share.set_holders(self.instances(), part, self.origin);
        share.current(settled_at)
    }

    fn set_lanes(&mut self, now: Instant) {
        for member in 0..self.members.len() {
            let limits = LaneLimits {
                slots: self.limit(member, now),
                queue_max: self.settings.queue_max,
                mixed: self.settings.slots_reserved && self.members[member].primary,
            };
            self.gate.set_lane(&self.lanes[member], limits);
        }
    }

    fn record_response(
        &mut self,
        id: usize,
        member: usize,
        latency: Duration,
        in_flight: u32,
        now: Instant,
    ) {
        self.meters[member].observe(latency, now);
        self.adaptive[member].observe(latency, in_flight);
        let found = self.fingerprints.binary_search_by_key(&id, |(id, _)| *id);
        let fingerprint = self.fingerprints[found.expect("the request was recorded on arrival")].1;
        self.estimate.observe(fingerprint, latency);
    }

    fn name(&self, member: usize) -> &MemberName {
        &self.lanes[member].member
    }

    /// Returns the failure domain of the nearest member, or a domain without members if there is
    /// more than one nearest member.
    fn own_domain(&self) -> DomainName {
        let links = || self.members.iter().map(|member| member.links[self.instance]);
        let nearest = links().min().unwrap_or_default();
        let nearest_members: Vec<usize> = links()
            .enumerate()
            .filter(|(_, link)| *link == nearest)
            .map(|(index, _)| index)
            .collect();
        if let [index] = nearest_members[..] {
            domain_of(index)
        } else {
            domain_of(self.members.len())
        }
    }

    fn view(&self, index: usize, now: Instant) -> MemberView {
        let member = &self.members[index];
        let usage = self.gate.usage(&self.lanes[index]);
        let applied = now.duration_since(self.origin).saturating_sub(member.lag);
        let is_ramped = self.settings.ramp == Some(index);
        let ramp_weight = if is_ramped { self.ramp.weight(now) } else { MemberWeight::FULL };
        let is_tracked = self.settings.outliers_tracked;
        let outlier_weight =
            if is_tracked { self.tracker.weight(self.name(index)) } else { MemberWeight::FULL };
        MemberView {
            name: self.name(index).clone(),
            role: if member.primary { MemberRole::Primary } else { MemberRole::Replica },
            domain: domain_of(index),
            applied: stamp_at(applied),
            age: Some(member.lag),
            lag: member.lag,
            in_flight: usage.reads + usage.writes + usage.waiting,
            slots: member.slots,
            sending_instances: if self.settings.sharers_known { self.instances() } else { 1 },
            service: self.meters[index].service(now),
            link_cost: member.links[self.instance],
            health: MemberHealth::Ready,
            weight: ramp_weight.min_with(outlier_weight),
        }
    }

    fn route(&self, request: &Request, now: Instant, rng: &mut StdRng) -> ReadRoute {
        let primary = self.members.iter().position(|member| member.primary);
        if request.class == WorkClass::Write {
            return ReadRoute::Primary(primary.unwrap_or(0));
        }
        let since_start = now.duration_since(self.origin);
        let demand = ReadDemand {
            floor: request.floor.map(stamp_at),
            floor_age: request.floor.map_or(Duration::ZERO, |floor| since_start - floor),
            max_staleness: Duration::from_secs(10),
            domain: self.own_domain(),
            wait_max: self.settings.read_wait,
        };
        let views: Vec<MemberView> =
            (0..self.members.len()).map(|index| self.view(index, now)).collect();
        ReadRouter::new().choose(&demand, &views, rng).route
    }

    fn size_of(&self, request: &Request) -> WorkSize {
        if self.settings.sizes_estimated {
            self.estimate.size(request.fingerprint)
        } else {
            WorkSize::Short
        }
    }

    fn offer(
        &mut self,
        id: usize,
        request: &Request,
        member: usize,
        now: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action> {
        let offer = AdmissionRequest {
            lane: self.lanes[member].clone(),
            kind: request.kind.parse().expect("a valid name"),
            caller: request.caller,
            class: request.class,
            size: self.size_of(request),
            sheddable: request.shed,
            in_flight_max: self.settings.in_flight_max,
            queue_wait: request.queue_wait.unwrap_or(self.settings.queue_wait),
            deadline: self.origin + request.at + request.timeout,
        };
        match self.gate.offer(&offer, now, rng) {
            AdmissionDecision::Run(ticket) => {
                self.open_tickets.push(OpenTicket { ticket, id, member });
                vec![Action::Send(id, member)]
            }
            AdmissionDecision::Wait(ticket) => {
                self.open_tickets.push(OpenTicket { ticket, id, member });
                Vec::new()
            }
            AdmissionDecision::Refuse(reason) => vec![Action::Refuse(id, reason.retry_after)],
        }
    }

    /// Converts notices of the gate into actions.
    fn apply(&mut self, notices: &[TicketNotice]) -> Vec<Action> {
        let mut actions = Vec::new();
        for notice in notices {
            let found = self.open_tickets.binary_search_by_key(&notice.ticket, |open| open.ticket);
            let index = found.expect("a notice belongs to an open ticket");
            let (id, member) = (self.open_tickets[index].id, self.open_tickets[index].member);
            match notice.outcome {
                TicketOutcome::Run => actions.push(Action::Send(id, member)),
                TicketOutcome::Refuse(reason) => {
                    self.open_tickets.remove(index);
                    actions.push(Action::Refuse(id, reason.retry_after));
                }
            }
        }
        actions
    }

    /// Routes a request and offers it to the gate, or delays it until a replica has caught up.
    fn route_and_offer(
        &mut self,
        id: usize,
        request: &Request,
        now: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action> {
        match self.route(request, now, rng) {
            ReadRoute::Replica(member) | ReadRoute::Primary(member) => {
                self.offer(id, request, member, now, rng)
            }
            ReadRoute::WaitFor(_, wait) => {
                self.delayed_reads.push((now + wait, id, request.clone()));
                Vec::new()
            }
            ReadRoute::Refuse => vec![Action::Refuse(id, Duration::from_secs(1))],
        }
    }
}

fn domain_of(index: usize) -> DomainName {
    format!("domain-{index}").parse().expect("a valid name")
}

/// Returns the log stamp at a time since the start, with one position per microsecond.
fn stamp_at(at: Duration) -> LogStamp {
    LogStamp::new(1, u64::try_from(at.as_micros()).unwrap_or(u64::MAX))
}

impl LoadPolicy for CurrentPolicy {
    fn on_request(
        &mut self,
        id: usize,
        request: &Request,
        time: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action> {
        self.fingerprints.push((id, request.fingerprint));
        self.set_lanes(time);
        self.route_and_offer(id, request, time, rng)
    }

    fn on_response(
        &mut self,
        id: usize,
        member: usize,
        latency: Option<Duration>,
        time: Instant,
        rng: &mut StdRng,
    ) -> Vec<Action> {
        let index = self
            .open_tickets
            .iter()
            .position(|open| open.id == id)
            .expect("a response belongs to an open ticket");
        let ticket = self.open_tickets.remove(index).ticket;
        let usage = self.gate.usage(&self.lanes[member]);
        if let Some(latency) = latency {
            self.record_response(id, member, latency, usage.reads + usage.writes, time);
        }
        let name = self.name(member).clone();
        self.tracker.observe(&name, latency.is_some());
        self.tracker.step(time);
        self.set_lanes(time);
        let notices = self.gate.release(ticket, time, rng);
        self.apply(&notices)
    }

    fn next_wake(&self) -> Option<Instant> {
        let delayed = self.delayed_reads.iter().map(|(at, _, _)| *at).min();
        delayed.into_iter().chain(self.gate.next_expiry()).min()
    }

    fn on_wake(&mut self, time: Instant, rng: &mut StdRng) -> Vec<Action> {
        let notices = self.gate.expire(time, rng);
        let mut actions = self.apply(&notices);
        let (due, later): (Vec<_>, Vec<_>) =
            self.delayed_reads.drain(..).partition(|(at, _, _)| *at <= time);
        self.delayed_reads = later;
        for (_, id, request) in due {
            actions.extend(self.route_and_offer(id, &request, time, rng));
        }
        actions
    }
}
