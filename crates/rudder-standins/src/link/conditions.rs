//! Delay, jitter, loss and faults of a link, shared by its handle and its tasks.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Direction of traffic through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the connecting side to the target.
    Forward,
    /// From the target to the connecting side.
    Backward,
}

/// Fault of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Traffic is forwarded with the configured delay.
    #[default]
    None,
    /// Traffic is dropped silently. A connection that lost bytes stays silent permanently, even
    /// after the link is healed; new connections work then.
    Drop,
    /// Traffic is held until the link is healed, as if every packet were retransmitted.
    Hold,
}

rudder_core::plain_data! {
    /// Settings of a link to one target.
    pub struct LinkSettings {
        /// Listen address; port 0 selects a free port.
        pub listen: SocketAddr,
        /// Address to which traffic is forwarded.
        pub target: SocketAddr,
        /// One-way delay.
        pub delay: Duration,
        /// Maximum random addition to the delay, drawn for each chunk or datagram.
        pub jitter: Duration,
        /// Share of datagrams that are lost, in percent. Streams lose bytes only by a fault.
        pub loss_percent: u32,
        /// Random seed of jitter and loss.
        pub seed: u64,
    }
}

impl LinkSettings {
    /// Returns the settings of a link from a free loopback port to `target` without delay.
    ///
    /// ```
    /// use rudder_standins::LinkSettings;
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// assert!(settings.delay.is_zero());
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn loopback(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target,
            delay: Duration::ZERO,
            jitter: Duration::ZERO,
            loss_percent: 0,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct LinkTiming {
    delay: Duration,
    jitter: Duration,
    loss_percent: u32,
    generator: StdRng,
}

/// Current conditions of a link.
#[derive(Debug)]
pub(crate) struct LinkConditions {
    timing: Mutex<LinkTiming>,
    forward: watch::Sender<LinkFault>,
    backward: watch::Sender<LinkFault>,
    dropped_count: AtomicU64,
}

impl LinkConditions {
    pub(crate) fn new(settings: &LinkSettings) -> Self {
        Self {
            timing: Mutex::new(LinkTiming {
                delay: settings.delay,
                jitter: settings.jitter,
                loss_percent: settings.loss_percent,
                generator: StdRng::seed_from_u64(settings.seed),
            }),
            forward: watch::Sender::default(),
            backward: watch::Sender::default(),
            dropped_count: AtomicU64::new(0),
        }
    }

    /// Counts a dropped datagram, or a stream direction that lost bytes.
    pub(crate) fn count_dropped(&self) {
        self.dropped_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns the number of dropped datagrams, or of stream directions that lost bytes.
    pub(crate) fn dropped_count(&self) -> u64 {
        self.dropped_count.load(Ordering::Acquire)
    }

    fn timing(&self) -> MutexGuard<'_, LinkTiming> {
        self.timing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time at which traffic received now is forwarded.
    pub(crate) fn due_time(&self) -> Instant {
        let mut timing = self.timing();
        let factor: f64 = timing.generator.random();
        Instant::now() + timing.delay + timing.jitter.mul_f64(factor)
    }

    /// Draws whether the next datagram is lost.
    pub(crate) fn draws_loss(&self) -> bool {
        const PERCENT_MAX: u32 = 100;
        let mut timing = self.timing();
        timing.loss_percent > 0
            && timing.generator.random_range(0..PERCENT_MAX) < timing.loss_percent
    }

    pub(crate) fn set_delay(&self, delay: Duration, jitter: Duration) {
        let mut timing = self.timing();
        timing.delay = delay;
        timing.jitter = jitter;
    }

    pub(crate) fn set_loss(&self, percent: u32) {
        self.timing().loss_percent = percent;
    }

    fn sender(&self, direction: LinkDirection) -> &watch::Sender<LinkFault> {
        match direction {
            LinkDirection::Forward => &self.forward,
            LinkDirection::Backward => &self.backward,
        }
    }

    /// Returns the current fault of a direction.
    pub(crate) fn fault(&self, direction: LinkDirection) -> LinkFault {
        *self.sender(direction).borrow()
    }

    pub(crate) fn set_fault(&self, direction: LinkDirection, fault: LinkFault) {
        self.sender(direction).send_replace(fault);
    }

    /// Waits until traffic of a direction is no longer held and returns the fault that applies to
    /// it then.
    pub(crate) async fn wait_until_released(&self, direction: LinkDirection) -> LinkFault {
        let mut faults = self.sender(direction).subscribe();
        // The sender cannot be dropped before `self`, so only a change ends the wait.
        let fault = faults.wait_for(|fault| *fault != LinkFault::Hold).await;
        fault.map_or(LinkFault::Drop, |fault| *fault)
    }

    /// Waits until a direction has no fault.
    pub(crate) async fn wait_until_healed(&self, direction: LinkDirection) {
        let mut faults = self.sender(direction).subscribe();
        let _ = faults.wait_for(|fault| *fault == LinkFault::None).await;
    }
}
