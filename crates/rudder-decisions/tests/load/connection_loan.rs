//! Loans of connections while demand shifts between failure domains: 29 instances share the 49
//! connections of a member, and messages between them are lost, delayed and repeated.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{InstanceName, MemberName};
use rudder_decisions::{
    ConnectionShare, LoanAction, LoanDecision, LoanLedger, LoanRequestTerms, LoanResponseTerms,
    MemberKey, MemberUse, PlaceDistance, ResponseOutcome, SpareBoard,
};
use std::net::SocketAddr;
use std::time::Duration;

const INSTANCES: usize = 29;
const DOMAINS: usize = 6;
const CONNECTIONS: u32 = 49;
const MEMBER: MemberKey = MemberKey(1);

/// Time after which the failure domain with most of the demand changes.
const SHIFT_MS: u64 = 700;

/// Requests per second to the member at all instances; two thirds arrive in one domain.
const REQUESTS_PER_SECOND: f64 = 190.0;

/// Time that a connection is held by a transaction, and by a single statement.
const HOLD_MS: [u64; 2] = [70, 18];

/// The same with transactions that outlast the end of a loan.
const LONG_HOLD_MS: [u64; 2] = [2500, 18];

/// Share of the transactions.
const TRANSACTIONS: f64 = 0.3;

/// A quarter of the latency target of 500 ms.
const WAIT_MS: u64 = 125;

#[derive(Clone, Copy)]
struct Faults {
    loss: f64,
    repeat: f64,
    delay_max_ms: u64,
    restarts_per_second: f64,
    /// Chance per second that an instance starts or stops missing others in its list.
    list_changes_per_second: f64,
    /// Time that a connection is held by a transaction, and by a single statement.
    hold_ms: [u64; 2],
}

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    repeat: 0.0,
    delay_max_ms: 0,
    restarts_per_second: 0.0,
    list_changes_per_second: 0.0,
    hold_ms: HOLD_MS,
};

const FAULTS: Faults = Faults {
    loss: 0.1,
    repeat: 0.1,
    delay_max_ms: 900,
    restarts_per_second: 0.5,
    list_changes_per_second: 0.0,
    hold_ms: HOLD_MS,
};

#[derive(Clone, Copy)]
enum Message {
    Spare(u32),
    Request { request_id: u64, count: u32, renewal: u32 },
    Response(LoanResponseTerms),
    Return { request_id: u64 },
    Recall { request_id: u64 },
}

struct Transit {
    at: u64,
    from: usize,
    to: usize,
    message: Message,
}

struct Instance {
    share: u32,
    ledger: LoanLedger,
    board: SpareBoard,
    /// Times at which the connections in use become free.
    in_use: Vec<u64>,
    /// Arrival times of waiting requests, and how long they hold a connection.
    waiting: Vec<(u64, u64)>,
    peak: u32,
    down_until: u64,
}

impl Instance {
    fn limit(&self, now: u64) -> u32 {
        self.share.saturating_add_signed(self.ledger.balance(self.share, ms(now)))
    }

    fn usage(&self) -> MemberUse {
        MemberUse {
            share: self.share,
            in_use: self.in_use.len() as u32,
            recent_peak: self.peak,
            waiting: self.waiting.len() as u32,
            priority: 1,
            may_dial: true,
        }
    }
}

#[derive(Debug, Default)]
struct Summary {
    arrived: u32,
    refused: u32,
    messages: u32,
    borrowed: u32,
    recalled: u32,
}

struct Simulation {
    instances: Vec<Instance>,
    transit: Vec<Transit>,
    /// Arrivals and durations, the same with and without loans.
    load: StdRng,
    random: StdRng,
    faults: Faults,
    uses_loans: bool,
    next_id: u64,
    summary: Summary,
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 1).into()
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("only IPv4 addresses are used"),
    }
}

/// Returns the share of an instance that lacks `missing` others in its list.
fn share(index: usize, missing: usize) -> u32 {
    let all: Vec<InstanceName> =
        (0..INSTANCES).map(|index| format!("i-{index:02}").parse().expect("a name")).collect();
    let own = all[index].clone();
    let mut known = all;
    known
        .retain(|instance| *instance == own || !instance.as_str().ends_with("-07") || missing == 0);
    let member: MemberName = "db-1".parse().expect("a name");
    ConnectionShare::of(CONNECTIONS, &member, &own, &known).0
}

