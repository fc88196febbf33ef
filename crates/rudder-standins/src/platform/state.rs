//! State shared by the request handlers of the platform stand-in.

use super::faults::{CallCounts, PlatformFaults, PlatformOutage};
use super::instances::{InstanceList, StandinInstance};
use super::listener::WireCounters;
use super::objects::ObjectTable;
use serde_json::Value;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Maximum number of changes by which reads can lag.
const HISTORY_MAX: usize = 64;

/// Objects, instances, faults and counters, protected by one lock.
pub(crate) struct StandinState {
    inner: Mutex<StandinInner>,
    outage: watch::Sender<PlatformOutage>,
    counters: Arc<WireCounters>,
}

#[derive(Default)]
struct StandinInner {
    table: ObjectTable,
    /// Latest changes, oldest first, for stale reads.
    history: Vec<PastChange>,
    instances: InstanceList,
    faults: PlatformFaults,
    calls: CallCounts,
}

/// Kind of the changed object and the table before the change.
struct PastChange {
    plural: String,
    before: ObjectTable,
}

impl StandinState {
    pub(crate) fn new(outage: watch::Sender<PlatformOutage>, counters: Arc<WireCounters>) -> Self {
        Self { inner: Mutex::default(), outage, counters }
    }

    /// Reads objects of a kind, lagging by the configured number of changes of that kind.
    pub(crate) fn read<T>(&self, plural: &str, view: impl FnOnce(&ObjectTable) -> T) -> T {
        let inner = self.lock();
        let changes = inner.history.iter().rev().filter(|change| change.plural == plural);
        let stale = changes.take(inner.faults.stale_by).last();
        view(stale.map_or(&inner.table, |change| &change.before))
    }

    pub(crate) fn change<T>(&self, plural: &str, change: impl FnOnce(&mut ObjectTable) -> T) -> T {
        let mut inner = self.lock();
        let before = inner.table.clone();
        let result = change(&mut inner.table);
        if inner.table.last_version() > before.last_version() {
            inner.history.push(PastChange { plural: plural.to_owned(), before });
            let excess = inner.history.len().saturating_sub(HISTORY_MAX);
            inner.history.drain(..excess);
        }
        result
    }

    pub(crate) fn endpoint_slices(&self, service: &str) -> Value {
        self.lock().instances.endpoint_slices(service, Instant::now())
    }

    pub(crate) fn set_instances(&self, entries: Vec<StandinInstance>, lag: Duration) {
        self.lock().instances.set(entries, Instant::now(), lag);
    }

    pub(crate) fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        let outage = faults.outage;
        self.lock().faults = faults;
        self.outage.send_replace(outage);
    }

    /// Returns whether the response to a completed change is lost, and decrements the number left.
    pub(crate) fn take_lost_response(&self) -> bool {
        take_one(&mut self.lock().faults.lost_answers)
    }

    /// Returns whether the response to a completed change is a gateway timeout, and decrements the
    /// number left.
    pub(crate) fn take_gateway_timeout(&self) -> bool {
        take_one(&mut self.lock().faults.gateway_timeouts)
    }

    pub(crate) fn count(&self, writes: bool) {
        let calls = &mut self.lock().calls;
        if writes {
            calls.writes += 1;
        } else {
            calls.reads += 1;
        }
    }

    pub(crate) fn calls(&self) -> CallCounts {
        CallCounts {
            received_bytes: self.counters.received.load(Ordering::Relaxed),
            sent_bytes: self.counters.sent.load(Ordering::Relaxed),
            ..self.lock().calls
        }
    }

    fn lock(&self) -> MutexGuard<'_, StandinInner> {
        // A handler that panics leaves only complete rows, so a poisoned lock can be used.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_one(left: &mut u32) -> bool {
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}
