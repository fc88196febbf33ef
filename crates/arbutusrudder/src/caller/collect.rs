//! Collects a batch from the caller's frames.

use super::session::CallerSession;
use crate::classify::{StatementsSummary, SummaryCache, classification_size};
use crate::exchange::{BatchEnd, BatchFrame, CallerBatch, PreparedStatement};
use bytes::Bytes;
use rudder_core::ByteSize;
use rudder_endpoint::{FramePart, WireError, WireFrame, tag};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// Input of a caller.
pub(crate) enum CallerInput {
    /// A batch to serve.
    Batch(CallerBatch),
    /// A request to end the connection.
    Terminate,
}

/// Maximum number of frames in one batch; a longer pipeline without Sync is rejected.
const BATCH_FRAMES_MAX: usize = 65_536;

/// Maximum bytes of one batch; an endless pipeline would fill memory.
const BATCH_SIZE_MAX: usize = 64 * 1024 * 1024;

/// Memory of a frame besides its bytes, with the reply that is expected to it.
const FRAME_BYTES: usize = 400;

/// Copies of a batch: the caller's and the member's.
const BATCH_COPIES: usize = 2;

/// Copies of the session's settings while a batch is served: the text for the member's connection,
/// its write buffer, which grows by doubling, and what is remembered of the connection.
const SETTINGS_COPIES: usize = 4;

/// Reads frames until the caller waits for a response.
pub(crate) async fn collect_batch(
    session: &mut CallerSession,
    facts: &SummaryCache,
) -> Result<CallerInput, WireError> {
    session.previous_names.clear();
    let mut batch = CallerBatch {
        frames: Vec::new(),
        end: BatchEnd::Sync,
        summaries: Vec::new(),
        executes: false,
    };
    let mut size = 0;
    let settings_size = session.settings_size();
    loop {
        let frame = session.link.next_frame().await?;
        if batch.frames.len() >= BATCH_FRAMES_MAX {
            return Err(WireError::Malformed("a batch has too many messages"));
        }
        size += frame.bytes.len();
        if size > BATCH_SIZE_MAX {
            return Err(WireError::Malformed("a batch is larger than 64 MiB"));
        }
        reserve_batch(session, &batch, size, settings_size)?;
        // A Describe with a declared length as large as a row arrives in parts, which would be
        // taken for separate messages and accumulate.
        if frame.part != FramePart::Whole && frame.tag != tag::COPY_DATA {
            return Err(WireError::Malformed("a message is too long for its type"));
        }
        match frame.tag {
            tag::QUERY => {
                let text = text_of(frame.body())?;
                let summary = classify(session, facts, text)?;
                batch.summaries.push(summary);
                batch.frames.push(BatchFrame::Plain(frame));
                batch.end = BatchEnd::Simple;
                batch.executes = true;
                return Ok(CallerInput::Batch(batch));
            }
            tag::SYNC => return Ok(CallerInput::Batch(batch)),
            tag::FLUSH if batch.frames.is_empty() => {}
            tag::FLUSH => {
                batch.end = BatchEnd::Flush;
                return Ok(CallerInput::Batch(batch));
            }
            tag::TERMINATE => return Ok(CallerInput::Terminate),
            // Remaining data of a COPY that the member ended with an error.
            tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => size = 0,
            tag::PARSE | tag::BIND | tag::DESCRIBE | tag::EXECUTE | tag::CLOSE => {
                collect_frame(session, facts, &mut batch, frame)?;
            }
            _ => return Err(WireError::Malformed("an unknown message type")),
        }
    }
}

/// Accounts for the memory of a batch while it is collected and served: its frames, their copy for the
/// member, and the settings that precede them.
fn reserve_batch(
    session: &mut CallerSession,
    batch: &CallerBatch,
    size: usize,
    settings_size: usize,
) -> Result<(), WireError> {
    let frames = batch.frames.len() * FRAME_BYTES;
    let size = BATCH_COPIES * size + frames + SETTINGS_COPIES * settings_size;
    let reserved = session.batch_memory.resize(ByteSize(size as u64));
    reserved.map_err(|_| WireError::NoMemory)
}

