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
    sites: Vec<SimulatedInstance>,
    in_flight: Vec<InFlightDatagram>,
    cut_links: Vec<(usize, usize)>,
    pub(super) now: Duration,
    pub(super) loss_percent: u32,
    /// Whether datagrams that reach a frozen instance are lost, because its socket buffer is full.
    pub(super) drop_while_frozen: bool,
    rng: StdRng,
}

pub(super) fn name(site: usize, generation: usize) -> InstanceName {
    format!("i{site}-{generation}").parse().unwrap()
}

fn address(site: usize) -> SocketAddr {
    ([10, 0, 0, 1], 7000 + u16::try_from(site).unwrap()).into()
}

fn new_node(site: usize, generation: usize, now: Duration, seed: u64) -> PeerNode {
    let local_entry = PeerEntry {
        name: name(site, generation),
        address: address(site),
        domain: format!("d{}", site % 3).parse().unwrap(),
        incarnation: Incarnation(u64::try_from(now.as_millis()).unwrap() + 1),
        state: PeerState::Live,
    };
    let seeds = vec![address(0), address(1)];
    let membership = Membership::new(local_entry, seeds, MembershipSettings::default(), seed);
    PeerNode::new(membership, &BudgetSettings::split(BYTES_PER_SECOND), now)
}

