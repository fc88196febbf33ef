//! Detects that this process did not run for a while.
//!
//! Requests that arrived meanwhile wait in receive buffers, and their remaining times count from
//! when they are read. Their origins have given them up: a write among them would run long after
//! its caller was told that its outcome is unknown, and possibly sent it again.

use crate::sync::lock;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Interval at which the process notes that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a tick after which requests may have been given up. Origins wait for 600 ms, so
/// those that waited for less are still wanted.
const GAP_MIN: Duration = Duration::from_millis(400);

/// Time after a gap during which requests may be from before its end.
const DRAIN_TIME: Duration = Duration::from_millis(200);

/// Watch for suspensions of this process.
#[derive(Default)]
pub(super) struct SuspensionWatch {
    ticks: OnceLock<Arc<Mutex<TickTimes>>>,
}

struct TickTimes {
    ticked_at: Instant,
    resumed_at: Option<Instant>,
}

impl TickTimes {
    fn tick(&mut self, now: Instant) {
        if now > self.ticked_at + GAP_MIN {
            self.resumed_at = Some(now);
            log::warn!(
                gap_ms = (now - self.ticked_at).as_millis(), reason = "suspended";
                "this process did not run; forwarded requests from that time are declined"
            );
        }
        self.ticked_at = now;
    }

    fn may_have_waited(&self, now: Instant) -> bool {
        let resumed = self.resumed_at.is_some_and(|at| now < at + DRAIN_TIME);
        resumed || now > self.ticked_at + GAP_MIN
    }
}

impl SuspensionWatch {
    /// Starts the watch with the first origin that connects.
    pub(super) fn start(&self) {
        self.ticks.get_or_init(|| {
            let times = TickTimes { ticked_at: Instant::now(), resumed_at: None };
            let times = Arc::new(Mutex::new(times));
            let known = Arc::downgrade(&times);
            tokio::spawn(async move {
                while let Some(times) = known.upgrade() {
                    lock(&times).tick(Instant::now());
                    drop(times);
                    tokio::time::sleep(TICK_INTERVAL).await;
                }
            });
            times
        });
    }

    /// Whether a request that is read now may have waited since before a suspension.
    pub(super) fn may_have_waited(&self, now: Instant) -> bool {
        self.ticks.get().is_some_and(|times| lock(times).may_have_waited(now))
    }
}
