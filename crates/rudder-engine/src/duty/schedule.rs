//! To whom a heartbeat is due.
//!
//! Load pattern: a whole fleet starts within a third of a second. An instance that heartbeats on
//! its regular turn only is first heard up to a second after it learnt of its neighbours; until
//! then each takes itself for the one that reads the store, so that all of them do.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The turns of heartbeats to one group of receivers.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatSchedule {
    /// When all were told last.
    sent_at: Option<Instant>,
    /// Who has been told since they were receivers, sorted.
    known_receivers: Vec<SocketAddr>,
}

impl HeartbeatSchedule {
    /// Those of `receivers`, which are sorted, who are to be told now: all of them if there is news
    /// or their turn has come, else those who are new.
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
