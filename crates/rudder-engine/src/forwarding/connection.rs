//! The origin's side of a forwarding connection: requests in progress, and the detection of a lost
//! or silent holder.

use super::frame::{
    ConnectionEnd, FrameDecoder, LinkActivity, encode_to_holder, length_codec, preamble,
};
use super::result::{ForwardFault, ForwardResult};
use super::wire::{HolderFrame, OriginFrame};
use crate::sync::lock;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::codec::{FramedRead, FramedWrite};

/// Interval of pings while requests are pending.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a sign of life after which a holder with pending requests counts as lost: three
/// pings, as one lost packet delays the ones behind it by 200 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of pending requests on one connection. A holder runs as many in total.
const PENDING_MAX: usize = 256;

struct PendingRequest {
    request_id: u64,
    /// Whether writing the request has begun.
    is_written: bool,
    sender: oneshot::Sender<ForwardResult>,
}

struct PendingState {
    ended: bool,
    last_request_id: u64,
    last_transaction: u64,
    /// Sorted by request.
    requests: Vec<PendingRequest>,
    /// Number of transactions that are open on this connection.
    transactions: u32,
    /// Time at which requests were last added to none, or the last one ended.
    changed_at: Instant,
}

impl PendingState {
    fn position(&self, request_id: u64) -> Result<usize, usize> {
        self.requests.binary_search_by_key(&request_id, |request| request.request_id)
    }

    fn remove(&mut self, request_id: u64) -> Option<PendingRequest> {
        let index = self.position(request_id).ok()?;
        let request = self.requests.remove(index);
        if self.requests.is_empty() {
            self.changed_at = Instant::now();
        }
        Some(request)
    }
}

/// A message in the queue for writing.
struct QueuedFrame {
    /// Request that the message belongs to; the message is skipped if the request has ended.
    request_id: Option<u64>,
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// A connection to a holder.
pub(crate) struct HolderConnection {
    peer: SocketAddr,
    state: Mutex<PendingState>,
    queue: mpsc::UnboundedSender<QueuedFrame>,
    queue_bytes: Arc<Semaphore>,
    activity: LinkActivity,
    /// Notified when requests are pending after there were none.
    pending: Notify,
}

impl HolderConnection {
    /// Opens a connection. Requests are sent only after the holder has confirmed the version: an
    /// instance without forwarding would read them as a request for a copy.
    pub(super) async fn open(
        peer: SocketAddr,
        queue_bytes: Arc<Semaphore>,
    ) -> Result<Arc<Self>, ConnectionEnd> {
        let mut stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        // Once a request is given up, the network stack must not transfer it any more: it would run
        // long after its caller was told that its outcome is unknown.
        stream.set_zero_linger()?;
        stream.write_all(&preamble()).await?;
        let mut response = [0; 3];
        stream.read_exact(&mut response).await?;
        if response != preamble() {
            return Err(ConnectionEnd::Version);
        }
        let (queue, frames) = mpsc::unbounded_channel();
        let state = PendingState {
            ended: false,
            last_request_id: 0,
            last_transaction: 0,
            requests: Vec::new(),
            transactions: 0,
            changed_at: Instant::now(),
        };
        let connection = Arc::new(Self {
            peer,
            state: Mutex::new(state),
            queue,
            queue_bytes,
            activity: LinkActivity::new(),
            pending: Notify::new(),
        });
        tokio::spawn(Arc::clone(&connection).run(stream, frames));
        Ok(connection)
    }

    /// Whether the connection has ended.
    pub(super) fn has_ended(&self) -> bool {
        lock(&self.state).ended
    }

