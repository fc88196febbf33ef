//! Forwarded work in progress at this instance.

use super::wire::DeclineReason;
use crate::engine::ProxyEngine;
use crate::statement::{StatementError, StatementReply};
use crate::sync::lock;
use rudder_core::ServiceName;
use rudder_decisions::ForwardedLoad;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of forwarded requests and transactions in progress. Members have a few dozen
/// connections in total, so more of them could only wait.
const IN_PROGRESS_MAX: u32 = 256;

/// Maximum total size of forwarded requests in progress; bounds the memory at an instance with
/// 160 MB.
const IN_PROGRESS_BYTES_MAX: usize = 16 << 20;

/// Forwarded work in progress at this instance.
#[derive(Default)]
pub(crate) struct ForwardedWork {
    state: Mutex<WorkState>,
}

#[derive(Default)]
struct WorkState {
    /// Load by service and by whether only the primary serves it; sorted.
    lanes: Vec<((ServiceName, bool), ForwardedLoad)>,
    count: u32,
    bytes: usize,
}

impl WorkState {
    fn lane(&mut self, key: (ServiceName, bool)) -> &mut ForwardedLoad {
        let index = match self.lanes.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(index) => index,
            Err(index) => {
                self.lanes.insert(index, (key, ForwardedLoad::default()));
                index
            }
        };
        &mut self.lanes[index].1
    }
}

impl ForwardedWork {
    /// Whether nothing is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.state).count == 0
    }
}

/// A forwarded request in progress; ends when dropped.
pub(super) struct WorkGuard {
    engine: Arc<ProxyEngine>,
    lane: (ServiceName, bool),
    connections: u32,
    bytes: usize,
    served: bool,
}

impl WorkGuard {
    /// Records whether the request was served or waited in vain.
    pub(super) fn record_reply(&mut self, reply: &StatementReply) {
        self.served = reply.error() != Some(&StatementError::Busy);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.engine.forwarding().work().state);
        state.count = state.count.saturating_sub(1);
        state.bytes = state.bytes.saturating_sub(self.bytes);
        state.lane(self.lane.clone()).end(self.connections, self.served, Instant::now());
    }
}

impl ProxyEngine {
    /// Admits a forwarded request, unless it would wait longer for a connection than it may, or too
    /// much is in progress.
    pub(super) fn admit_forwarded(
        self: &Arc<Self>,
        service: &ServiceName,
        strict: bool,
        wait: Duration,
        bytes: usize,
    ) -> Result<WorkGuard, DeclineReason> {
        let connections = self.usable_connections(service, strict);
        let lane = (service.clone(), strict);
        let mut state = lock(&self.forwarding().work().state);
        let full = state.count >= IN_PROGRESS_MAX || state.bytes + bytes > IN_PROGRESS_BYTES_MAX;
        if full || !state.lane(lane.clone()).try_begin(connections, wait) {
            return Err(DeclineReason::Overloaded);
        }
        state.count += 1;
        state.bytes += bytes;
        Ok(WorkGuard { engine: Arc::clone(self), lane, connections, bytes, served: true })
    }

    /// Number of connections that this instance may hold to the members that can serve a request.
    fn usable_connections(&self, service: &ServiceName, strict: bool) -> u32 {
        let group = self.group(service);
        let connections = match self.serving_primary(&group) {
            Some((primary, _)) if strict => primary.pool().max_connections(),
            _ => group.members().iter().map(|member| member.pool().max_connections()).sum(),
        };
        connections.max(1)
    }
}
