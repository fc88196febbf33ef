//! Relaying a batch's replies until the member is ready for the next one.

use super::batch::BatchEnd;
use super::replies::{ReplyAction, ReplyQueue};
use super::sink::ReplySink;
use crate::group::{GroupMember, PooledConnection};
use displaydoc::Display;
use rudder_endpoint::{ErrorFields, FramePart, WireError, WireFrame, read_error_fields, tag};
use std::time::Duration;
use tokio::time::timeout;

/// Why a batch was not relayed to its end.
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

/// Bounds of one exchange.
#[derive(Clone, Copy)]
pub(crate) struct RelayBounds<'a> {
    /// The member: when it is known not to answer, nothing more is waited for.
    pub(crate) member: &'a GroupMember,
    /// How long the member may send nothing.
    pub(crate) member_timeout: Duration,
    /// How long the caller may take to send or take data.
    pub(crate) caller_timeout: Duration,
    /// How the batch ends. After a Flush it is over when all replies have come.
    pub(crate) end: BatchEnd,
}

/// How a batch ended at its member.
#[derive(Debug, Default)]
pub(crate) struct BatchOutcome {
    /// The transaction status that the member reported: `I`, `T` or `E`; zero after a Flush.
    pub(crate) status: u8,
    /// The first error, if any statement failed.
    pub(crate) error: Option<ErrorFields>,
    /// The tag of the last statement that completed.
    pub(crate) last_tag: Vec<u8>,
    /// How many of the caller's statement names were prepared or closed.
    pub(crate) names_changed: usize,
}

/// Relays replies into `sink` until the member is ready or, for a Flush, every reply has come.
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
        // A member that refuses a simple COPY in the middle is ready at once, and what the caller
        // still sends is dropped later on; in an extended batch it waits for the caller's Sync.
        let refused = frame.tag == tag::ERROR && bounds.end == BatchEnd::Simple;
        copying = (copying || frame.tag == tag::COPY_IN) && !refused;
    }
}

/// The member's next reply, in any of its parts; the caller's COPY data goes on meanwhile.
async fn next_while_copying(
    pooled: &mut PooledConnection,
    sink: &mut ReplySink<'_>,
    bounds: &mut RelayBounds<'_>,
    copying: &mut bool,
) -> Result<WireFrame, ExchangeError> {
    if *copying && forward_copy(pooled, sink, *bounds).await? {
        *copying = false;
        if bounds.end == BatchEnd::Flush {
            // The Sync that ends the data ends the batch, too.
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

/// Sends what the caller can already have before waiting for the member, or when much has piled up.
async fn flush_caller_if_idle(
    pooled: &mut PooledConnection,
    sink: &mut ReplySink<'_>,
    bounds: RelayBounds<'_>,
) -> Result<(), ExchangeError> {
    let caller = sink.caller();
    let more_ready = pooled.connection.link().has_buffered_frame();
    if caller.outgoing().is_empty() || (more_ready && !caller.is_congested()) {
        return Ok(());
    }
    flush_caller(sink, bounds).await
}

async fn flush_caller(
    sink: &mut ReplySink<'_>,
    bounds: RelayBounds<'_>,
) -> Result<(), ExchangeError> {
    timeout(bounds.caller_timeout, sink.caller().flush())
        .await
        .map_err(|_| ExchangeError::Caller(WireError::Closed))?
        .map_err(ExchangeError::Caller)
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

/// Forwards the caller's COPY data until the member speaks, which it may do in the middle to
/// refuse the data, or until the data ends; answers whether it ended.
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
            readable = member.await_frame() => {
                return readable.map(|()| false).map_err(ExchangeError::Member);
            }
        };
        let frame = frame
            .map_err(|_| ExchangeError::Caller(WireError::Closed))?
            .map_err(ExchangeError::Caller)?;
        member.outgoing().extend_from_slice(&frame.bytes);
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

/// Whether a frame is the last of the caller's COPY. In an extended batch the member answers a
/// COPY only after a Sync of its own: the one that was sent along with the batch is skipped while
/// data is awaited.
fn ends_copy(end: BatchEnd, frame_tag: u8) -> bool {
    match end {
        BatchEnd::Simple => matches!(frame_tag, tag::COPY_DONE | tag::COPY_FAIL),
        BatchEnd::Sync | BatchEnd::Flush => frame_tag == tag::SYNC,
    }
}
