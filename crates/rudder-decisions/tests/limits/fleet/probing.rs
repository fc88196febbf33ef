//! Probes of earlier owners, through relays as well, and evidence of claimants.

use super::{SimFleet, SimInstance, SimMessage};
use rudder_core::InstanceName;
use rudder_decisions::choose_relays;

/// Number of relays that an owner without a response is probed through.
const RELAYS: usize = 3;

impl SimFleet {
    /// Tells `owner` which of the owners before it last decided a claim of `instance`.
    pub(super) fn send_evidence(&mut self, instance: usize, earlier: &[usize], owner: usize) {
        let Some((granter, age)) = self.instances[instance].grants.latest(&self.account, self.now)
        else {
            return;
        };
        let is_granter = |earlier: &&usize| self.instances[**earlier].name == *granter;
        if let Some(granter) = earlier.iter().find(is_granter) {
            let observed_at = self.now - age;
            let report = SimMessage::Report { owner: *granter, grants: true, observed_at };
            self.send(instance, owner, report);
        }
    }

    /// Probes an owner that is ranked before `index`, and through relays if it did not respond.
    pub(super) fn probe(&mut self, index: usize, owner: usize) {
        let name = self.instances[owner].name.clone();
        let watch = &mut self.instances[index].watch;
        if !watch.try_begin_probe(&self.account, &name, self.now) {
            return;
        }
        let needs_relays = watch.needs_relays(&self.account, &name);
        self.send(index, owner, SimMessage::Probe { relay: None });
        if needs_relays {
            let sent_at = self.now;
            for relay in self.choose_relays(index, owner) {
                self.send(index, relay, SimMessage::RelayProbe { owner, sent_at });
            }
        }
    }

    /// Makes each owner with a recent claim probe the owners before it.
    pub(super) fn probe_between_claims(&mut self) {
        let owners = self.owners();
        for index in owners {
            let is_active = self.instances[index].ledger.active_accounts(self.now).count() > 0;
            if is_active && self.is_running(index) {
                self.decide(index, false);
            }
        }
    }

    fn choose_relays(&mut self, index: usize, owner: usize) -> Vec<usize> {
        let instances = &self.instances;
        let is_other = |(other, _): &(usize, &SimInstance)| *other != index && *other != owner;
        let candidates = instances.iter().enumerate().filter(is_other);
        let candidates = candidates.map(|(_, instance)| (&instance.name, &instance.domain));
        let domain = &instances[index].domain;
        let relays = choose_relays(candidates, domain, RELAYS, &mut self.random);
        let position = |relay: &InstanceName| {
            instances.iter().position(|known| known.name == *relay).expect("it is listed")
        };
        relays.into_iter().map(position).collect()
    }
}
