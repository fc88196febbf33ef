//! News of members that still ride along on datagrams.

use rudder_core::InstanceName;

/// Transmissions of a piece of news beyond the logarithm of the fleet's size.
const SENDS_BASE: u32 = 3;

#[derive(Debug)]
struct UpdateRecord {
    name: InstanceName,
    sends_left: u32,
}

/// The instances whose entries have changed lately, the least told first.
///
/// Only names are kept; the entry is looked up when it is sent, so that what is sent is never older
/// than what is held.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    records: Vec<UpdateRecord>,
}

impl UpdateQueue {
    /// Queues the news of `name` for as many transmissions as a fleet of `peers` needs.
    pub(crate) fn add(&mut self, name: &InstanceName, peers: usize) {
        self.records.retain(|record| record.name != *name);
        let sends_left = sends_for(peers);
        self.records.push(UpdateRecord { name: name.clone(), sends_left });
    }

    /// The names that should ride on the next datagram, the least told first.
    pub(crate) fn next(&self, count_max: usize) -> Vec<InstanceName> {
        let mut pending: Vec<&UpdateRecord> = self.records.iter().collect();
        pending.sort_by_key(|record| std::cmp::Reverse(record.sends_left));
        pending.iter().take(count_max).map(|record| record.name.clone()).collect()
    }

    /// Counts the news of `name` as told once more.
    pub(crate) fn record_sent(&mut self, name: &InstanceName) {
        if let Some(record) = self.records.iter_mut().find(|record| record.name == *name) {
            record.sends_left = record.sends_left.saturating_sub(1);
        }
        self.records.retain(|record| record.sends_left > 0);
    }
}

/// How often a piece of news is told so that it reaches every one of `peers` instances with high
/// probability.
pub(crate) fn sends_for(peers: usize) -> u32 {
    SENDS_BASE + (peers + 1).next_power_of_two().trailing_zeros()
}
