//! Probes on their way, and the order in which instances are probed.

use crate::member::Incarnation;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

/// Probes made for others at a time at most.
const RELAYS_MAX: usize = 64;

/// Who is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeTarget {
    /// A known instance in one of its lives.
    Peer { name: InstanceName, incarnation: Incarnation },
    /// Whoever listens at a seed's address.
    Seed,
}

/// How thoroughly an instance is probed.
///
/// Guards against the cost of a lost failure domain: each instance checks each lost one, and with
/// helpers that is five datagrams for each. Whoever told of the suspicion has asked helpers already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStyle {
    /// If there is no answer, helpers are asked: nobody else suspects the target yet.
    Indirect,
    /// If there is no answer, it is asked once more: a peer suspects it.
    Repeated,
    /// It is asked once: a peer found it gone.
    Single,
}

/// A probe on its way.
#[derive(Clone, Debug)]
pub(crate) struct ProbeRecord {
    pub(crate) sequence: u32,
    pub(crate) target: ProbeTarget,
    pub(crate) sent_at: Duration,
    pub(crate) style: ProbeStyle,
    /// Whether helpers have been asked, or the probe was sent again.
    pub(crate) retried: bool,
}

/// A probe made for another instance.
#[derive(Clone, Debug)]
pub(crate) struct RelayRecord {
    pub(crate) sequence: u32,
    pub(crate) origin: SocketAddr,
    pub(crate) origin_sequence: u32,
    pub(crate) sent_at: Duration,
}

/// Probes on their way, own ones and those made for others.
#[derive(Debug, Default)]
pub(crate) struct ProbeList {
    probes: Vec<ProbeRecord>,
    relays: Vec<RelayRecord>,
}

impl ProbeList {
    pub(crate) fn add(&mut self, probe: ProbeRecord) {
        self.probes.push(probe);
    }

    /// Adds a probe made for another instance; false if there are too many already.
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

    pub(crate) fn probes_peer(&self, wanted: &InstanceName) -> bool {
        let aims = |target: &ProbeTarget| matches!(target, ProbeTarget::Peer { name, .. } if name == wanted);
        self.probes.iter().any(|probe| aims(&probe.target))
    }

    /// Takes out the probe that an answer with this number belongs to.
    pub(crate) fn take(&mut self, sequence: u32) -> Option<ProbeRecord> {
        let index = self.probes.iter().position(|probe| probe.sequence == sequence)?;
        Some(self.probes.swap_remove(index))
    }

    /// Takes out the probe made for another that an answer with this number belongs to.
    pub(crate) fn take_relay(&mut self, sequence: u32) -> Option<RelayRecord> {
        let index = self.relays.iter().position(|relay| relay.sequence == sequence)?;
        Some(self.relays.swap_remove(index))
    }

    /// Forgets all own probes without a verdict.
    pub(crate) fn clear_probes(&mut self) {
        self.probes.clear();
    }

    /// Forgets probes made for others that were sent before `since`.
    pub(crate) fn expire_relays(&mut self, since: Duration) {
        self.relays.retain(|relay| relay.sent_at >= since);
    }
}

/// The order of probing: each instance once, in random order, then again in another.
///
/// Against picking at random each time: the time until an instance is probed has a bound.
#[derive(Debug, Default)]
pub(crate) struct ProbeOrder {
    waiting: Vec<InstanceName>,
}

impl ProbeOrder {
    /// The next instance; `refill` gives all of them when a round is over.
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

    /// Puts a new instance at a random place of the current round.
    pub(crate) fn insert(&mut self, name: InstanceName, rng: &mut StdRng) {
        let index = rng.random_range(0..=self.waiting.len());
        self.waiting.insert(index, name);
    }
}
