//! What a membership does with what it hears about instances.

use super::probe::ProbeStyle;
use super::state::Membership;
use super::table::{CheckPlan, PeerRecord};
use crate::member::{PeerEntry, PeerState};
use std::time::Duration;

impl Membership {
    /// Takes in what somebody says about an instance.
    pub(super) fn hear(&mut self, heard: PeerEntry, now: Duration) {
        if heard.name == self.me.name {
            self.refute(&heard);
            return;
        }
        let held = self.table.get(&heard.name).map(|record| (record.entry.clone(), record.check));
        match held {
            None if heard.state == PeerState::Gone => {}
            None => {
                self.order.insert(heard.name.clone(), &mut self.rng);
                self.urgent = true;
                self.adopt(heard, now);
            }
            Some((held, _)) if !heard.supersedes(&held) => {}
            Some((held, check)) if heard.state == PeerState::Gone => {
                self.doubt(held, check, &heard, now);
            }
            Some(_) => self.adopt(heard, now),
        }
    }

    /// A peer found the instance gone. Guards against removing a live instance on hearsay, which
    /// would happen to every instance of a region when two regions meet again: this instance asks
    /// it once itself, and its answer brings a greater incarnation if it is live.
    fn doubt(
        &mut self,
        held: PeerEntry,
        check: Option<CheckPlan>,
        heard: &PeerEntry,
        now: Duration,
    ) {
        if check.is_some_and(|plan| plan.style == ProbeStyle::Single)
            && heard.incarnation == held.incarnation
        {
            return;
        }
        let state = held.state.max(PeerState::Suspect);
        let entry = PeerEntry { incarnation: heard.incarnation, state, ..held };
        let check = Some(CheckPlan { at: now, style: ProbeStyle::Single });
        self.replace(entry, check, now);
    }

    fn adopt(&mut self, heard: PeerEntry, now: Duration) {
        let check = match heard.state {
            PeerState::Suspect => {
                Some(CheckPlan { at: now + self.settings.suspicion, style: ProbeStyle::Repeated })
            }
            _ => None,
        };
        self.urgent |= heard.state == PeerState::Leaving;
        for name in self.table.others_at(heard.address, &heard.name) {
            // The address has been taken over: whoever was there is asked at once.
            self.table.plan_check(&name, Some(CheckPlan { at: now, style: ProbeStyle::Single }));
        }
        self.replace(heard, check, now);
    }

    pub(super) fn replace(&mut self, entry: PeerEntry, check: Option<CheckPlan>, now: Duration) {
        self.news.add(&entry.name, self.table.records().len());
        self.table.put(PeerRecord { entry, check, gone_at: now });
        self.changed = true;
    }

    /// Guards against being removed while live: a claim against this instance is superseded by a
    /// greater incarnation, which nobody else may choose.
    fn refute(&mut self, heard: &PeerEntry) {
        if heard.supersedes(&self.me) {
            self.me.incarnation = heard.incarnation.next();
            self.announce_me();
        }
    }

    pub(super) fn announce_me(&mut self) {
        self.news.add(&self.me.name, self.table.records().len());
        self.changed = true;
        self.urgent = true;
    }

    pub(super) fn bury(&mut self, entry: PeerEntry, now: Duration) {
        log::info!(target: "rudder::membership", instance:% = entry.name; "gone");
        self.replace(PeerEntry { state: PeerState::Gone, ..entry }, None, now);
    }

    /// The sender listens at its address, so whoever was known there is gone.
    pub(super) fn bury_predecessors(&mut self, sender: &PeerEntry, now: Duration) {
        for name in self.table.others_at(sender.address, &sender.name) {
            if let Some(record) = self.table.get(&name) {
                let entry = record.entry.clone();
                self.bury(entry, now);
            }
        }
    }
}
