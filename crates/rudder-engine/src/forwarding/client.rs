//! Connections of this instance to the holders that it forwards to, one per holder.

use super::choice::HolderTarget;
use super::connection::HolderConnection;
use super::result::{ForwardFault, ForwardResult};
use super::wire::{OriginFrame, WireRequest};
use crate::engine::RouteAccess;
use crate::session::StatementJob;
use crate::sync::lock;
use rudder_core::LogStamp;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Timeout for opening a connection: two round trips between regions, and scheduling on a slow
/// machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a holder is not tried again after opening a connection failed.
const CONNECT_PAUSE: Duration = Duration::from_millis(1000);

/// Time beyond a request's deadline that its reply is awaited. The holder reports what became of
/// the request when the remaining time that it received is over, which is later by the transit.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Maximum total size of requests that are queued for writing; bounds the memory that slow holders
/// take from an instance with 160 MB.
const QUEUED_BYTES_MAX: usize = 8 << 20;

/// Connection to one holder.
#[derive(Default)]
struct HolderSlot {
    state: tokio::sync::Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    connection: Option<Arc<HolderConnection>>,
    failed_at: Option<Instant>,
}

impl HolderSlot {
    /// Returns the connection; opens one if there is none, unless that failed recently.
    async fn connect(
        self: Arc<Self>,
        holder: HolderTarget,
        queue_bytes: Arc<Semaphore>,
    ) -> Result<Arc<HolderConnection>, ForwardFault> {
        let mut state = self.state.lock().await;
        if let Some(connection) = &state.connection
            && !connection.has_ended()
        {
            return Ok(Arc::clone(connection));
        }
        state.connection = None;
        if state.failed_at.is_some_and(|at| Instant::now() < at + CONNECT_PAUSE) {
            return Err(ForwardFault::Unreachable);
        }
        let open = HolderConnection::open(holder.address, queue_bytes);
        let reason = match tokio::time::timeout(CONNECT_TIMEOUT, open).await {
            Ok(Ok(connection)) => {
                state.failed_at = None;
                state.connection = Some(Arc::clone(&connection));
                return Ok(connection);
            }
            Ok(Err(end)) => end.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        state.failed_at = Some(Instant::now());
        log::info!(
            holder:% = holder.instance, reason:% = reason;
            "a forwarding connection was not opened"
        );
        Err(ForwardFault::Unreachable)
    }

    /// Returns the connection if it is known to be open.
    fn open_connection(&self) -> Option<Arc<HolderConnection>> {
        let state = self.state.try_lock().ok()?;
        state.connection.as_ref().filter(|connection| !connection.has_ended()).cloned()
    }
}

/// Connections of this instance to the holders that it forwards to.
pub(crate) struct ForwardingClient {
    /// Sorted by address.
    slots: Mutex<Vec<(SocketAddr, Arc<HolderSlot>)>>,
    /// Remaining bytes of requests that may be queued for writing, at all holders together.
    queue_bytes: Arc<Semaphore>,
}

impl Default for ForwardingClient {
    fn default() -> Self {
        let queue_bytes = Arc::new(Semaphore::new(QUEUED_BYTES_MAX));
        Self { slots: Mutex::default(), queue_bytes }
    }
}

impl ForwardingClient {
    /// Sends a single statement to a holder.
    pub(super) async fn run(
        &self,
        holder: &HolderTarget,
        access: &RouteAccess,
        job: &StatementJob,
        floor: Option<LogStamp>,
    ) -> ForwardResult {
        let connection = match self.connection(holder, connect_limit(job)).await {
            Ok(connection) => connection,
            Err(reason) => return ForwardResult::NotSent(reason),
        };
        let message =
            |request_id| OriginFrame::Statement(WireRequest::new(request_id, access, job, floor));
        connection.request(message, reply_limit(job)).await
    }

    /// Returns a connection to a holder; opens one if needed, for at most `limit`.
    pub(super) async fn connection(
        &self,
        holder: &HolderTarget,
        limit: Duration,
    ) -> Result<Arc<HolderConnection>, ForwardFault> {
        let slot = self.slot(holder.address);
        if let Some(connection) = slot.open_connection() {
            return Ok(connection);
        }
        // If this caller stops waiting, the connection is opened for the next ones.
        let connect = tokio::spawn(slot.connect(holder.clone(), Arc::clone(&self.queue_bytes)));
        match tokio::time::timeout(limit.min(CONNECT_TIMEOUT), connect).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) | Err(_) => Err(ForwardFault::Timeout),
        }
    }
    fn slot(&self, address: SocketAddr) -> Arc<HolderSlot> {
        let mut slots = lock(&self.slots);
        if let Ok(index) = slots.binary_search_by_key(&address, |(known, _)| *known) {
            return Arc::clone(&slots[index].1);
        }
        // Replaced instances leave slots behind; those without a connection are removed.
        slots.retain(|(_, slot)| {
            let unused = slot.state.try_lock().is_ok_and(|state| {
                let open = state.connection.as_ref().is_some_and(|known| !known.has_ended());
                let paused = state.failed_at.is_some_and(|at| at.elapsed() < CONNECT_PAUSE);
                !open && !paused
            });
            !unused || Arc::strong_count(slot) > 1
        });
        let index = slots.partition_point(|(known, _)| *known < address);
        let slot = Arc::new(HolderSlot::default());
        slots.insert(index, (address, Arc::clone(&slot)));
        slot
    }
}

/// Time that a job may wait for a connection to a holder: half of its wait, so that it can still be
/// run by this instance.
pub(super) fn connect_limit(job: &StatementJob) -> Duration {
    job.wait_remaining() / 2
}

/// Time for which the reply to a job is awaited.
pub(super) fn reply_limit(job: &StatementJob) -> Duration {
    job.time_remaining() + REPLY_MARGIN
}
