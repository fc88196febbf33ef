//! What a link does to the traffic that passes it, and the knobs that change it.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// A way through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the side that connects to the target.
    Forward,
    /// From the target to the side that connects.
    Backward,
}

/// What a link does with traffic of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Traffic passes, delayed as set.
    #[default]
    None,
    /// Traffic is dropped without a word. A connection that lost bytes stays silent for good,
    /// also after the link is healed; new connections work then.
    Swallow,
    /// Traffic waits until the link is healed, as if every packet were sent again and again.
    Hold,
}

rudder_core::plain_data! {
    /// A link to one target.
    pub struct LinkSettings {
        /// Where the link listens; port 0 takes a free one.
        pub listen: SocketAddr,
        /// Where traffic is forwarded to.
        pub target: SocketAddr,
        /// Delay of one way.
        pub delay: Duration,
        /// Greatest addition to the delay, drawn anew for each chunk or datagram.
        pub jitter: Duration,
        /// Share of datagrams that are lost, in percent. Streams lose nothing but by a fault.
        pub loss_percent: u32,
        /// Seed of jitter and loss.
        pub seed: u64,
    }
}

impl LinkSettings {
    /// A link from a free loopback port to `target`, without delay.
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

/// The present conditions of a link, shared by its handle and its tasks.
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

    /// Counts a chunk or datagram that a fault swallowed.
    pub(crate) fn count_dropped(&self) {
        self.dropped_count.fetch_add(1, Ordering::AcqRel);
    }

    /// How many chunks or datagrams faults swallowed.
    pub(crate) fn dropped_count(&self) -> u64 {
        self.dropped_count.load(Ordering::Acquire)
    }

    fn timing(&self) -> MutexGuard<'_, LinkTiming> {
        self.timing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When traffic that enters now comes out.
    pub(crate) fn due_time(&self) -> Instant {
        let mut timing = self.timing();
        let factor: f64 = timing.generator.random();
        Instant::now() + timing.delay + timing.jitter.mul_f64(factor)
    }

    /// Whether the next datagram is lost.
    pub(crate) fn draws_loss(&self) -> bool {
        /// Loss is given in percent.
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

    /// The fault of a direction at present.
    pub(crate) fn fault(&self, direction: LinkDirection) -> LinkFault {
        *self.sender(direction).borrow()
    }

    pub(crate) fn set_fault(&self, direction: LinkDirection, fault: LinkFault) {
        self.sender(direction).send_replace(fault);
    }

    /// Waits until traffic of a direction is no longer held, and tells what happens to it then.
    pub(crate) async fn wait_until_released(&self, direction: LinkDirection) -> LinkFault {
        let mut faults = self.sender(direction).subscribe();
        // The sender lives as long as `self`, so the wait ends by a change only.
        let fault = faults.wait_for(|fault| *fault != LinkFault::Hold).await;
        fault.map_or(LinkFault::Swallow, |fault| *fault)
    }

    /// Waits until a direction carries traffic.
    pub(crate) async fn wait_until_healed(&self, direction: LinkDirection) {
        let mut faults = self.sender(direction).subscribe();
        let _ = faults.wait_for(|fault| *fault == LinkFault::None).await;
    }
}