    /// Sends a request and waits for its result, until `limit` has passed.
    pub(super) async fn request(
        self: &Arc<Self>,
        message: impl FnOnce(u64) -> OriginFrame,
        limit: Duration,
    ) -> ForwardResult {
        let (guard, receiver) = match self.register() {
            Ok(registered) => registered,
            Err(reason) => return ForwardResult::NotSent(reason),
        };
        let Some(bytes) = encode_to_holder(&message(guard.request_id)) else {
            return ForwardResult::NotSent(ForwardFault::TooLarge);
        };
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let Ok(permit) = Arc::clone(&self.queue_bytes).try_acquire_many_owned(size) else {
            return ForwardResult::NotSent(ForwardFault::QueueFull);
        };
        let request_id = Some(guard.request_id);
        if self.queue.send(QueuedFrame { request_id, bytes, _permit: Some(permit) }).is_err() {
            return ForwardResult::NotSent(ForwardFault::Closed);
        }
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => ForwardResult::Lost(ForwardFault::Closed),
            Err(_) if guard.cancel() => ForwardResult::NotSent(ForwardFault::Timeout),
            Err(_) => ForwardResult::Lost(ForwardFault::Timeout),
        }
    }

    fn register(
        self: &Arc<Self>,
    ) -> Result<(PendingGuard, oneshot::Receiver<ForwardResult>), ForwardFault> {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        if state.ended {
            return Err(ForwardFault::Closed);
        }
        if state.requests.len() >= PENDING_MAX {
            return Err(ForwardFault::QueueFull);
        }
        state.last_request_id += 1;
        let request_id = state.last_request_id;
        if state.requests.is_empty() {
            state.changed_at = Instant::now();
            self.pending.notify_one();
        }
        state.requests.push(PendingRequest { request_id, is_written: false, sender });
        Ok((PendingGuard { connection: Arc::clone(self), request_id }, receiver))
    }

    /// Returns the number of a new transaction, which counts as open until
    /// [`Self::end_transaction`].
    pub(super) fn begin_transaction(&self) -> u64 {
        let mut state = lock(&self.state);
        state.transactions += 1;
        state.last_transaction += 1;
        state.last_transaction
    }

    /// Ends a transaction; `roll_back` says whether the holder has to roll it back.
    pub(super) fn end_transaction(&self, transaction: u64, roll_back: bool) {
        {
            let mut state = lock(&self.state);
            state.transactions = state.transactions.saturating_sub(1);
            state.changed_at = Instant::now();
        }
        if roll_back {
            self.send_control(&OriginFrame::RollBack { transaction });
        }
    }

    fn send_control(&self, message: &OriginFrame) {
        let Some(bytes) = encode_to_holder(message) else { return };
        // On a connection that has ended, the holder has rolled back by itself.
        let _ = self.queue.send(QueuedFrame { request_id: None, bytes, _permit: None });
    }

    async fn run(self: Arc<Self>, stream: TcpStream, frames: mpsc::UnboundedReceiver<QueuedFrame>) {
        let (reader, writer) = stream.into_split();
        let end = tokio::select! {
            end = self.receive(reader) => end,
            end = self.transmit(writer, frames) => end,
            end = self.supervise() => end,
        };
        self.end(end);
    }

    async fn receive(&self, reader: OwnedReadHalf) -> ConnectionEnd {
        let decoder = FrameDecoder::<HolderFrame>::new(self.activity.clone());
        let mut frames = FramedRead::new(reader, decoder);
        loop {
            let (request_id, result) = match frames.next().await {
                None => return ConnectionEnd::Closed,
                Some(Err(error)) => return error.into(),
                Some(Ok((HolderFrame::Pong, _))) => continue,
                Some(Ok((HolderFrame::Reply { request_id, reply }, _))) => {
                    (request_id, ForwardResult::Reply(reply.into()))
                }
                Some(Ok((HolderFrame::Declined { request_id, reason }, _))) => {
                    (request_id, ForwardResult::Declined(reason))
                }
                Some(Ok((HolderFrame::Undeliverable { request_id }, _))) => {
                    (request_id, ForwardResult::Lost(ForwardFault::Undeliverable))
                }
            };
            self.complete(request_id, result);
        }
    }

    fn complete(&self, request_id: u64, result: ForwardResult) {
        let request = lock(&self.state).remove(request_id);
        let delivered = request.is_some_and(|request| request.sender.send(result).is_ok());
        if !delivered {
            metrics::counter!("rudder_forward_replies_dropped_total").increment(1);
            log::info!(
                peer:% = self.peer, number = request_id, reason = "unknown_request";
                "a forwarded request's reply was dropped"
            );
        }
    }

