//! Execution slots of a member, and the service times for which statements occupy them.

use super::knob::ServiceDistribution;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::MemberSpeed;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Maximum timer overshoot that is deducted from later service times. Timers fire up to 1 or 2 ms
/// late, and the deduction keeps the mean exact; a larger delay is a stall and is not compensated.
const OVERSHOOT_MAX: Duration = Duration::from_millis(20);

/// Mean and distribution of service times, and the speed by which they are divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimes {
    pub(crate) mean: Duration,
    pub(crate) distribution: ServiceDistribution,
    pub(crate) speed: MemberSpeed,
}

/// Slots and service times of one member.
#[derive(Debug)]
pub(crate) struct SlotPool {
    semaphore: Mutex<Arc<Semaphore>>,
    times: Mutex<(ServiceTimes, StdRng)>,
    overshoot_nanos: AtomicI64,
}

impl SlotPool {
    /// Creates a pool of `slots` slots.
    pub(crate) fn new(slots: usize, times: ServiceTimes, seed: u64) -> Self {
        Self {
            semaphore: Mutex::new(Arc::new(Semaphore::new(slots))),
            times: Mutex::new((times, StdRng::seed_from_u64(seed))),
            overshoot_nanos: AtomicI64::new(0),
        }
    }

    /// Changes the number of slots for statements received from now on.
    pub(crate) fn resize(&self, slots: usize) {
        *lock(&self.semaphore) = Arc::new(Semaphore::new(slots));
    }

    /// Changes the service times.
    pub(crate) fn update_times(&self, change: impl FnOnce(&mut ServiceTimes)) {
        change(&mut lock(&self.times).0);
    }

    /// Returns a slot if one is free.
    pub(crate) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        let semaphore = Arc::clone(&lock(&self.semaphore));
        semaphore.try_acquire_owned().ok()
    }

    /// Waits for a slot, in FIFO order.
    pub(crate) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        let semaphore = Arc::clone(&lock(&self.semaphore));
        semaphore.acquire_owned().await.ok()
    }

    /// Draws the time for which the next statement occupies its slot.
    pub(crate) fn next_service_time(&self) -> Duration {
        /// Speed of the reference member, in percent.
        const FULL_SPEED: f64 = 100.0;
        let mut guard = lock(&self.times);
        let (times, generator) = &mut *guard;
        if times.mean.is_zero() {
            return Duration::ZERO;
        }
        let scale = FULL_SPEED / f64::from(times.speed.0.max(1));
        let factor = match times.distribution {
            ServiceDistribution::Fixed => 1.0,
            ServiceDistribution::Exponential => -(1.0 - generator.random::<f64>()).ln(),
        };
        times.mean.mul_f64(scale * factor)
    }

    /// Waits for a service time, less the overshoot of earlier waits, so that the mean is exact.
    pub(crate) async fn wait_service_time(&self, time: Duration) {
        let service_nanos = i64::try_from(time.as_nanos()).unwrap_or(i64::MAX);
        let overshoot = self.overshoot_nanos.swap(0, Ordering::Relaxed);
        let remaining = service_nanos - overshoot;
        let Ok(nanos) = u64::try_from(remaining) else {
            self.overshoot_nanos.fetch_add(-remaining, Ordering::Relaxed);
            return;
        };
        let start = Instant::now();
        tokio::time::sleep(Duration::from_nanos(nanos)).await;
        let late = start.elapsed().saturating_sub(Duration::from_nanos(nanos)).min(OVERSHOOT_MAX);
        let late = i64::try_from(late.as_nanos()).unwrap_or(0);
        self.overshoot_nanos.fetch_add(late, Ordering::Relaxed);
    }
}

/// Locks a mutex and ignores poisoning: changes under these locks either complete or do not begin,
/// so the data is valid even if another holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
