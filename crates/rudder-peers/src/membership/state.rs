//! The membership of one instance: a state machine without sockets or a clock.

use super::action::PeerAction;
use super::probe::{ProbeList, ProbeOrder};
use super::settings::MembershipSettings;
use super::table::{PeerTable, entry_digest};
use super::updates::{UpdateQueue, sends_for};
use crate::member::{PeerEntry, PeerState};
use crate::wire::{DatagramBody, PeerDatagram};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

/// The membership as one instance sees it. Time is counted from an origin of the driver's choice.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) local_entry: PeerEntry,
    pub(super) table: PeerTable,
    pub(super) probes: ProbeList,
    pub(super) order: ProbeOrder,
    pub(super) updates: UpdateQueue,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) rng: StdRng,
    pub(super) sequence: u32,
    pub(super) ticked_at: Option<Duration>,
    pub(super) probe_at: Duration,
    pub(super) rejoin_at: Duration,
    pub(super) check_at: Duration,
    pub(super) changed: bool,
    pub(super) urgent: bool,
}

impl Membership {
    pub(crate) fn new(
        local_entry: PeerEntry,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        random_seed: u64,
    ) -> Self {
        Self {
            settings,
            local_entry,
            table: PeerTable::default(),
            probes: ProbeList::default(),
            order: ProbeOrder::default(),
            updates: UpdateQueue::default(),
            seeds,
            rng: StdRng::seed_from_u64(random_seed),
            sequence: 0,
            ticked_at: None,
            probe_at: Duration::ZERO,
            rejoin_at: Duration::ZERO,
            check_at: Duration::ZERO,
            changed: true,
            urgent: false,
        }
    }

    /// This instance about itself.
    pub(crate) fn local_entry(&self) -> &PeerEntry {
        &self.local_entry
    }

    /// The instances that are not gone, this one included, sorted by name.
    pub(crate) fn snapshot(&self) -> Vec<PeerEntry> {
        let mut entries: Vec<PeerEntry> = self.table.present().cloned().collect();
        let index = entries.partition_point(|entry| entry.name < self.local_entry.name);
        entries.insert(index, self.local_entry.clone());
        entries
    }

    /// Everything that is known of the other instances, gone ones included.
    pub(crate) fn known(&self) -> Vec<PeerEntry> {
        self.table.records().iter().map(|record| record.entry.clone()).collect()
    }

    /// What is held of an instance.
    pub(crate) fn entry(&self, name: &InstanceName) -> Option<&PeerEntry> {
        if *name == self.local_entry.name {
            return Some(&self.local_entry);
        }
        self.table.get(name).map(|record| &record.entry)
    }

    /// Whether no other instance is known to be there.
    pub(crate) fn is_alone(&self) -> bool {
        self.table.present().next().is_none()
    }

    /// The digest of the table, this instance included.
    pub(crate) fn digest(&self) -> u32 {
        self.table.digest().wrapping_add(entry_digest(&self.local_entry))
    }

    /// How often a piece of news must be told to reach the whole fleet.
    pub(crate) fn sends(&self) -> u32 {
        sends_for(self.table.records().len())
    }

    /// Whether the snapshot has changed since this was last asked.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether there is news since this was last asked that must not wait for heartbeats.
    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// The news that should ride on the next datagram.
    pub(crate) fn next_updates(&self, count_max: usize) -> Vec<PeerEntry> {
        let names = self.updates.next(count_max);
        names.iter().filter_map(|name| self.entry(name).cloned()).collect()
    }

    /// Counts the news of an instance as told once more.
    pub(crate) fn record_sent(&mut self, name: &InstanceName) {
        self.updates.record_sent(name);
    }

    /// Some random instances that take part, at most `count`.
    pub(crate) fn sample(&mut self, count: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .table
            .present()
            .filter(|entry| entry.takes_duties())
            .map(|entry| entry.address)
            .collect();
        live.sample(&mut self.rng, count).copied().collect()
    }

    /// Says that this instance is leaving. Of one incarnation, that is final.
    pub(crate) fn leave(&mut self) {
        if self.local_entry.state != PeerState::Leaving {
            self.local_entry.state = PeerState::Leaving;
            self.announce_local();
        }
    }