fn distance(left: usize, right: usize) -> PlaceDistance {
    match (left % DOMAINS, right % DOMAINS) {
        (left, right) if left == right => PlaceDistance::SameDomain,
        (left, right) if left / 2 == right / 2 => PlaceDistance::SameRegion,
        _ => PlaceDistance::Elsewhere,
    }
}

fn latency_ms(left: usize, right: usize) -> u64 {
    if distance(left, right) == PlaceDistance::Elsewhere { 12 } else { 1 }
}

impl Simulation {
    fn new(seed: u64, faults: Faults, uses_loans: bool) -> Self {
        let instance = |index| Instance {
            share: share(index, 0),
            ledger: LoanLedger::new(Duration::ZERO),
            board: SpareBoard::default(),
            in_use: Vec::new(),
            waiting: Vec::new(),
            peak: 0,
            down_until: 0,
        };
        Self {
            instances: (0..INSTANCES).map(instance).collect(),
            transit: Vec::new(),
            load: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(seed),
            faults,
            uses_loans,
            next_id: 1,
            summary: Summary::default(),
        }
    }

    fn run(mut self, duration_ms: u64) -> Summary {
        // After the start, while all instances use a single connection.
        let begin = 3000;
        for now in begin..begin + duration_ms {
            self.arrive(now);
            self.fail(now);
            self.deliver(now);
            for index in 0..INSTANCES {
                self.step(index, now);
            }
            self.check_sum(now);
            // Every other millisecond, as this takes longer than the simulation.
            if now.is_multiple_of(2) {
                self.check_each(now);
            }
        }
        self.summary
    }

    fn arrive(&mut self, now: u64) {
        if !self.load.random_bool(REQUESTS_PER_SECOND / 1000.0) {
            return;
        }
        let hot = (now / SHIFT_MS) as usize % DOMAINS;
        let mut index = self.load.random_range(0..INSTANCES);
        if self.load.random_bool(2.0 / 3.0) {
            index = index / DOMAINS * DOMAINS + hot;
        }
        let index = index.min(INSTANCES - 1);
        let hold = self.faults.hold_ms[usize::from(!self.load.random_bool(TRANSACTIONS))];
        if now >= self.instances[index].down_until {
            self.summary.arrived += 1;
            self.instances[index].waiting.push((now, hold));
        }
    }

