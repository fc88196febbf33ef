//! Simulated fleet of nodes with a deterministic network between them.

use crate::budget::TokenBucket;
use crate::hints::PeerHint;
use crate::member::{Incarnation, PeerEntry, PeerState};
use crate::membership::{Membership, MembershipSettings};
use crate::node::{BudgetSettings, FetchKind, NodeOutput, PeerNode};
use crate::wire::{ResponseFrame, encode_response};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const TICK_MILLIS: u128 = 100;
pub(super) const BYTES_PER_SECOND: u64 = 1600;

struct SimulatedInstance {
    node: PeerNode,
    running: bool,
    frozen_until: Duration,
    side: usize,
    generation: usize,
    received: Vec<PeerHint>,
    sent_to: usize,
}

struct InFlightDatagram {
    due: Duration,
    from: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

pub(super) struct Fleet {
    instances: Vec<SimulatedInstance>,
    in_flight: Vec<InFlightDatagram>,
    cut_links: Vec<(usize, usize)>,
    pub(super) now: Duration,
    pub(super) loss_percent: u32,
    /// Whether datagrams that reach a frozen instance are lost, because its socket buffer is full.
    pub(super) drop_while_frozen: bool,
    rng: StdRng,
}

pub(super) fn name(instance: usize, generation: usize) -> InstanceName {
    format!("i{instance}-{generation}").parse().unwrap()
}

fn address(instance: usize) -> SocketAddr {
    ([10, 0, 0, 1], 7000 + u16::try_from(instance).unwrap()).into()
}

fn new_node(instance: usize, generation: usize, now: Duration, seed: u64) -> PeerNode {
    let local_entry = PeerEntry {
        name: name(instance, generation),
        address: address(instance),
        domain: format!("d{}", instance % 3).parse().unwrap(),
        incarnation: Incarnation(u64::try_from(now.as_millis()).unwrap() + 1),
        state: PeerState::Live,
    };
    let seeds = vec![address(0), address(1)];
    let membership = Membership::new(local_entry, seeds, MembershipSettings::default(), seed);
    PeerNode::new(membership, &BudgetSettings::split(BYTES_PER_SECOND), now)
}

impl Fleet {
    pub(super) fn new(size: usize, seed: u64) -> Self {
        let instance = |number| SimulatedInstance {
            node: new_node(number, 0, Duration::ZERO, seed + u64::try_from(number).unwrap()),
            running: true,
            frozen_until: Duration::ZERO,
            side: 0,
            generation: 0,
            received: Vec::new(),
            sent_to: 0,
        };
        Self {
            instances: (0..size).map(instance).collect(),
            in_flight: Vec::new(),
            cut_links: Vec::new(),
            now: Duration::ZERO,
            loss_percent: 0,
            drop_while_frozen: false,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns a fleet whose instances all know each other.
    pub(super) fn joined(size: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, seed);
        fleet.run_until(Duration::from_secs(600), Self::settled);
        fleet
    }

    pub(super) fn size(&self) -> usize {
        self.instances.len()
    }

    pub(super) fn kill(&mut self, instance: usize) {
        self.instances[instance].running = false;
    }

    /// Sets the budget of an instance to zero.
    pub(super) fn exhaust_budget(&mut self, instance: usize) {
        self.instances[instance].node.datagram_bucket = TokenBucket::new(0, 0, self.now);
    }

    pub(super) fn freeze(&mut self, instance: usize, time: Duration) {
        self.instances[instance].frozen_until = self.now + time;
    }

    /// Starts a new instance, with a new name, at the address of the previous one.
    pub(super) fn replace(&mut self, instance: usize) {
        let generation = self.instances[instance].generation + 1;
        let seed = self.rng.random();
        let (node, side) =
            (new_node(instance, generation, self.now, seed), self.instances[instance].side);
        let frozen_until = Duration::ZERO;
        self.instances[instance] = SimulatedInstance {
            node,
            running: true,
            frozen_until,
            side,
            generation,
            received: vec![],
            sent_to: 0,
        };
    }

    pub(super) fn leave(&mut self, instance: usize) {
        let output = self.instances[instance].node.leave(self.now);
        self.perform(instance, output);
    }

    pub(super) fn publish(&mut self, instance: usize, hint: PeerHint) {
        let output = self.instances[instance].node.publish(hint, self.now);
        self.perform(instance, output);
    }

    /// Sends a hint to these instances only.
    pub(super) fn send_hint(&mut self, instance: usize, receivers: &[usize], hint: &PeerHint) {
        let names: Vec<_> = receivers.iter().map(|instance| self.name_of(*instance)).collect();
        let output = self.instances[instance].node.send_hint(&names, hint, self.now);
        self.perform(instance, output);
    }

    /// Partitions the instances from `first` on from those before it.
    pub(super) fn partition_from(&mut self, first: usize) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            instance.side = usize::from(number >= first);
        }
    }

    pub(super) fn cut_link(&mut self, a: usize, b: usize) {
        self.cut_links.push((a, b));
    }