    /// Takes somebody else's word that an instance is leaving. If it is not, it refutes this.
    pub(crate) fn mark_leaving(&mut self, name: &InstanceName, now: Duration) {
        if let Some(entry) = self.table.get(name).map(|record| record.entry.clone()) {
            self.apply_entry(PeerEntry { state: PeerState::Leaving, ..entry }, now);
        }
    }

    /// A probe, or the request to a helper, was not sent: it gives no verdict.
    pub(crate) fn abandon_probe(&mut self, sequence: Option<u32>) {
        if let Some(sequence) = sequence {
            self.probes.take(sequence);
        }
    }

    /// Lets time pass. To be called several times per probe timeout.
    pub(crate) fn tick(&mut self, now: Duration) -> Vec<PeerAction> {
        let mut actions = Vec::new();
        self.detect_pause(now);
        self.check_probe_timeouts(now, &mut actions);
        if now >= self.check_at {
            self.check_at = now + self.settings.check_interval;
            self.check_one(now, &mut actions);
        }
        if now >= self.probe_at {
            self.probe_at = now + self.settings.period;
            self.probe_next(now, &mut actions);
        }
        if now >= self.rejoin_at {
            self.rejoin_at = now + self.settings.rejoin_interval;
            self.probe_removed(now, &mut actions);
            self.table.expire(now, self.settings.tombstone_ttl);
            self.probes.expire_relays(now.saturating_sub(self.settings.probe_timeout));
        }
        actions
    }

    /// Takes in a datagram. The second value is the round trip, if it answers a probe of this
    /// instance directly: no information in it can be older than that by the network's fault.
    pub(crate) fn receive(
        &mut self,
        datagram: &PeerDatagram,
        now: Duration,
    ) -> (Vec<PeerAction>, Option<Duration>) {
        let mut actions = Vec::new();
        let sender = &datagram.sender;
        self.apply_entry(sender.clone(), now);
        self.remove_predecessors(sender, now);
        for entry in &datagram.updates {
            self.apply_entry(entry.clone(), now);
        }
        let mut round_trip = None;
        match &datagram.body {
            DatagramBody::Probe { sequence, .. } => {
                let body = DatagramBody::Ack { sequence: *sequence };
                let first_update = self.correction_for(sender);
                actions.push(PeerAction { to: sender.address, body, first_update });
            }
            DatagramBody::IndirectProbe { sequence, target } => {
                self.relay_probe(sender.address, *sequence, target, now, &mut actions);
            }
            DatagramBody::Ack { sequence } => {
                round_trip = self.on_ack(*sequence, sender, now, &mut actions);
            }
            DatagramBody::RelayedAck { sequence } => {
                if let (Some(probe), Some(target)) =
                    (self.probes.take(*sequence), datagram.updates.first())
                {
                    self.confirm_alive(&probe, target, now);
                }
            }
            DatagramBody::Push | DatagramBody::Direct => {}
        }
        (actions, round_trip)
    }

    /// Takes in a peer's table. Returns what this instance knows better.
    pub(crate) fn merge(
        &mut self,
        sender: &PeerEntry,
        entries: &[PeerEntry],
        now: Duration,
    ) -> Vec<PeerEntry> {
        self.apply_entry(sender.clone(), now);
        for entry in entries {
            self.apply_entry(entry.clone(), now);
        }
        let mut received: Vec<&PeerEntry> = entries.iter().chain([sender]).collect();
        received.sort_by(|a, b| a.name.cmp(&b.name));
        let known_there = |name: &InstanceName| {
            received
                .binary_search_by(|entry| entry.name.cmp(name))
                .ok()
                .map(|index| received[index])
        };
        self.known()
            .into_iter()
            .chain([self.local_entry.clone()])
            .filter(|mine| match known_there(&mine.name) {
                Some(theirs) => mine.supersedes(theirs),
                None => mine.state != PeerState::Removed,
            })
            .collect()
    }

    /// What the sender should hear about itself: that somebody doubts it.
    fn correction_for(&self, sender: &PeerEntry) -> Option<PeerEntry> {
        self.entry(&sender.name).filter(|held| held.supersedes(sender)).cloned()
    }
}
