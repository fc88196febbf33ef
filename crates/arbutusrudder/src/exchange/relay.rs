//! Relays a batch's replies until the member is ready for the next batch.

use super::batch::BatchEnd;
use super::replies::{ReplyAction, ReplyQueue};
use super::sink::ReplySink;
use crate::group::{GroupMember, GroupState, PooledConnection};
use displaydoc::Display;
use rudder_endpoint::{ErrorFields, FramePart, WireError, WireFrame, read_error_fields, tag};
use std::time::Duration;
use tokio::time::timeout;

/// Time for which a caller may keep a slot by not reading while other requests wait for it.
const STALL_MAX: Duration = Duration::from_secs(2);

/// Reason why a batch was not relayed completely.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum ExchangeError {
    /// the member's connection failed: {0}
    Member(WireError),
    /// the member did not answer in time
    MemberUnresponsive,
    /// the caller's connection failed: {0}
    Caller(WireError),
    /// the member refused the session's settings: {0:?}
    Settings(ErrorFields),
    /// the response held until its commit is acknowledged is too large
    ResponseTooLarge,
}

impl std::error::Error for ExchangeError {}

/// Timeouts of one exchange.
#[derive(Clone, Copy)]
pub(crate) struct RelayBounds<'a> {
    /// The member. The wait ends early when it is marked down.
    pub(crate) member: &'a GroupMember,
    /// Maximum time without data from the member.
    pub(crate) member_timeout: Duration,
    /// Maximum time for the caller to send or receive data.
    pub(crate) caller_timeout: Duration,
    /// Group and index of the member, if the batch holds one of its slots.
    pub(crate) slot: Option<(&'a GroupState, usize)>,
    /// Message that ends the batch. After a Flush it is complete once all replies were received.
    pub(crate) end: BatchEnd,
}

/// Result of a batch at its member.
#[derive(Debug, Default)]
pub(crate) struct BatchOutcome {
    /// The transaction status that the member reported: `I`, `T` or `E`; zero after a Flush.
    pub(crate) status: u8,
    /// First error, if any statement failed.
    pub(crate) error: Option<ErrorFields>,
    /// Command tag of the last statement that completed.
    pub(crate) last_tag: Vec<u8>,
    /// Number of the caller's statement names that were prepared or closed.
    pub(crate) names_changed: usize,
}

/// Relays replies into `sink` until the member is ready or, for a Flush, every reply was received.
pub(crate) async fn relay_batch(
    pooled: &mut PooledConnection,
    queue: &mut ReplyQueue,
    sink: &mut ReplySink<'_>,
    mut bounds: RelayBounds<'_>,
) -> Result<BatchOutcome, ExchangeError> {
    let mut outcome = BatchOutcome::default();
    let mut copying = false;
    loop {
        queue.write_synthetic(|bytes| sink.push_bytes(bytes));
        if bounds.end == BatchEnd::Flush && queue.is_empty() {
            return Ok(outcome);
        }
        flush_caller_if_idle(pooled, sink, bounds).await?;
        let frame = next_while_copying(pooled, sink, &mut bounds, &mut copying).await?;
        if frame.tag == tag::READY {
            outcome.status = frame.body().first().copied().unwrap_or(b'I');
            return Ok(outcome);
        }
        record_reply(&frame, &mut outcome);
        let whole = matches!(frame.part, FramePart::Whole);
        outcome.names_changed = queue.names_changed();
        if whole && queue.take(frame.tag) == ReplyAction::Discard {
            continue;
        }
        record_prepared(pooled, queue);
        sink.push(&frame);
        if sink.exceeds_limit() {
            return Err(ExchangeError::ResponseTooLarge);
        }
        // A member that rejects a simple COPY midway is ready at once, and the data that the
        // caller still sends is dropped later. In an extended batch it waits for the Sync.
        let refused = frame.tag == tag::ERROR && bounds.end == BatchEnd::Simple;
        copying = (copying || frame.tag == tag::COPY_IN) && !refused;
    }
}

/// Returns the next part of the member's reply, and forwards the caller's COPY data meanwhile.
async fn next_while_copying(
    pooled: &mut PooledConnection,
    sink: &mut ReplySink<'_>,
    bounds: &mut RelayBounds<'_>,
    copying: &mut bool,
) -> Result<WireFrame, ExchangeError> {
    if *copying && forward_copy(pooled, sink, *bounds).await? {
        *copying = false;
        if bounds.end == BatchEnd::Flush {
            // The Sync that ends the data also ends the batch.
            bounds.end = BatchEnd::Sync;
        }
    }
    next_reply(pooled, *bounds).await
}

