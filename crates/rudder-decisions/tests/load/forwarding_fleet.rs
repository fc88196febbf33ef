//! Simulated fleet of instances with connection pools, for the decisions on forwarding.

use super::arrivals::exponential;
use super::forwarding_model::{
    ACCOUNTS, CONNECTIONS_MAX, DOMAINS, Event, FleetLoad, FleetResult, INSTANCES, Member, Pool,
    Statement, account, candidates, latency_of, member_name, place, service,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{
    ConnectionHeadroom, ConnectionShare, ForwardChoice, HolderBoard, HolderBudget, HolderCandidate,
    LocalPool, PlaceDistance, forward_choice, rank_holders,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

const SERVICES: usize = 8;
const MEMBERS: usize = 3;

/// Slot time of a new connection.
const DIAL_US: u64 = 12_000;

/// Time until a connection that the member refused is tried again.
const REFUSED_RETRY_US: u64 = 50_000;

/// Interval at which pools close idle connections.
const SWEEP_US: u64 = 250_000;

/// Idle time of connections beyond the budget, and of those within it.
const IDLE_US: u64 = 250_000;
const KEPT_US: u64 = 10_000_000;

/// Results of statements that arrive before this time are not counted, as pools are empty at first.
const WARM_UP_US: u64 = 10_000_000;

/// A fleet with its members, in virtual time of microseconds.
struct Fleet {
    load: FleetLoad,
    start: Instant,
    candidates: Vec<HolderCandidate>,
    members: Vec<Member>,
    /// Holders by service and account at the place of each member.
    holders: Vec<Vec<Vec<InstanceName>>>,
    pools: Vec<Vec<Pool>>,
    boards: Vec<HolderBoard>,
    accounts: Vec<AccountName>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    result: FleetResult,
}

/// Simulates a load for a duration.
pub(crate) fn simulate_fleet(load: FleetLoad, duration: Duration, seed: u64) -> FleetResult {
    let mut fleet = Fleet::new(load);
    let end_us = u64::try_from(duration.as_micros()).expect("a short duration");
    fleet.draw(end_us, &mut StdRng::seed_from_u64(seed));
    while let Some(Reverse((now, event))) = fleet.events.pop() {
        if now < end_us {
            fleet.handle(now, event);
        }
    }
    fleet.result.mean_ms /= f64::from(fleet.result.served.max(1));
    fleet.result
}

impl Fleet {
    fn new(load: FleetLoad) -> Self {
        let candidates = candidates();
        let accounts: Vec<AccountName> = (0..ACCOUNTS).map(account).collect();
        let member = |number: usize| Member {
            place: place((number / MEMBERS + 2 * (number % MEMBERS)) % DOMAINS),
            open: 0,
            slots_free_at: Default::default(),
        };
        let members: Vec<Member> = (0..SERVICES * MEMBERS).map(member).collect();
        let rank = |number: usize, member: &Member| {
            let of_account = |account| {
                rank_holders(&service(number / MEMBERS), account, &candidates, &member.place)
            };
            accounts.iter().map(of_account).collect()
        };
        let holders =
            members.iter().enumerate().map(|(number, member)| rank(number, member)).collect();
        let names: Vec<InstanceName> =
            candidates.iter().map(|candidate| candidate.instance.clone()).collect();
        let pool = |own: &InstanceName, number: usize| {
            let budget = if load.forwards {
                let place = &members[number].place;
                HolderBudget::of(CONNECTIONS_MAX, &member_name(number), own, &candidates, place)
            } else {
                let share =
                    ConnectionShare::of(CONNECTIONS_MAX, &member_name(number), own, &names).0;
                HolderBudget { kept: 0, open_max: share }
            };
            let mut headroom = ConnectionHeadroom::default();
            headroom.set_scarce(ConnectionShare::is_scarce(CONNECTIONS_MAX, INSTANCES));
            Pool { budget, headroom, ..Pool::default() }
        };
        let pools = names
            .iter()
            .map(|own| (0..members.len()).map(|number| pool(own, number)).collect())
            .collect();
        Self {
            load,
            start: Instant::now(),
            boards: vec![HolderBoard::default(); INSTANCES],
            events: BinaryHeap::new(),
            result: FleetResult::default(),
            candidates,
            members,
            holders,
            pools,
            accounts,
        }
    }

    /// Draws the statements of the three kinds of callers of the first deployment.
    fn draw(&mut self, end_us: u64, rng: &mut StdRng) {
        let sizes: Vec<f64> =
            (1..=ACCOUNTS).map(|number| (number as f64).powf(-self.load.skew)).collect();
        let total: f64 = sizes.iter().sum();
        let mut at = 0.0;
        loop {
            at += exponential(1e6 / self.load.rate, rng);
            let at_us = at as u64;
            if at_us >= end_us {
                break;
            }
            let origin = rng.random_range(0..INSTANCES);
            let surges = rng.random_range(0.0..1.0) < self.load.surge;
            let mut draw = rng.random_range(0.0..total);
            let mut account = 0;
            while account + 1 < ACCOUNTS && draw >= sizes[account] {
                draw -= sizes[account];
                account += 1;
            }
            let mut service = rng.random_range(0..SERVICES);
            if surges {
                (account, service) = (0, 0);
            }
            let kind = rng.random_range(0.0..701.0);
            let (work_us, primary) = match kind {
                ..94.0 => (3_000, true),
                94.0..258.0 => (15_000, false),
                _ => (9_000, rng.random_range(0.0..1.0) < 0.12),
            };
            let first = service * MEMBERS;
            let distance = |member: &usize| self.distance_to(origin, *member);
            let nearest = (first..first + MEMBERS).min_by_key(distance).expect("a member");
            let member = if primary || surges { first } else { nearest };
            let statement = Statement { at_us, origin, account, member, work_us };
            self.events.push(Reverse((at_us, Event::Arrive(statement))));
        }
        for at in (0..end_us).step_by(SWEEP_US as usize) {
            self.events.push(Reverse((at, Event::Sweep)));
        }
    }

    fn distance_to(&self, instance: usize, member: usize) -> PlaceDistance {
        self.members[member].place.distance(&self.candidates[instance].place)
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(statement) => self.choose(now, statement),
            Event::Serve(instance, statement) => self.serve(now, instance, statement),
            Event::Declined(holder, statement) => {
                let at = self.start + Duration::from_micros(now);
                let (name, account) =
                    (&self.candidates[holder].instance, &self.accounts[statement.account]);
                self.boards[statement.origin].record_overloaded(name, account, at);
                self.result.declined += 1;
                self.choose(now, statement);
            }
            Event::Done(instance, statement) => self.finish(now, instance, statement),
            Event::Sweep => self.sweep(now),
        }
    }

    fn local_pool(&self, instance: usize, statement: Statement) -> LocalPool {
        let pool = &self.pools[instance][statement.member];
        LocalPool {
            is_warm: pool.idle.iter().any(|(account, _)| *account == statement.account),
            waiting: u32::try_from(pool.waiting.len()).expect("few callers"),
            open_max: pool.budget.open_max,
        }
    }

    fn choose(&mut self, now: u64, statement: Statement) {
        let Statement { origin, account, member, .. } = statement;
        if !self.load.forwards {
            return self.serve(now, origin, statement);
        }
        let pool = self.local_pool(origin, statement);
        let choice = forward_choice(
            &self.candidates[origin].instance,
            &self.accounts[account],
            &self.holders[member][account],
            pool,
            &mut self.boards[origin],
            self.start + Duration::from_micros(now),
        );
        match choice {
            ForwardChoice::Busy { .. } => {
                self.result.rejected += u32::from(statement.at_us >= WARM_UP_US);
            }
            ForwardChoice::Local => self.serve(now, origin, statement),
            ForwardChoice::Forward(name) => {
                let holder = self.number_of(&name);
                let arrives = now + self.latency(origin, holder);
                self.events.push(Reverse((arrives, Event::Serve(holder, statement))));
            }
        }
    }

    fn number_of(&self, name: &InstanceName) -> usize {
        let found = self.candidates.iter().position(|candidate| candidate.instance == *name);
        found.expect("a candidate")
    }

    /// One-way latency between two instances.
    fn latency(&self, from: usize, to: usize) -> u64 {
        let places = (&self.candidates[from].place, &self.candidates[to].place);
        latency_of(places.0.distance(places.1))
    }

    fn serve(&mut self, now: u64, instance: usize, statement: Statement) {
        let local = self.local_pool(instance, statement);
        let pool = &mut self.pools[instance][statement.member];
        let at = self.start + Duration::from_micros(now);
        let warm = pool.idle.iter().rposition(|(account, _)| *account == statement.account);
        if let Some(index) = warm {
            pool.idle.remove(index);
            return self.run(now, instance, statement, 0);
        }
        if !pool.idle.is_empty() && pool.open >= pool.budget.open_max + pool.headroom.extra(at) {
            pool.idle.remove(0);
            pool.open -= 1;
            self.members[statement.member].open -= 1;
        }
        let pool = &mut self.pools[instance][statement.member];
        if pool.open >= pool.budget.open_max + pool.headroom.extra(at) {
            if instance != statement.origin && local.has_long_queue() {
                let back = now + self.latency(instance, statement.origin);
                self.events.push(Reverse((back, Event::Declined(instance, statement))));
            } else {
                pool.waiting.push_back(statement);
            }
            return;
        }
        let member = &mut self.members[statement.member];
        if member.open >= CONNECTIONS_MAX {
            self.result.refused += 1;
            pool.headroom.record_refusal(at);
            let retry = Event::Serve(instance, statement);
            self.events.push(Reverse((now + REFUSED_RETRY_US, retry)));
            return;
        }
        member.open += 1;
        pool.open += 1;
        self.result.peak = self.result.peak.max(member.open);
        if statement.at_us >= WARM_UP_US {
            self.result.dials += 1;
        }
        self.run(now, instance, statement, DIAL_US);
    }

    /// Runs a statement on a connection; a new one takes a round trip and slot time first.
    fn run(&mut self, now: u64, instance: usize, statement: Statement, dial_us: u64) {
        let latency = latency_of(self.distance_to(instance, statement.member));
        let member = &mut self.members[statement.member];
        let mut at = now + latency;
        if dial_us > 0 {
            at = member.occupy(at, dial_us) + 2 * latency;
        }
        let done = member.occupy(at, statement.work_us) + latency;
        self.events.push(Reverse((done, Event::Done(instance, statement))));
    }

    fn finish(&mut self, now: u64, instance: usize, statement: Statement) {
        self.record(now, instance, statement);
        let at = self.start + Duration::from_micros(now);
        let pool = &mut self.pools[instance][statement.member];
        if pool.open <= pool.budget.open_max + pool.headroom.extra(at) {
            pool.idle.push((statement.account, now));
        } else {
            pool.open -= 1;
            self.members[statement.member].open -= 1;
        }
        if let Some(next) = self.pools[instance][statement.member].waiting.pop_front() {
            self.serve(now, instance, next);
        }
    }

    fn record(&mut self, now: u64, instance: usize, statement: Statement) {
        if statement.at_us < WARM_UP_US {
            return;
        }
        let back =
            if instance == statement.origin { 0 } else { self.latency(instance, statement.origin) };
        self.result.served += 1;
        self.result.mean_ms += (now + back - statement.at_us) as f64 / 1000.0;
        if statement.account == 0 && statement.member == 0 {
            if !self.result.holders_of_largest.contains(&instance) {
                self.result.holders_of_largest.push(instance);
            }
        } else if statement.account != 0 {
            let first = &self.holders[statement.member][statement.account][0];
            let at_first = self.candidates[instance].instance == *first;
            self.result.others.0 += 1;
            self.result.others.1 += u32::from(at_first);
        }
    }

    /// Closes idle connections as the pools do.
    fn sweep(&mut self, now: u64) {
        for pools in &mut self.pools {
            for (pool, member) in pools.iter_mut().zip(&mut self.members) {
                let before = pool.idle.len();
                let beyond = before.saturating_sub(pool.budget.kept as usize);
                let mut index = 0;
                pool.idle.retain(|(_, used_at)| {
                    let limit = if index < beyond { IDLE_US } else { KEPT_US };
                    index += 1;
                    used_at + limit > now
                });
                let closed = u32::try_from(before - pool.idle.len()).expect("few connections");
                pool.open -= closed;
                member.open -= closed;
            }
        }
    }
}