    pub(super) fn heal(&mut self) {
        self.partition_from(self.instances.len());
        self.cut_links.clear();
        self.loss_percent = 0;
    }

    pub(super) fn received(&self, instance: usize) -> &[PeerHint] {
        &self.instances[instance].received
    }

    pub(super) fn bytes_sent(&self, instance: usize) -> u64 {
        self.instances[instance].node.traffic().datagram_bytes
    }

    /// Returns the number of datagrams sent to an instance so far.
    pub(super) fn sent_to(&self, instance: usize) -> usize {
        self.instances[instance].sent_to
    }

    pub(super) fn all_bytes_sent(&self) -> Vec<u64> {
        (0..self.size()).map(|instance| self.bytes_sent(instance)).collect()
    }

    pub(super) fn node(&self, instance: usize) -> &PeerNode {
        &self.instances[instance].node
    }

    pub(super) fn name_of(&self, instance: usize) -> InstanceName {
        name(instance, self.instances[instance].generation)
    }

    /// Returns the state of `of` as known to the instance `instance`.
    pub(super) fn state(&self, instance: usize, of: &InstanceName) -> Option<PeerState> {
        let snapshot = self.instances[instance].node.snapshot();
        snapshot.into_iter().find(|entry| entry.name == *of).map(|entry| entry.state)
    }

    pub(super) fn running(&self) -> Vec<usize> {
        (0..self.size()).filter(|instance| self.instances[*instance].running).collect()
    }

    /// Whether each running instance sees exactly the running ones, none of them suspect.
    pub(super) fn settled(&self) -> bool {
        let mut expected: Vec<PeerEntry> = Vec::new();
        for instance in self.running() {
            expected.push(self.instances[instance].node.local_entry().clone());
        }
        expected.sort_by(|a, b| a.name.cmp(&b.name));
        self.running().iter().all(|instance| self.instances[*instance].node.snapshot() == expected)
    }

    pub(super) fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds, at most for `timeout`; returns the time that it took.
    pub(super) fn run_until(
        &mut self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        while self.now < started + timeout {
            let ticked = self.now.as_millis().is_multiple_of(TICK_MILLIS);
            if ticked && condition(self) {
                return Some(self.now - started);
            }
            self.step(ticked);
        }
        None
    }

    fn step(&mut self, ticked: bool) {
        self.now += STEP;
        self.deliver_due();
        for instance in 0..self.instances.len() {
            if ticked && self.is_responsive(instance) {
                let output = self.instances[instance].node.tick(self.now);
                self.perform(instance, output);
            }
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<InFlightDatagram>, Vec<InFlightDatagram>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|datagram| datagram.due <= now);
        self.in_flight = later;
        for datagram in due {
            let to = usize::from(datagram.to.port() - 7000);
            if !self.instances[to].running || self.is_cut(datagram.from, to) {
                continue;
            }
            if !self.is_responsive(to) {
                if !self.drop_while_frozen {
                    self.in_flight.push(InFlightDatagram {
                        due: self.instances[to].frozen_until,
                        ..datagram
                    });
                }
                continue;
            }
            let output = self.instances[to].node.receive(&datagram.bytes, now).unwrap();
            self.perform(to, output);
        }
    }

    fn perform(&mut self, from: usize, output: NodeOutput) {
        for (to, bytes) in output.datagrams {
            self.instances[usize::from(to.port() - 7000)].sent_to += 1;
            if self.rng.random_range(0..100) >= self.loss_percent {
                let due = self.now + Duration::from_millis(self.rng.random_range(1..40));
                self.in_flight.push(InFlightDatagram { due, from, to, bytes });
            }
        }
        self.instances[from].received.extend(output.hints.into_iter().map(|message| message.hint));
        for (address, kind) in output.fetches {
            self.fetch(from, usize::from(address.port() - 7000), kind);
        }
    }

    fn fetch(&mut self, from: usize, to: usize, kind: FetchKind) {
        if !self.is_responsive(to) || !self.instances[to].running || self.is_cut(from, to) {
            return;
        }
        if kind == FetchKind::Groups {
            let (sender, groups) = (self.name_of(to), self.instances[to].node.groups());
            let output = self.instances[from].node.merge_groups(&sender, groups, self.now);
            return self.perform(from, output);
        }
        let table = self.instances[to].node.table();
        let response = ResponseFrame::Table { number: 0, table: table.clone() };
        let bytes = u64::try_from(encode_response(&response).unwrap().len()).unwrap();
        if self.instances[to].node.charge_table(bytes, self.now) {
            let entries = self.instances[from].node.merge(&table, self.now);
            let sender = self.instances[from].node.local_entry().clone();
            let update = crate::wire::PeerTableFrame { sender, entries };
            self.instances[to].node.merge(&update, self.now);
        } else {
            self.instances[from].node.fetch_failed(kind);
        }
    }

    fn is_responsive(&self, instance: usize) -> bool {
        self.instances[instance].running && self.now >= self.instances[instance].frozen_until
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = |link: &(usize, usize)| *link == (a, b) || *link == (b, a);
        self.instances[a].side != self.instances[b].side || self.cut_links.iter().any(cut)
    }
}