    async fn transmit(
        &self,
        writer: OwnedWriteHalf,
        mut frames: mpsc::UnboundedReceiver<QueuedFrame>,
    ) -> ConnectionEnd {
        let mut writer = FramedWrite::new(writer, length_codec());
        while let Some(frame) = frames.recv().await {
            if !self.mark_written(frame.request_id) {
                continue;
            }
            self.activity.record_written(frame.bytes.len());
            if let Err(error) = writer.send(frame.bytes).await {
                return error.into();
            }
        }
        ConnectionEnd::Closed
    }

    /// Marks a request as written; returns whether its message still has to be sent.
    fn mark_written(&self, request_id: Option<u64>) -> bool {
        let Some(request_id) = request_id else { return true };
        let mut state = lock(&self.state);
        let Ok(index) = state.position(request_id) else { return false };
        state.requests[index].is_written = true;
        true
    }

    async fn supervise(&self) -> ConnectionEnd {
        let mut ticks = tokio::time::interval(PING_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked_at = Instant::now();
        let mut resumed_at = ticked_at;
        loop {
            ticks.tick().await;
            let now = Instant::now();
            // If this process itself did not run, messages may wait in its receive buffer.
            if now > ticked_at + 2 * PING_INTERVAL {
                resumed_at = now;
            }
            ticked_at = now;
            let Some(changed_at) = self.pending_since() else {
                if self.end_if_idle(now) {
                    return ConnectionEnd::Idle;
                }
                // Requests may have come meanwhile; the permit of the notification is kept then.
                let _ = tokio::time::timeout(IDLE_TIMEOUT, self.pending.notified()).await;
                ticks.reset();
                ticked_at = Instant::now();
                continue;
            };
            let silent_at = self.activity.silent_at(changed_at.max(resumed_at), SILENCE_TIMEOUT);
            if now > silent_at {
                return ConnectionEnd::Silent;
            }
            self.send_control(&OriginFrame::Ping);
        }
    }

    /// Returns the time since which requests are pending without a break.
    fn pending_since(&self) -> Option<Instant> {
        let state = lock(&self.state);
        (!state.requests.is_empty()).then_some(state.changed_at)
    }

    /// Ends the connection for new requests if it has been unused for [`IDLE_TIMEOUT`].
    fn end_if_idle(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let is_unused = state.requests.is_empty() && state.transactions == 0;
        state.ended |= is_unused && now >= state.changed_at + IDLE_TIMEOUT;
        state.ended
    }

    /// Ends the connection and all pending requests.
    fn end(&self, end: ConnectionEnd) {
        let requests = {
            let mut state = lock(&self.state);
            state.ended = true;
            std::mem::take(&mut state.requests)
        };
        log::info!(
            peer:% = self.peer, pending = requests.len(), reason:% = end;
            "a forwarding connection ended"
        );
        if end == ConnectionEnd::Malformed {
            super::count_rejected_frame(end);
        }
        let reason = match end {
            ConnectionEnd::Silent => ForwardFault::Silent,
            ConnectionEnd::Malformed => ForwardFault::Malformed,
            _ => ForwardFault::Closed,
        };
        for request in requests {
            let result = match request.is_written {
                true => ForwardResult::Lost(reason),
                false => ForwardResult::NotSent(reason),
            };
            // The caller may have disconnected.
            let _ = request.sender.send(result);
        }
    }
}

/// Removes a pending request when its caller stops waiting.
struct PendingGuard {
    connection: Arc<HolderConnection>,
    request_id: u64,
}

impl PendingGuard {
    /// Removes the request; returns whether it is certain that it will not be written.
    fn cancel(&self) -> bool {
        let request = lock(&self.connection.state).remove(self.request_id);
        request.is_some_and(|request| !request.is_written)
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        lock(&self.connection.state).remove(self.request_id);
    }
}
