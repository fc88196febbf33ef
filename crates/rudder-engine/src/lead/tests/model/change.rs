//! Changes of primary in the model.

use super::super::message::Message;
use super::super::{changing, ms, settled};
use super::{DisabledCheck, INSTANCES, Model};
use crate::lead::{StopProgress, is_quorum};
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;

/// Time for which an intent permits its writer to promote, as in the driver.
const HOLD_TIME: Duration = Duration::from_millis(2600);

/// Change that an instance carries out.
#[derive(Clone)]
pub(super) struct Change {
    pub(super) epoch: u64,
    written_by: Duration,
    /// Whether the instance list was read after the intent was written.
    listed: bool,
    /// Instances that the change waits for, including its own.
    entries: Vec<usize>,
    pub(super) stopped: Vec<usize>,
    quorum_since: Option<Duration>,
}

impl Model {
    pub(super) fn begin_change(&mut self, index: usize, rng: &mut StdRng) {
        let known = self.instances[index].leases.epoch();
        let busy = self.instances[index].change.is_some();
        // Condition of the write: the record has not changed since it was read.
        if busy || known != self.record.epoch || known.0 == 0 || self.is_cut_off_from_store(index) {
            return;
        }
        let epoch = known.0 + 1;
        self.record = changing(epoch, &format!("i{index}"), "p1");
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
        instance.change =
            Some(Change { epoch, written_by, listed, entries, stopped, quorum_since });
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
        let over =
            progress.is_over(self.now) || self.disabled_check == DisabledCheck::WaitForExpiry;
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
        self.instances[index].change = None;
        if self.record.epoch.0 != change.epoch || self.is_cut_off_from_store(index) {
            return Ok(());
        }
        if change.epoch <= self.promoted {
            return Err(format!("epoch {} promoted after {}", change.epoch, self.promoted));
        }
        self.promoted = change.epoch;
        self.promotions += 1;
        self.record = settled(change.epoch + 1, "p2", change.epoch, None);
        Ok(())
    }
}
