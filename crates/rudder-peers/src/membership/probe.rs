//! Pending probes, and the order in which instances are probed.

use crate::member::Incarnation;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of pending probes relayed for other instances.
const RELAYS_MAX: usize = 64;

/// Target of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeTarget {
    /// A known instance in one incarnation.
    Peer { name: InstanceName, incarnation: Incarnation },
    /// Any instance that listens at the address of a seed.
    Seed,
}

/// Number and kind of attempts that a probe makes.
///
/// Limits the cost of the loss of a failure domain: each instance checks each lost one, and
/// indirect probes take five datagrams per instance. The instance that reported the suspicion has
/// already sent indirect probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStyle {
    /// Without an acknowledgement, indirect probes are requested; used while no other instance
    /// suspects the target.
    Indirect,
    /// Without an acknowledgement, the probe is sent once more; used if a peer suspects the target.
    Repeated,
    /// The probe is sent once; used if a peer has removed the target.
    Single,
}

/// A pending probe.
#[derive(Clone, Debug)]
pub(crate) struct ProbeRecord {
    pub(crate) sequence: u32,
    pub(crate) target: ProbeTarget,
    pub(crate) sent_at: Duration,
    pub(crate) style: ProbeStyle,
    /// Whether indirect probes were requested or the probe was sent again.
    pub(crate) retried: bool,
}

/// A pending probe relayed for another instance.
#[derive(Clone, Debug)]
pub(crate) struct RelayRecord {
    pub(crate) sequence: u32,
    pub(crate) origin: SocketAddr,
    pub(crate) origin_sequence: u32,
    pub(crate) sent_at: Duration,
}

/// Pending probes of this instance and those relayed for others.
#[derive(Debug, Default)]
pub(crate) struct ProbeList {
    probes: Vec<ProbeRecord>,
    relays: Vec<RelayRecord>,
}

impl ProbeList {
    pub(crate) fn add(&mut self, probe: ProbeRecord) {
        self.probes.push(probe);
    }

    /// Adds a probe relayed for another instance; returns false if there are too many already.
    pub(crate) fn add_relay(&mut self, relay: RelayRecord) -> bool {
        let fits = self.relays.len() < RELAYS_MAX;
        if fits {
            self.relays.push(relay);
        }
        fits
    }

    pub(crate) fn probes(&self) -> &[ProbeRecord] {
        &self.probes
    }

    pub(crate) fn mark_retried(&mut self, sequence: u32) {
        if let Some(probe) = self.probes.iter_mut().find(|probe| probe.sequence == sequence) {
            probe.retried = true;
        }
    }

    pub(crate) fn is_probing(&self, wanted: &InstanceName) -> bool {
        let targets_peer = |target: &ProbeTarget| matches!(target, ProbeTarget::Peer { name, .. } if name == wanted);
        self.probes.iter().any(|probe| targets_peer(&probe.target))
    }

    /// Removes and returns the probe with this sequence number.
    pub(crate) fn take(&mut self, sequence: u32) -> Option<ProbeRecord> {
        let index = self.probes.iter().position(|probe| probe.sequence == sequence)?;
        Some(self.probes.swap_remove(index))
    }

    /// Removes and returns the relayed probe with this sequence number.
    pub(crate) fn take_relay(&mut self, sequence: u32) -> Option<RelayRecord> {
        let index = self.relays.iter().position(|relay| relay.sequence == sequence)?;
        Some(self.relays.swap_remove(index))
    }

    /// Discards all probes of this instance without a result.
    pub(crate) fn clear_probes(&mut self) {
        self.probes.clear();
    }

    /// Discards relayed probes that were sent before `since`.
    pub(crate) fn expire_relays(&mut self, since: Duration) {
        self.relays.retain(|relay| relay.sent_at >= since);
    }
}

/// Order of probing: each instance once in random order, then again in another random order.
///
/// Unlike a random choice at each probe, this bounds the time until an instance is probed.
#[derive(Debug, Default)]
pub(crate) struct ProbeOrder {
    waiting: Vec<InstanceName>,
}

impl ProbeOrder {
    /// Returns the next instance; `refill` returns all instances when a round has ended.
    pub(crate) fn next(
        &mut self,
        rng: &mut StdRng,
        refill: impl FnOnce() -> Vec<InstanceName>,
    ) -> Option<InstanceName> {
        if self.waiting.is_empty() {
            self.waiting = refill();
            self.waiting.shuffle(rng);
        }
        self.waiting.pop()
    }

    /// Inserts a new instance at a random position of the current round.
    pub(crate) fn insert(&mut self, name: InstanceName, rng: &mut StdRng) {
        let index = rng.random_range(0..=self.waiting.len());
        self.waiting.insert(index, name);
    }
}