    fn fail(&mut self, now: u64) {
        if self.random.random_bool(self.faults.restarts_per_second / 1000.0) {
            let index = self.random.random_range(0..INSTANCES);
            let down_ms = self.random.random_range(1..1500);
            let instance = &mut self.instances[index];
            instance.ledger = LoanLedger::new(ms(now + down_ms));
            instance.board = SpareBoard::default();
            instance.in_use.clear();
            instance.waiting.clear();
            instance.down_until = now + down_ms;
        }
        if self.random.random_bool(self.faults.list_changes_per_second / 1000.0) {
            let index = self.random.random_range(0..INSTANCES);
            let missing = self.random.random_range(0..2);
            self.instances[index].share = share(index, missing);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: u64) {
        self.summary.messages += 1;
        let copies = 1 + u32::from(self.random.random_bool(self.faults.repeat));
        for _ in 0..copies {
            if self.random.random_bool(self.faults.loss) {
                continue;
            }
            let is_delayed = self.faults.delay_max_ms > 0 && self.random.random_bool(0.1);
            let extra =
                if is_delayed { self.random.random_range(0..self.faults.delay_max_ms) } else { 0 };
            let at = now + latency_ms(from, to) + extra;
            self.transit.push(Transit { at, from, to, message });
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.transit).into_iter().partition(|transit| transit.at <= now);
        self.transit = later;
        for Transit { from, to, message, .. } in due {
            if now >= self.instances[to].down_until {
                self.receive(from, to, message, now);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message, now: u64) {
        let instance = &mut self.instances[to];
        let usage = instance.usage();
        match message {
            Message::Spare(spare) => {
                let distance = distance(from, to);
                instance.board.record(address(from), distance, &[(MEMBER, spare)], ms(now));
            }
            Message::Request { request_id, count, renewal } => {
                let borrower = address(from);
                let is_urgent = false;
                let request = LoanRequestTerms { request_id, borrower, count, is_urgent, renewal };
                let (count, validity) = match instance.ledger.lend(request, usage, ms(now)) {
                    LoanDecision::Lent { count, validity } => (count, validity),
                    LoanDecision::Refused(_) => (0, Duration::ZERO),
                };
                let response = LoanResponseTerms { request_id, renewal, count, validity };
                self.send(to, from, Message::Response(response), now);
            }
            Message::Response(response) => {
                let LoanResponseTerms { request_id, count, .. } = response;
                let ledger = &mut instance.ledger;
                match ledger.record_response(address(from), response, ms(now)) {
                    ResponseOutcome::Borrowed(count) => {
                        self.summary.borrowed += 1;
                        instance.board.reduce(MEMBER, address(from), count);
                    }
                    ResponseOutcome::Refused => instance.board.reduce(MEMBER, address(from), 9),
                    ResponseOutcome::Unknown if count > 0 => {
                        self.send(to, from, Message::Return { request_id }, now);
                    }
                    ResponseOutcome::Unknown
                    | ResponseOutcome::Repeated
                    | ResponseOutcome::Renewed => {}
                }
            }
            Message::Return { request_id } => {
                instance.ledger.record_return(address(from), request_id);
            }
            Message::Recall { request_id } => {
                if !instance.ledger.record_recall(address(from), request_id) {
                    self.send(to, from, Message::Return { request_id }, now);
                }
            }
        }
    }

    fn step(&mut self, index: usize, now: u64) {
        let instance = &mut self.instances[index];
        if now < instance.down_until {
            return;
        }
        instance.in_use.retain(|until| *until > now);
        let before = instance.waiting.len();
        instance.waiting.retain(|(arrived, _)| now < arrived + WAIT_MS);
        self.summary.refused += (before - instance.waiting.len()) as u32;
        while !instance.waiting.is_empty() && (instance.in_use.len() as u32) < instance.limit(now) {
            let (_, hold) = instance.waiting.remove(0);
            instance.in_use.push(now + hold);
        }
        let needed = (instance.in_use.len() + instance.waiting.len()) as u32;
        instance.peak = if now.is_multiple_of(1000) { needed } else { instance.peak.max(needed) };
        if !self.uses_loans {
            return;
        }
        let lender = instance.board.choose(MEMBER, index as u64, ms(now));
        let actions = instance.ledger.advance(instance.usage(), self.next_id, lender, ms(now));
        self.next_id += 1;
        for action in actions {
            self.act(index, action, now);
        }
        let instance = &self.instances[index];
        if (now + index as u64 * 37).is_multiple_of(1000) {
            let spare = instance.ledger.spare(instance.usage(), false, ms(now)).unwrap_or(0);
            let near = (0..INSTANCES).filter(|other| other % DOMAINS == index % DOMAINS);
            let others = (1..4).map(|step| (index + step) % INSTANCES);
            let receivers: Vec<usize> = near.chain(others).filter(|to| *to != index).collect();
            for to in receivers {
                self.send(index, to, Message::Spare(spare), now);
            }
        }
    }

    fn act(&mut self, index: usize, action: LoanAction, now: u64) {
        match action {
            LoanAction::Return { lender, request_id, .. } => {
                self.send(index, index_of(lender), Message::Return { request_id }, now);
            }
            LoanAction::Recall { borrower, request_id } => {
                self.summary.recalled += 1;
                self.send(index, index_of(borrower), Message::Recall { request_id }, now);
            }
            LoanAction::Request { lender, request_id, count, renewal } => {
                let message = Message::Request { request_id, count, renewal };
                self.send(index, index_of(lender), message, now);
            }
            LoanAction::Unanswered { lender } => {
                self.instances[index].board.reduce(MEMBER, lender, 9);
            }
            LoanAction::Overdue { .. } => {}
        }
    }

    /// Loans must not add to the shares, which add up to what the member accepts if all instances
    /// know the same list.
    fn check_sum(&self, now: u64) {
        let (mut limits, mut shares, mut in_use) = (0, 0, 0);
        for instance in &self.instances {
            shares += instance.share;
            if now >= instance.down_until {
                limits += instance.limit(now);
                in_use += instance.in_use.len() as u32;
            }
        }
        assert!(limits <= shares, "{limits} of {shares} at {now} ms");
        if self.is_bounded_in_use() {
            assert!(in_use <= shares && shares <= CONNECTIONS, "{in_use} at {now} ms");
        }
    }

    /// Whether connections in use stay within the limits: statements end before their loans, and
    /// shares do not become smaller.
    fn is_bounded_in_use(&self) -> bool {
        self.faults.list_changes_per_second == 0.0 && self.faults.hold_ms == HOLD_MS
    }

    /// A lender and the borrowers of its connections must not use more than its share together, and
    /// no instance more than it has. The sum alone has room left while instances start.
    fn check_each(&self, now: u64) {
        for (index, lender) in self.instances.iter().enumerate() {
            if now < lender.down_until {
                continue;
            }
            let mut total = lender.limit(now);
            for (_, count, is_usable) in lender.ledger.borrowed(ms(now)) {
                total -= if is_usable { count } else { 0 };
            }
            for borrower in &self.instances {
                let of_lender = borrower.ledger.borrowed(ms(now));
                let of_lender = of_lender.filter(|(from, ..)| *from == address(index));
                total += of_lender.map(|(_, count, _)| count).sum::<u32>();
            }
            assert!(total <= lender.share, "{total} of lender {index} at {now} ms");
            if self.is_bounded_in_use() {
                let ending = lender.ledger.borrowed(ms(now)).filter(|(.., is_usable)| !is_usable);
                let allowed = lender.limit(now) + ending.map(|(_, count, _)| count).sum::<u32>();
                let in_use = lender.in_use.len() as u32;
                assert!(in_use <= allowed, "{in_use} in use at {index}, {now} ms");
            }
        }
    }
}

fn refused_share(summary: &Summary) -> f64 {
    f64::from(summary.refused) / f64::from(summary.arrived)
}

#[test]
fn loans_serve_callers_that_the_present_shares_refuse() {
    // Without loans, an instance with one connection refuses callers while connections of other
    // instances are unused.
    for seed in 0..4 {
        let fixed = Simulation::new(seed, NO_FAULTS, false).run(20_000);
        let lent = Simulation::new(seed, NO_FAULTS, true).run(20_000);

        println!("seed {seed}: fixed {fixed:?}, lent {lent:?}");
        assert!(refused_share(&fixed) > 0.02, "the load must meet the limit: {fixed:?}");
        assert!(refused_share(&lent) < refused_share(&fixed) / 2.0, "{lent:?}, was {fixed:?}");
    }
}

#[test]
fn loans_never_add_to_the_shares_whatever_fails() {
    // Beyond its limit a member refuses connections of all instances. The sum is checked in every
    // millisecond, while messages are lost, delayed and repeated, lenders and borrowers restart,
    // and lists differ.
    for seed in 0..24 {
        let list_changes_per_second = if seed % 2 == 0 { 0.5 } else { 0.0 };
        let hold_ms = if seed % 3 == 0 { LONG_HOLD_MS } else { HOLD_MS };
        let faults = Faults { list_changes_per_second, hold_ms, ..FAULTS };
        let summary = Simulation::new(seed, faults, true).run(12_000);

        assert!(summary.borrowed > 0, "{summary:?}");
    }
}

#[test]
fn loans_need_few_messages() {
    // Links between regions are narrow; a request of a caller costs several hundred bytes anyway.
    let summary = Simulation::new(1, NO_FAULTS, true).run(20_000);
    let per_instance_and_second = f64::from(summary.messages) / 20.0 / INSTANCES as f64;

    println!("messages per instance and second: {per_instance_and_second:.1}");
    assert!(per_instance_and_second < 15.0, "{summary:?}");
}
