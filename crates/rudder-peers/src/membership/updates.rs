//! Membership updates that are still to be piggybacked on datagrams.

use rudder_core::InstanceName;

/// Number of times an update is sent in addition to the logarithm of the number of instances.
const SENDS_BASE: u32 = 3;

#[derive(Debug)]
struct UpdateRecord {
    name: InstanceName,
    sends_left: u32,
}

/// Instances whose entries have changed recently, the least often sent first.
///
/// Only names are stored; the entry is looked up when it is sent, so that the sent entry is never
/// older than the known one.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    records: Vec<UpdateRecord>,
}

impl UpdateQueue {
    /// Queues the update of `name` for as many transmissions as `peers` instances need.
    pub(crate) fn add(&mut self, name: &InstanceName, peers: usize) {
        self.records.retain(|record| record.name != *name);
        let sends_left = sends_for(peers);
        self.records.push(UpdateRecord { name: name.clone(), sends_left });
    }

    /// Returns the names to piggyback on the next datagram, the least often sent first.
    pub(crate) fn next(&self, count_max: usize) -> Vec<InstanceName> {
        let mut pending: Vec<&UpdateRecord> = self.records.iter().collect();
        pending.sort_by_key(|record| std::cmp::Reverse(record.sends_left));
        pending.iter().take(count_max).map(|record| record.name.clone()).collect()
    }

    /// Records that the update of `name` has been sent once more.
    pub(crate) fn record_sent(&mut self, name: &InstanceName) {
        if let Some(record) = self.records.iter_mut().find(|record| record.name == *name) {
            record.sends_left = record.sends_left.saturating_sub(1);
        }
        self.records.retain(|record| record.sends_left > 0);
    }
}

/// Returns the number of times to send an update so that it reaches every one of `peers` instances
/// with high probability.
pub(crate) fn sends_for(peers: usize) -> u32 {
    SENDS_BASE + (peers + 1).next_power_of_two().trailing_zeros()
}
