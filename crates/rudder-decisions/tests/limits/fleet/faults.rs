//! Faults of the simulated fleet: stops, suspensions, cut links and outages of the store.

use super::queueing::NUMBERS_PER_PROCESS;
use super::{DOUBT_DURATION, SKIP_DURATION, SimFleet};
use rand::RngExt;
use rudder_decisions::{ExpiringSet, GrantLog, LimitLedger, LimitQueues, OwnerWatch};
use std::time::Duration;

impl SimFleet {
    pub(crate) fn stop(&mut self, index: usize) {
        self.instances[index].running = false;
    }

    /// Starts an instance with empty state; its unfinished operations are dropped.
    pub(crate) fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.running = true;
        instance.last_contact_at = None;
        instance.contact_lost_at = None;
        instance.started_at = self.now;
        instance.connected_at.fill(None);
        instance.ledger = LimitLedger::default();
        instance.queues = LimitQueues::new(self.processes * NUMBERS_PER_PROCESS);
        self.processes += 1;
        instance.watch = OwnerWatch::default();
        instance.unresponsive = ExpiringSet::new(SKIP_DURATION);
        instance.doubtful = ExpiringSet::new(DOUBT_DURATION);
        instance.grants = GrantLog::default();
        for operation in &mut self.operations {
            operation.finished |= operation.instance == index;
        }
    }

    pub(crate) fn suspend(&mut self, index: usize, duration: Duration) {
        self.instances[index].suspended_until = self.now + duration;
    }

    /// Moves an instance to a network partition.
    pub(crate) fn set_partition(&mut self, index: usize, partition: usize) {
        self.instances[index].partition = partition;
    }

    /// Cuts the link between two instances in both directions.
    pub(crate) fn cut_link(&mut self, one: usize, other: usize) {
        self.cut_links.push((one.min(other), one.max(other)));
    }

    /// Restores all links that were cut.
    pub(crate) fn restore_links(&mut self) {
        self.cut_links.clear();
    }

    /// Sets whether the store serves an instance.
    pub(crate) fn set_store_serves(&mut self, index: usize, store_serves: bool) {
        self.instances[index].store_serves = store_serves;
    }

    /// Sets whether all instances are without contact with the store.
    pub(crate) fn set_store_unreachable(&mut self, store_unreachable: bool) {
        self.store_unreachable = store_unreachable;
    }

    /// Makes contact with the store suffice for an owner, without a majority of the instances.
    pub(crate) fn set_store_suffices(&mut self) {
        self.store_suffices = true;
    }

    pub(crate) fn random_instance(&mut self) -> usize {
        self.random_index(self.instances.len())
    }

    pub(crate) fn random_index(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    pub(crate) fn random_bool(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    pub(crate) fn random_duration(&mut self, range_ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range_ms))
    }

    pub(crate) fn instance_count(&self) -> usize {
        self.instances.len()
    }
}