/// Returns the classification of a text. Without a cached one, it takes memory for the text's tokens.
fn classify(
    session: &mut CallerSession,
    facts: &SummaryCache,
    text: &str,
) -> Result<Arc<StatementsSummary>, WireError> {
    if let Some(summary) = facts.find(text) {
        return Ok(summary);
    }
    let reserved = session.batch_memory.size();
    let size = reserved.0 + classification_size(text) as u64;
    session.batch_memory.resize(ByteSize(size)).map_err(|_| WireError::NoMemory)?;
    let summary = facts.classify(text);
    // A smaller size always fits.
    let _ = session.batch_memory.resize(reserved);
    Ok(summary)
}

fn collect_frame(
    session: &mut CallerSession,
    facts: &SummaryCache,
    batch: &mut CallerBatch,
    frame: WireFrame,
) -> Result<(), WireError> {
    let body = frame.bytes.slice(frame.bytes.len() - frame.body().len()..);
    let collected = match frame.tag {
        tag::PARSE => {
            let statement = read_parse(session, facts, &body)?;
            batch.summaries.push(Arc::clone(&statement.summary));
            BatchFrame::Parse(statement)
        }
        tag::BIND => collect_bind(session, batch, &body, frame)?,
        tag::DESCRIBE if body.first() == Some(&b'S') => {
            match session.statement(text_of(&body[1..])?) {
                Some(statement) => {
                    batch.summaries.push(Arc::clone(&statement.summary));
                    BatchFrame::DescribeStatement(Arc::clone(statement))
                }
                None => BatchFrame::Plain(frame),
            }
        }
        tag::CLOSE if body.first() == Some(&b'S') => {
            session.remove_statement(text_of(&body[1..])?);
            BatchFrame::CloseStatement
        }
        tag::EXECUTE => {
            batch.executes = true;
            BatchFrame::Plain(frame)
        }
        _ => BatchFrame::Plain(frame),
    };
    batch.frames.push(collected);
    Ok(())
}

fn read_parse(
    session: &mut CallerSession,
    facts: &SummaryCache,
    body: &Bytes,
) -> Result<Arc<PreparedStatement>, WireError> {
    let name_end = end_of_text(body, 0)?;
    let name = text_of(&body[..=name_end])?;
    let definition = body.slice(name_end + 1..);
    let text = text_of(&definition)?;
    let statement = Arc::new(PreparedStatement {
        hash: xxh3_128(&definition),
        summary: classify(session, facts, text)?,
        // Copied, because a slice would keep the whole read buffer alive.
        definition: Bytes::copy_from_slice(&definition),
    });
    session.add_statement(name, Arc::clone(&statement));
    Ok(statement)
}

fn collect_bind(
    session: &CallerSession,
    batch: &mut CallerBatch,
    body: &Bytes,
    frame: WireFrame,
) -> Result<BatchFrame, WireError> {
    let portal_end = end_of_text(body, 0)?;
    let name_end = end_of_text(body, portal_end + 1)?;
    let name = text_of(&body[portal_end + 1..=name_end])?;
    let Some(statement) = session.statement(name) else {
        // The member reports that there is no such statement.
        return Ok(BatchFrame::Plain(frame));
    };
    batch.summaries.push(Arc::clone(&statement.summary));
    let portal = body.slice(..=portal_end);
    let rest = body.slice(name_end + 1..);
    Ok(BatchFrame::Bind(Arc::clone(statement), portal, rest))
}

fn end_of_text(body: &[u8], start: usize) -> Result<usize, WireError> {
    let rest = body.get(start..).unwrap_or_default();
    let length = rest.iter().position(|&byte| byte == 0);
    length.map(|length| start + length).ok_or(WireError::Malformed("a text has no end"))
}

fn text_of(body: &[u8]) -> Result<&str, WireError> {
    let end = end_of_text(body, 0)?;
    std::str::from_utf8(&body[..end]).map_err(|_| WireError::Malformed("a text is not UTF-8"))
}
