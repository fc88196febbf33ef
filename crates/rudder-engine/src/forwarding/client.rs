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
    /// Opens a connection unless there is one or opening one failed recently. Callers that come while
    /// one is being opened wait for the lock and must not each try again.
    async fn connect(self: Arc<Self>, holder: HolderTarget, queue_bytes: Arc<Semaphore>) {
        let mut state = self.state.lock().await;
        if !matches!(state.status(), SlotStatus::Closed) {
            return;
        }
        let open = HolderConnection::open(holder.address, queue_bytes);
        let reason = match tokio::time::timeout(CONNECT_TIMEOUT, open).await {
            Ok(Ok(connection)) => {
                *state = SlotState { connection: Some(connection), failed_at: None };
                return;
            }
            Ok(Err(end)) => end.to_string(),
            Err(_) => "timeout".to_owned(),
        };
        *state = SlotState { connection: None, failed_at: Some(Instant::now()) };
        log::info!(
            holder:% = holder.instance, reason:% = reason;
            "a forwarding connection was not opened"
        );
    }

    fn status(&self) -> SlotStatus {
        // The state is locked for as long as a connection is being opened.
        self.state.try_lock().map_or(SlotStatus::Opening, |state| state.status())
    }
}

impl SlotState {
    fn status(&self) -> SlotStatus {
        let open = self.connection.as_ref().filter(|connection| !connection.has_ended());
        match (open, self.failed_at) {
            (Some(connection), _) => SlotStatus::Open(Arc::clone(connection)),
            (None, Some(at)) if at.elapsed() < CONNECT_PAUSE => SlotStatus::Failed,
            (None, _) => SlotStatus::Closed,
        }
    }
}

/// Whether a holder can be sent requests.
enum SlotStatus {
    Open(Arc<HolderConnection>),
    Opening,
    /// Opening the connection failed recently.
    Failed,
    Closed,
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
        let connection = match self.connection(holder) {
            Ok(connection) => connection,
            Err(reason) => return ForwardResult::NotSent(reason),
        };
        let message =
            |request_id| OriginFrame::Statement(WireRequest::new(request_id, access, job, floor));
        connection.request(message, reply_limit(job)).await
    }

    /// Returns the connection to a holder if it is open. Otherwise opens it in the background: a
    /// request that waited for two round trips between regions would miss its latency target, and
    /// this instance can run it meanwhile.
    pub(super) fn connection(
        &self,
        holder: &HolderTarget,
    ) -> Result<Arc<HolderConnection>, ForwardFault> {
        let slot = self.slot(holder.address);
        match slot.status() {
            SlotStatus::Open(connection) => Ok(connection),
            SlotStatus::Opening => Err(ForwardFault::Connecting),
            SlotStatus::Failed => Err(ForwardFault::Unreachable),
            SlotStatus::Closed => {
                tokio::spawn(slot.connect(holder.clone(), Arc::clone(&self.queue_bytes)));
                Err(ForwardFault::Connecting)
            }
        }
    }

    /// Opens the connection to a holder.
    #[cfg(test)]
    pub(super) async fn open(&self, holder: HolderTarget) {
        let slot = self.slot(holder.address);
        slot.connect(holder, Arc::clone(&self.queue_bytes)).await;
    }

    fn slot(&self, address: SocketAddr) -> Arc<HolderSlot> {
        let mut slots = lock(&self.slots);
        if let Ok(index) = slots.binary_search_by_key(&address, |(known, _)| *known) {
            return Arc::clone(&slots[index].1);
        }
        // Replaced instances leave slots behind; those without a connection are removed.
        slots.retain(|(_, slot)| {
            let is_unused = matches!(slot.status(), SlotStatus::Closed);
            !is_unused || Arc::strong_count(slot) > 1
        });
        let index = slots.partition_point(|(known, _)| *known < address);
        let slot = Arc::new(HolderSlot::default());
        slots.insert(index, (address, Arc::clone(&slot)));
        slot
    }
}

/// Time for which the reply to a job is awaited.
pub(super) fn reply_limit(job: &StatementJob) -> Duration {
    job.time_remaining() + REPLY_MARGIN
}
