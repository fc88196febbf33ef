//! Changes of primary in the model.

use super::super::message::Message;
use super::super::{ms, ordering, settled};
use super::{DisabledCheck, INSTANCES, Model};
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch, MemberOrder, StopProgress, is_quorum};
use rand::RngExt;
use rand::rngs::StdRng;
use rudder_core::MemberName;
use std::time::Duration;

/// Time for which an intent permits its writer to promote, as in the driver.
const HOLD_TIME: Duration = Duration::from_millis(2600);

/// One in so many attempts takes over a change whose instance has not ended.
const EARLY_TAKEOVER_ODDS: u32 = 20;

/// Change that an instance carries out.
#[derive(Clone)]
pub(super) struct Change {
    pub(super) epoch: u64,
    previous: Option<MemberName>,
    written_by: Duration,
    /// Whether the instance list was read after the intent was written.
    listed: bool,
    /// Instances that the change waits for, including its own.
    entries: Vec<usize>,
    pub(super) stopped: Vec<usize>,
    quorum_since: Option<Duration>,
    /// Member whose promotion the present version of the record orders.
    ordered: Option<MemberName>,
}

impl Model {
    pub(super) fn begin_change(&mut self, index: usize, rng: &mut StdRng) {
        let known = self.instances[index].leases.epoch();
        let busy = self.instances[index].change.is_some();
        // Condition of the write: the record has not changed since it was read.
        if busy || known != self.record.epoch || known.0 == 0 || self.is_cut_off_from_store(index) {
            return;
        }
        // Most changes that another instance still carries out are left to it.
        let mut carried_out = self.instances.iter().flat_map(|instance| &instance.change);
        let is_carried_out = carried_out.any(|change| change.epoch == known.0);
        if is_carried_out && rng.random_range(0..EARLY_TAKEOVER_ODDS) > 0 {
            return;
        }
        let epoch = known.0 + 1;
        let previous = match &self.record.phase {
            LeadPhase::Settled { primary, .. } => Some(primary.clone()),
            LeadPhase::Changing { previous, .. } => previous.clone(),
        };
        let orders = self.instances[index].leases.pending_orders(self.now);
        self.record = ordering(epoch, &format!("i{index}"), previous.clone(), orders);
        let now = self.now;
        let written_by = now + ms(rng.random_range(1..50));
        let listed = rng.random_range(0..5) > 0;
        let is_listed = |other: &usize| !listed || self.listed[*other] || *other == index;
        let entries = (0..INSTANCES).filter(is_listed).collect();
        let instance = &mut self.instances[index];
        instance.leases.observe(&self.record, now, now);
        instance.leases.stop(true);
        let stopped = vec![index];
        let quorum_since = None;
        let ordered = None;
        instance.change = Some(Change {
            epoch,
            previous,
            written_by,
            listed,
            entries,
            stopped,
            quorum_since,
            ordered,
        });
    }

    pub(super) fn advance_change(&mut self, index: usize, rng: &mut StdRng) -> Result<(), String> {
        let now = self.now;
        let changing_since = self.instances[index].leases.changing_since();
        if self.instances[index].change.as_ref().is_some_and(|c| now >= c.written_by + HOLD_TIME) {
            self.instances[index].change = None;
        }
        let Some(change) = self.instances[index].change.as_mut() else { return Ok(()) };
        let has_not_stopped = |other: &&usize| !change.stopped.contains(*other);
        let unconfirmed: Vec<usize> =
            change.entries.iter().filter(has_not_stopped).copied().collect();
        let has_quorum = is_quorum(change.entries.len() - unconfirmed.len(), change.entries.len());
        if has_quorum && change.listed {
            change.quorum_since.get_or_insert(now);
        }
        let change = change.clone();
        let progress = StopProgress {
            written_by: change.written_by,
            changing_since: changing_since.unwrap_or(now),
            listed: change.listed,
            unconfirmed: unconfirmed.len(),
            quorum_since: change.quorum_since,
        };
        let over = change.ordered.is_some()
            || progress.is_over(self.now)
            || self.disabled_check == DisabledCheck::WaitForExpiry;
        if !over || self.now < change.written_by {
            let record = self.record.clone();
            if record.epoch.0 == change.epoch {
                for to in unconfirmed {
                    let record = record.clone();
                    self.send(index, Message::Announce { to, from: index, record }, rng);
                }
            }
            return Ok(());
        }
        if self.record.epoch.0 != change.epoch || self.is_cut_off_from_store(index) {
            return Ok(());
        }
        if self.settle(index, &change) {
            return Ok(());
        }
        match change.ordered.clone() {
            Some(ordered) if rng.random_range(0..3) > 0 => {
                self.send_order(&ordered, rng);
                Ok(())
            }
            _ => self.order(index, change, rng),
        }
    }

    /// Writes an order into the record and sends it.
    fn order(&mut self, index: usize, mut change: Change, rng: &mut StdRng) -> Result<(), String> {
        let now = self.now;
        let mut orders = self.instances[index].leases.pending_orders(now);
        let responding = self.responding_member(rng);
        let candidate = match orders.first() {
            Some(order) if rng.random_range(0..2) == 0 => order.member.clone(),
            _ => responding,
        };
        change.epoch += 1;
        if change.epoch <= self.promoted {
            return Err(format!("epoch {} promoted after {}", change.epoch, self.promoted));
        }
        orders.retain(|order| order.member != candidate);
        orders.push(MemberOrder { member: candidate.clone(), epoch: LeaderEpoch(change.epoch) });
        orders.sort_by(|left, right| left.member.cmp(&right.member));
        let holder = format!("i{index}");
        self.record = ordering(change.epoch, &holder, change.previous.clone(), orders);
        self.promoted = change.epoch;
        change.ordered = Some(candidate.clone());
        change.written_by = now;
        let instance = &mut self.instances[index];
        instance.leases.observe(&self.record, now, now);
        instance.change = Some(change);
        self.send_order(&candidate, rng);
        Ok(())
    }

    /// Names the present leader as the primary, if the change may. Returns whether it has.
    fn settle(&mut self, index: usize, change: &Change) -> bool {
        let leader = self.leader.clone();
        let takes_over =
            change.previous.as_ref() != Some(&leader) || change.ordered.as_ref() == Some(&leader);
        let may_settle = self.disabled_check == DisabledCheck::PendingOrders
            || self.instances[index].leases.may_settle_on(&leader, self.now);
        if !takes_over || !may_settle {
            return false;
        }
        self.instances[index].change = None;
        self.promotions += 1;
        let orders = match self.disabled_check {
            DisabledCheck::SettledOrders => Vec::new(),
            _ => self.instances[index].leases.pending_orders(self.now),
        };
        let settled = settled(change.epoch + 1, leader.as_str(), change.epoch, None);
        self.record = LeadRecord { orders, ..settled };
        true
    }
}