/// Reads and drops replies until the member is ready.
pub(crate) async fn drain_batch(
    pooled: &mut PooledConnection,
    queue: &mut ReplyQueue,
    bounds: RelayBounds<'_>,
) -> Result<BatchOutcome, ExchangeError> {
    let mut outcome = BatchOutcome::default();
    loop {
        queue.write_synthetic(|_| {});
        let frame = next_reply(pooled, bounds).await?;
        if frame.tag == tag::READY {
            outcome.status = frame.body().first().copied().unwrap_or(b'I');
            return Ok(outcome);
        }
        record_reply(&frame, &mut outcome);
        if matches!(frame.part, FramePart::Whole) {
            queue.take(frame.tag);
            record_prepared(pooled, queue);
        }
    }
}

async fn next_reply(
    pooled: &mut PooledConnection,
    bounds: RelayBounds<'_>,
) -> Result<WireFrame, ExchangeError> {
    let link = pooled.connection.link();
    if link.has_buffered_frame() {
        return link.next_frame().await.map_err(ExchangeError::Member);
    }
    tokio::select! {
        biased;
        frame = timeout(bounds.member_timeout, link.next_frame()) => {
            frame.map_err(|_| ExchangeError::MemberUnresponsive)?.map_err(ExchangeError::Member)
        }
        () = bounds.member.wait_down() => Err(ExchangeError::MemberUnresponsive),
    }
}

/// Flushes the output to the caller before waiting for the member, or when the buffer is large.
async fn flush_caller_if_idle(
    pooled: &mut PooledConnection,
    sink: &mut ReplySink<'_>,
    bounds: RelayBounds<'_>,
) -> Result<(), ExchangeError> {
    let caller = sink.caller();
    let more_ready = pooled.connection.link().has_buffered_frame();
    if caller.write_buffer().is_empty() || (more_ready && !caller.is_congested()) {
        return Ok(());
    }
    flush_caller(sink, bounds).await
}

async fn flush_caller(
    sink: &mut ReplySink<'_>,
    bounds: RelayBounds<'_>,
) -> Result<(), ExchangeError> {
    let flush = timeout(bounds.caller_timeout, sink.caller().flush());
    tokio::select! {
        biased;
        flushed = flush => flushed
            .map_err(|_| ExchangeError::Caller(WireError::Closed))?
            .map_err(ExchangeError::Caller),
        () = wait_for_demand(bounds) => {
            metrics::counter!("rudder_stalled_callers_closed_total").increment(1);
            Err(ExchangeError::Caller(WireError::Closed))
        }
    }
}

/// Waits until the caller has kept the batch's slot for too long while other requests wait for it.
async fn wait_for_demand(bounds: RelayBounds<'_>) {
    let Some((group, member)) = bounds.slot else { return std::future::pending().await };
    loop {
        tokio::time::sleep(STALL_MAX).await;
        if group.has_waiting(member) {
            return;
        }
    }
}

fn record_reply(frame: &WireFrame, outcome: &mut BatchOutcome) {
    match frame.tag {
        tag::ERROR if outcome.error.is_none() => {
            outcome.error = Some(read_error_fields(frame.body()));
        }
        tag::COMMAND_COMPLETE => {
            outcome.last_tag = frame.body().strip_suffix(b"\0").unwrap_or_default().to_vec();
        }
        _ => {}
    }
}

fn record_prepared(pooled: &mut PooledConnection, queue: &mut ReplyQueue) {
    for hash in queue.take_prepared() {
        if let Err(index) = pooled.prepared.binary_search(&hash) {
            pooled.prepared.insert(index, hash);
        }
    }
}

/// Forwards the caller's COPY data until it ends or the member sends a reply, which it may do
/// midway to reject the data. Returns whether the data ended.
async fn forward_copy(
    pooled: &mut PooledConnection,
    sink: &mut ReplySink<'_>,
    bounds: RelayBounds<'_>,
) -> Result<bool, ExchangeError> {
    flush_caller(sink, bounds).await?;
    loop {
        let member = pooled.connection.link();
        let next = timeout(bounds.caller_timeout, sink.caller().next_frame());
        let frame = tokio::select! {
            frame = next => frame,
            readable = member.wait_for_frame() => {
                return readable.map(|()| false).map_err(ExchangeError::Member);
            }
        };
        let frame = frame
            .map_err(|_| ExchangeError::Caller(WireError::Closed))?
            .map_err(ExchangeError::Caller)?;
        member.write_buffer().extend_from_slice(&frame.bytes);
        if ends_copy(bounds.end, frame.tag) {
            return Ok(true);
        }
        if member.is_congested() {
            timeout(bounds.member_timeout, member.flush())
                .await
                .map_err(|_| ExchangeError::MemberUnresponsive)?
                .map_err(ExchangeError::Member)?;
        }
    }
}

/// Whether a frame is the last of the caller's COPY. In an extended batch the member completes a
/// COPY only after another Sync: it ignores the one sent with the batch while it expects data.
fn ends_copy(end: BatchEnd, frame_tag: u8) -> bool {
    match end {
        BatchEnd::Simple => matches!(frame_tag, tag::COPY_DONE | tag::COPY_FAIL),
        BatchEnd::Sync | BatchEnd::Flush => frame_tag == tag::SYNC,
    }
}
