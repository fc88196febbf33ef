//! Membership of one instance: a state machine without sockets or a clock.

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

/// Membership as one instance sees it. Time is counted from an origin that the driver chooses.
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

    /// Returns the entry of this instance.
    pub(crate) fn local_entry(&self) -> &PeerEntry {
        &self.local_entry
    }

    /// Returns the instances that are not removed, including this one, sorted by name.
    pub(crate) fn snapshot(&self) -> Vec<PeerEntry> {
        let mut entries: Vec<PeerEntry> = self.table.present().cloned().collect();
        let index = entries.partition_point(|entry| entry.name < self.local_entry.name);
        entries.insert(index, self.local_entry.clone());
        entries
    }

    /// Returns the known entries of the other instances, including removed ones.
    pub(crate) fn known(&self) -> Vec<PeerEntry> {
        self.table.records().iter().map(|record| record.entry.clone()).collect()
    }

    /// Returns the known entry of an instance.
    pub(crate) fn entry(&self, name: &InstanceName) -> Option<&PeerEntry> {
        if *name == self.local_entry.name {
            return Some(&self.local_entry);
        }
        self.table.get(name).map(|record| &record.entry)
    }

    /// Whether no other instance is present.
    pub(crate) fn is_alone(&self) -> bool {
        self.table.present().next().is_none()
    }

    /// Returns the digest of the table, including this instance.
    pub(crate) fn digest(&self) -> u32 {
        self.table.digest().wrapping_add(entry_digest(&self.local_entry))
    }

    /// Returns the number of times an update must be sent to reach all instances.
    pub(crate) fn sends(&self) -> u32 {
        sends_for(self.table.records().len())
    }

    /// Whether the snapshot has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether there are updates since the last call that must not wait for heartbeats.
    pub(crate) fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Returns the updates to piggyback on the next datagram.
    pub(crate) fn next_updates(&self, count_max: usize) -> Vec<PeerEntry> {
        let names = self.updates.next(count_max);
        names.iter().filter_map(|name| self.entry(name).cloned()).collect()
    }

    /// Records that the update of an instance has been sent once more.
    pub(crate) fn record_sent(&mut self, name: &InstanceName) {
        self.updates.record_sent(name);
    }

    /// Returns the addresses of at most `count` random instances that are not leaving or removed.
    pub(crate) fn sample(&mut self, count: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .table
            .present()
            .filter(|entry| entry.takes_duties())
            .map(|entry| entry.address)
            .collect();
        live.sample(&mut self.rng, count).copied().collect()
    }

    /// Marks this instance as leaving. Within one incarnation, this is final.
    pub(crate) fn leave(&mut self) {
        if self.local_entry.state != PeerState::Leaving {
            self.local_entry.state = PeerState::Leaving;
            self.announce_local();
        }
    }

    /// Marks another instance as leaving on the report of a third party. If it is not leaving, it
    /// refutes this.
    pub(crate) fn mark_leaving(&mut self, name: &InstanceName, now: Duration) {
        if let Some(entry) = self.table.get(name).map(|record| record.entry.clone()) {
            self.apply_entry(PeerEntry { state: PeerState::Leaving, ..entry }, now);
        }
    }

    /// Discards a probe without a result, because the probe or the request for an indirect probe
    /// was not sent.
    pub(crate) fn abandon_probe(&mut self, sequence: Option<u32>) {
        if let Some(sequence) = sequence {
            self.probes.take(sequence);
        }
    }

    /// Advances the state machine to `now`. Must be called several times per probe timeout.
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

    /// Processes a datagram. The second returned value is the round-trip time if the datagram
    /// directly acknowledges a probe of this instance. It bounds the time that information in the
    /// datagram has spent on the network.
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

    /// Merges the table of a peer. Returns the entries that are newer here.
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
        let sent_by_peer = |name: &InstanceName| {
            received
                .binary_search_by(|entry| entry.name.cmp(name))
                .ok()
                .map(|index| received[index])
        };
        self.known()
            .into_iter()
            .chain([self.local_entry.clone()])
            .filter(|mine| match sent_by_peer(&mine.name) {
                Some(theirs) => mine.supersedes(theirs),
                None => mine.state != PeerState::Removed,
            })
            .collect()
    }

    /// Returns the entry of the sender known here if it supersedes the one that the sender sent, so
    /// that the sender can refute it.
    fn correction_for(&self, sender: &PeerEntry) -> Option<PeerEntry> {
        self.entry(&sender.name).filter(|known| known.supersedes(sender)).cloned()
    }
}
