//! Schedule of heartbeats to a group of receivers.
//!
//! Load pattern: a whole fleet starts within a third of a second. If instances sent heartbeats at
//! regular intervals only, the first one would arrive up to a second after its sender has found the
//! other instances. Until then each instance takes itself for the one that reads the store, and all
//! of them read it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Heartbeats sent to one group of receivers.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatSchedule {
    /// Time of the last heartbeat to all receivers.
    sent_at: Option<Instant>,
    /// Receivers that have been sent a heartbeat since they joined the group, sorted.
    known_receivers: Vec<SocketAddr>,
}

impl HeartbeatSchedule {
    /// Returns the receivers to send a heartbeat to now: all if the heartbeat has changed or the
    /// interval has elapsed, otherwise the new ones. `receivers` must be sorted.
    pub(super) fn due(
        &mut self,
        receivers: Vec<SocketAddr>,
        has_changed: bool,
        interval: Duration,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let interval_elapsed =
            self.sent_at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        let mut due = receivers.clone();
        if has_changed || interval_elapsed {
            self.sent_at = Some(now);
        } else {
            due.retain(|receiver| self.known_receivers.binary_search(receiver).is_err());
        }
        self.known_receivers = receivers;
        due
    }
}