impl Fleet {
    pub(super) fn new(size: usize, seed: u64) -> Self {
        let site = |number| SimulatedInstance {
            node: new_node(number, 0, Duration::ZERO, seed + u64::try_from(number).unwrap()),
            running: true,
            frozen_until: Duration::ZERO,
            side: 0,
            generation: 0,
            received: Vec::new(),
            sent_to: 0,
        };
        Self {
            sites: (0..size).map(site).collect(),
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
        self.sites.len()
    }

    pub(super) fn kill(&mut self, site: usize) {
        self.sites[site].running = false;
    }

    /// Sets the budget of an instance to zero.
    pub(super) fn exhaust_budget(&mut self, site: usize) {
        self.sites[site].node.datagram_bucket = TokenBucket::new(0, 0, self.now);
    }

    pub(super) fn freeze(&mut self, site: usize, time: Duration) {
        self.sites[site].frozen_until = self.now + time;
    }

    /// Starts a new instance, with a new name, at the address of the previous one.
    pub(super) fn replace(&mut self, site: usize) {
        let generation = self.sites[site].generation + 1;
        let seed = self.rng.random();
        let (node, side) = (new_node(site, generation, self.now, seed), self.sites[site].side);
        let frozen_until = Duration::ZERO;
        self.sites[site] = SimulatedInstance {
            node,
            running: true,
            frozen_until,
            side,
            generation,
            received: vec![],
            sent_to: 0,
        };
    }

    pub(super) fn leave(&mut self, site: usize) {
        let output = self.sites[site].node.leave(self.now);
        self.perform(site, output);
    }

    pub(super) fn publish(&mut self, site: usize, hint: PeerHint) {
        let output = self.sites[site].node.publish(hint, self.now);
        self.perform(site, output);
    }

    /// Sends a hint to these instances only.
    pub(super) fn send_hint(&mut self, site: usize, receivers: &[usize], hint: &PeerHint) {
        let names: Vec<_> = receivers.iter().map(|site| self.name_of(*site)).collect();
        let output = self.sites[site].node.send_hint(&names, hint, self.now);
        self.perform(site, output);
    }

    /// Partitions the instances from `first` on from those before it.
    pub(super) fn partition_from(&mut self, first: usize) {
        for (number, site) in self.sites.iter_mut().enumerate() {
            site.side = usize::from(number >= first);
        }
    }

    pub(super) fn cut_link(&mut self, a: usize, b: usize) {
        self.cut_links.push((a, b));
    }

    pub(super) fn heal(&mut self) {
        self.partition_from(self.sites.len());
        self.cut_links.clear();
        self.loss_percent = 0;
    }

    pub(super) fn received(&self, site: usize) -> &[PeerHint] {
        &self.sites[site].received
    }

    pub(super) fn bytes_sent(&self, site: usize) -> u64 {
        self.sites[site].node.traffic().datagram_bytes
    }

    /// Returns the number of datagrams sent to an instance so far.
    pub(super) fn sent_to(&self, site: usize) -> usize {
        self.sites[site].sent_to
    }

    pub(super) fn all_bytes_sent(&self) -> Vec<u64> {
        (0..self.size()).map(|site| self.bytes_sent(site)).collect()
    }

    pub(super) fn node(&self, site: usize) -> &PeerNode {
        &self.sites[site].node
    }

    pub(super) fn name_of(&self, site: usize) -> InstanceName {
        name(site, self.sites[site].generation)
    }

    /// Returns the state of `of` as known to the instance `site`.
    pub(super) fn state(&self, site: usize, of: &InstanceName) -> Option<PeerState> {
        let snapshot = self.sites[site].node.snapshot();
        snapshot.into_iter().find(|entry| entry.name == *of).map(|entry| entry.state)
    }

    pub(super) fn running(&self) -> Vec<usize> {
        (0..self.size()).filter(|site| self.sites[*site].running).collect()
    }

    /// Whether each running instance sees exactly the running ones, none of them suspect.
    pub(super) fn settled(&self) -> bool {
        let mut expected: Vec<PeerEntry> = Vec::new();
        for site in self.running() {
            expected.push(self.sites[site].node.local_entry().clone());
        }
        expected.sort_by(|a, b| a.name.cmp(&b.name));
        self.running().iter().all(|site| self.sites[*site].node.snapshot() == expected)
    }

    pub(super) fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds, at most for `bound`; returns the time that it took.
    pub(super) fn run_until(
        &mut self,
        bound: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        while self.now < started + bound {
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
        for site in 0..self.sites.len() {
            if ticked && self.is_responsive(site) {
                let output = self.sites[site].node.tick(self.now);
                self.perform(site, output);
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
            if !self.sites[to].running || self.is_cut(datagram.from, to) {
                continue;
            }
            if !self.is_responsive(to) {
                if !self.drop_while_frozen {
                    self.in_flight
                        .push(InFlightDatagram { due: self.sites[to].frozen_until, ..datagram });
                }
                continue;
            }
            let output = self.sites[to].node.receive(&datagram.bytes, now).unwrap();
            self.perform(to, output);
        }
    }

    fn perform(&mut self, from: usize, output: NodeOutput) {
        for (to, bytes) in output.datagrams {
            self.sites[usize::from(to.port() - 7000)].sent_to += 1;
            if self.rng.random_range(0..100) >= self.loss_percent {
                let due = self.now + Duration::from_millis(self.rng.random_range(1..40));
                self.in_flight.push(InFlightDatagram { due, from, to, bytes });
            }
        }
        self.sites[from].received.extend(output.hints.into_iter().map(|message| message.hint));
        for (address, kind) in output.fetches {
            self.fetch(from, usize::from(address.port() - 7000), kind);
        }
    }

    fn fetch(&mut self, from: usize, to: usize, kind: FetchKind) {
        if !self.is_responsive(to) || !self.sites[to].running || self.is_cut(from, to) {
            return;
        }
        if kind == FetchKind::Groups {
            let (sender, groups) = (self.name_of(to), self.sites[to].node.groups());
            let output = self.sites[from].node.merge_groups(&sender, groups, self.now);
            return self.perform(from, output);
        }
        let table = self.sites[to].node.table();
        let response = ResponseFrame::Table { number: 0, table: table.clone() };
        let bytes = u64::try_from(encode_response(&response).unwrap().len()).unwrap();
        if self.sites[to].node.charge_table(bytes, self.now) {
            let entries = self.sites[from].node.merge(&table, self.now);
            let sender = self.sites[from].node.local_entry().clone();
            let update = crate::wire::PeerTableFrame { sender, entries };
            self.sites[to].node.merge(&update, self.now);
        } else {
            self.sites[from].node.fetch_failed(kind);
        }
    }

    fn is_responsive(&self, site: usize) -> bool {
        self.sites[site].running && self.now >= self.sites[site].frozen_until
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = |link: &(usize, usize)| *link == (a, b) || *link == (b, a);
        self.sites[a].side != self.sites[b].side || self.cut_links.iter().any(cut)
    }
}
