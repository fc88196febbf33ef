//! Selection of probe targets, and handling of acknowledgements and timeouts.

use super::action::PeerAction;
use super::probe::{ProbeRecord, ProbeStyle, ProbeTarget, RelayRecord};
use super::state::Membership;
use super::table::CheckPlan;
use crate::member::{PeerEntry, PeerState};
use crate::wire::DatagramBody;
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use rudder_core::{DomainName, InstanceName};
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Detects that this instance was paused. After a pause it would take its own missed
    /// acknowledgements for failures of its peers; pending probes are therefore discarded, and all
    /// checks are restarted.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        let paused =
            self.ticked_at.is_some_and(|ticked| now.saturating_sub(ticked) > self.settings.period);
        self.ticked_at = Some(now);
        if paused {
            self.probes.clear_probes();
            self.table.defer_checks(now + self.settings.suspicion);
            log::info!(target: "rudder::membership", instance:% = self.local_entry.name; "resumed after a pause; pending probes discarded");
        }
    }

    pub(super) fn check_probe_timeouts(&mut self, now: Duration, actions: &mut Vec<PeerAction>) {
        let settings = &self.settings;
        let (mut failed, mut slow) = (Vec::new(), Vec::new());
        for probe in self.probes.probes() {
            let waited = now.saturating_sub(probe.sent_at);
            let timeout = match probe.style {
                ProbeStyle::Single => settings.direct_timeout,
                ProbeStyle::Indirect | ProbeStyle::Repeated => settings.probe_timeout,
            };
            if waited >= timeout {
                failed.push(probe.sequence);
            } else if waited >= settings.direct_timeout && !probe.retried {
                slow.push(probe.clone());
            }
        }
        for sequence in failed {
            if let Some(probe) = self.probes.take(sequence) {
                self.probe_failed(&probe, now);
            }
        }
        for probe in slow {
            self.retry(&probe, actions);
        }
    }

    fn probe_failed(&mut self, probe: &ProbeRecord, now: Duration) {
        let ProbeTarget::Peer { name, incarnation } = &probe.target else { return };
        let Some(record) = self.table.get(name) else { return };
        let entry = record.entry.clone();
        if entry.incarnation != *incarnation || entry.state == PeerState::Removed {
            return;
        }
        match record.check {
            Some(plan) if plan.at <= now => self.mark_removed(entry, now),
            Some(_) => {}
            None => {
                let plan =
                    CheckPlan { at: now + self.settings.suspicion, style: ProbeStyle::Indirect };
                let state = entry.state.max(PeerState::Suspect);
                log::info!(target: "rudder::membership", instance:% = entry.name; "suspected");
                self.replace(PeerEntry { state, ..entry }, Some(plan), now);
            }
        }
    }

    /// Retries a probe in the way that its style prescribes.
    fn retry(&mut self, probe: &ProbeRecord, actions: &mut Vec<PeerAction>) {
        self.probes.mark_retried(probe.sequence);
        let ProbeTarget::Peer { name, .. } = &probe.target else { return };
        let Some(target) = self.table.get(name).map(|record| record.entry.clone()) else { return };
        match probe.style {
            ProbeStyle::Indirect => self.request_indirect_probes(probe.sequence, &target, actions),
            ProbeStyle::Repeated => actions.push(probe_action(probe.sequence, &target)),
            ProbeStyle::Single => {}
        }
    }

    /// Requests indirect probes from instances in different failure domains, so that one broken
    /// link, or a partition between one domain and the domain of the target, does not look like a
    /// failure of the target.
    fn request_indirect_probes(
        &mut self,
        sequence: u32,
        target: &PeerEntry,
        actions: &mut Vec<PeerAction>,
    ) {
        for to in self.choose_relays(&target.name) {
            let body = DatagramBody::IndirectProbe { sequence, target: target.name.clone() };
            actions.push(PeerAction { to, body, first_update: Some(target.clone()) });
        }
    }

    fn choose_relays(&mut self, target: &InstanceName) -> Vec<SocketAddr> {
        let mut candidates: Vec<PeerEntry> = self
            .table
            .present()
            .filter(|entry| entry.takes_duties() && entry.name != *target)
            .cloned()
            .collect();
        candidates.shuffle(&mut self.rng);
        let mut seen: Vec<DomainName> = vec![self.local_entry.domain.clone()];
        let (mut far, mut near) = (Vec::new(), Vec::new());
        for entry in candidates {
            if seen.contains(&entry.domain) {
                near.push(entry.address);
            } else {
                seen.push(entry.domain);
                far.push(entry.address);
            }
        }
        far.extend(near);
        far.truncate(self.settings.relay_count);
        far
    }

    /// Probes one instance whose check is due. Only one is probed at a time, so that the checks
    /// after the loss of a whole failure domain run at a constant rate.
    pub(super) fn check_one(&mut self, now: Duration, actions: &mut Vec<PeerAction>) {
        let due = self.table.records().iter().find(|record| {
            record.check.is_some_and(|plan| plan.at <= now)
                && !self.probes.is_probing(&record.entry.name)
        });
        if let Some((entry, plan)) = due.map(|record| (record.entry.clone(), record.check)) {
            let style = plan.map_or(ProbeStyle::Indirect, |plan| plan.style);
            self.probe(&entry, style, now, actions);
        }
    }

    pub(super) fn probe_next(&mut self, now: Duration, actions: &mut Vec<PeerAction>) {
        let table = &self.table;
        let all = || table.present().map(|entry| entry.name.clone()).collect();
        let Some(name) = self.order.next(&mut self.rng, all) else { return };
        let Some(record) = self.table.get(&name) else { return };
        if record.entry.state != PeerState::Removed && !self.probes.is_probing(&name) {
            let entry = record.entry.clone();
            self.probe(&entry, ProbeStyle::Indirect, now, actions);
        }
    }

    /// Probes one removed instance, or a seed at whose address no instance is known. Without this,
    /// two partitioned regions would never rejoin, since each has removed the other.
    pub(super) fn probe_removed(&mut self, now: Duration, actions: &mut Vec<PeerAction>) {
        let in_use = |address: &SocketAddr| {
            *address == self.local_entry.address
                || self.table.present().any(|entry| entry.address == *address)
        };
        let removed = self.table.removed().filter(|entry| !in_use(&entry.address));
        let removed: Vec<PeerEntry> = removed.cloned().collect();
        let seeds = self.seeds.iter().filter(|seed| !in_use(seed));
        let seeds: Vec<SocketAddr> = seeds.copied().collect();
        if self.chooses_rejoin_probe(removed.len())
            && let Some(entry) = removed.choose(&mut self.rng)
        {
            self.probe(entry, ProbeStyle::Single, now, actions);
        }
        if self.chooses_rejoin_probe(seeds.len())
            && let Some(&seed) = seeds.choose(&mut self.rng)
        {
            let sequence = self.add_probe(ProbeTarget::Seed, ProbeStyle::Single, now);
            let body = DatagramBody::Probe { sequence, target: None };
            actions.push(PeerAction { to: seed, body, first_update: None });
        }
    }

    /// Whether this instance probes one of `targets` addresses in this interval.
    ///
    /// Bounds the load on each address: if 570 instances that remember the same address all probed
    /// it, it would receive over a hundred probes a second, and any instance that listens there by
    /// then would use up its budget on responses. All instances together probe each address about
    /// once a period.
    fn chooses_rejoin_probe(&mut self, targets: usize) -> bool {
        let periods =
            self.settings.rejoin_interval.as_secs_f64() / self.settings.period.as_secs_f64();
        let peers = self.table.present().count() + 1;
        let probability = targets as f64 * periods / peers as f64;
        self.rng.random_bool(probability.min(1.0))
    }

    fn probe(
        &mut self,
        entry: &PeerEntry,
        style: ProbeStyle,
        now: Duration,
        actions: &mut Vec<PeerAction>,
    ) {
        let target = ProbeTarget::Peer { name: entry.name.clone(), incarnation: entry.incarnation };
        let sequence = self.add_probe(target, style, now);
        actions.push(probe_action(sequence, entry));
    }

    fn add_probe(&mut self, target: ProbeTarget, style: ProbeStyle, now: Duration) -> u32 {
        let sequence = self.next_sequence();
        self.probes.add(ProbeRecord { sequence, target, sent_at: now, style, retried: false });
        sequence
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    pub(super) fn relay_probe(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        target: &InstanceName,
        now: Duration,
        actions: &mut Vec<PeerAction>,
    ) {
        let Some(entry) = self.entry(target).cloned() else { return };
        let sequence = self.next_sequence();
        if self.probes.add_relay(RelayRecord { sequence, origin, origin_sequence, sent_at: now }) {
            actions.push(probe_action(sequence, &entry));
        }
    }

    pub(super) fn on_ack(
        &mut self,
        sequence: u32,
        sender: &PeerEntry,
        now: Duration,
        actions: &mut Vec<PeerAction>,
    ) -> Option<Duration> {
        if let Some(relay) = self.probes.take_relay(sequence) {
            let body = DatagramBody::RelayedAck { sequence: relay.origin_sequence };
            let first_update = Some(sender.clone());
            actions.push(PeerAction { to: relay.origin, body, first_update });
            return None;
        }
        let probe = self.probes.take(sequence)?;
        self.confirm_alive(&probe, sender, now);
        Some(now.saturating_sub(probe.sent_at))
    }

    /// Handles the acknowledgement of a probe by its target.
    pub(super) fn confirm_alive(
        &mut self,
        probe: &ProbeRecord,
        responder: &PeerEntry,
        now: Duration,
    ) {
        let ProbeTarget::Peer { name, .. } = &probe.target else { return };
        if *name != responder.name {
            return;
        }
        let Some(record) = self.table.get(name) else { return };
        // A suspect instance acknowledges with a greater incarnation once it has received the
        // suspicion; until then it stays suspect but is not removed.
        let plan = CheckPlan { at: now + self.settings.suspicion, style: ProbeStyle::Indirect };
        let check = (record.entry.state == PeerState::Suspect).then_some(plan);
        self.table.plan_check(name, check);
    }
}

/// Returns the datagram that probes an instance. An instance that is not live receives its own
/// entry with the probe, so that it can refute.
fn probe_action(sequence: u32, target: &PeerEntry) -> PeerAction {
    let body = DatagramBody::Probe { sequence, target: Some(target.name.clone()) };
    let first_update = (target.state != PeerState::Live).then(|| target.clone());
    PeerAction { to: target.address, body, first_update }
}
