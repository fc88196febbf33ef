//! Merging of received entries into the membership.

use super::probe::ProbeStyle;
use super::state::Membership;
use super::table::{CheckPlan, PeerRecord};
use crate::member::{PeerEntry, PeerState};
use std::time::Duration;

impl Membership {
    /// Processes a received entry of an instance.
    pub(super) fn apply_entry(&mut self, received: PeerEntry, now: Duration) {
        if received.name == self.local_entry.name {
            self.refute(&received);
            return;
        }
        let known =
            self.table.get(&received.name).map(|record| (record.entry.clone(), record.check));
        match known {
            None if received.state == PeerState::Removed => {}
            None => {
                self.order.insert(received.name.clone(), &mut self.rng);
                self.urgent = true;
                self.store_entry(received, now);
            }
            Some((known, _)) if !received.supersedes(&known) => {}
            Some((known, check)) if received.state == PeerState::Removed => {
                self.verify_removal(known, check, &received, now);
            }
            Some(_) => self.store_entry(received, now),
        }
    }

    /// Handles a report that an instance was removed by a peer. The instance is probed once before
    /// it is removed here; if it is live, its acknowledgement carries a greater incarnation.
    /// Otherwise live instances would be removed on the report of a peer alone, which would happen
    /// to every instance of a region when a partition between two regions ends.
    fn verify_removal(
        &mut self,
        known: PeerEntry,
        check: Option<CheckPlan>,
        received: &PeerEntry,
        now: Duration,
    ) {
        if check.is_some_and(|plan| plan.style == ProbeStyle::Single)
            && received.incarnation == known.incarnation
        {
            return;
        }
        let state = known.state.max(PeerState::Suspect);
        let entry = PeerEntry { incarnation: received.incarnation, state, ..known };
        let check = Some(CheckPlan { at: now, style: ProbeStyle::Single });
        self.replace(entry, check, now);
    }

    fn store_entry(&mut self, received: PeerEntry, now: Duration) {
        let check = match received.state {
            PeerState::Suspect => {
                Some(CheckPlan { at: now + self.settings.suspicion, style: ProbeStyle::Repeated })
            }
            _ => None,
        };
        self.urgent |= received.state == PeerState::Leaving;
        for name in self.table.others_at(received.address, &received.name) {
            // Another instance now uses the address; the one known there before is probed at once.
            self.table.plan_check(&name, Some(CheckPlan { at: now, style: ProbeStyle::Single }));
        }
        self.replace(received, check, now);
    }

    pub(super) fn replace(&mut self, entry: PeerEntry, check: Option<CheckPlan>, now: Duration) {
        self.updates.add(&entry.name, self.table.records().len());
        self.table.put(PeerRecord { entry, check, removed_at: now });
        self.changed = true;
    }

    /// Refutes an entry that would have this instance removed while it is live: a greater
    /// incarnation, which no other instance may choose, supersedes that entry.
    fn refute(&mut self, received: &PeerEntry) {
        if received.supersedes(&self.local_entry) {
            self.local_entry.incarnation = received.incarnation.next();
            self.announce_local();
        }
    }

    pub(super) fn announce_local(&mut self) {
        self.updates.add(&self.local_entry.name, self.table.records().len());
        self.changed = true;
        self.urgent = true;
    }

    pub(super) fn mark_removed(&mut self, entry: PeerEntry, now: Duration) {
        log::info!(target: "rudder::membership", instance:% = entry.name; "gone");
        self.replace(PeerEntry { state: PeerState::Removed, ..entry }, None, now);
    }

    /// Removes other instances known at the address of the sender: the sender listens there, so
    /// they no longer run.
    pub(super) fn remove_predecessors(&mut self, sender: &PeerEntry, now: Duration) {
        for name in self.table.others_at(sender.address, &sender.name) {
            if let Some(record) = self.table.get(&name) {
                let entry = record.entry.clone();
                self.mark_removed(entry, now);
            }
        }
    }
}
