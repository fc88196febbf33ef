//! Encodes a batch for one member connection. Prepared statements get names that are the same for
//! every caller, and are prepared first if the connection does not have them yet.

use super::batch::{BatchEnd, BatchFrame, CallerBatch, PreparedStatement};
use super::replies::{ExpectedReply, ReplyQueue};
use crate::group::PooledConnection;
use bytes::{BufMut, BytesMut};
use postgres_protocol::message::frontend;
use rudder_endpoint::{EndpointError, tag};

/// Maximum number of prepared statements on one connection; above it an existing one is closed.
const PREPARED_MAX: usize = 200;

/// Maximum size in bytes of the settings that are remembered of a connection. Larger ones are set
/// again before each use.
const REMEMBERED_SETTINGS_MAX: usize = 16 * 1024;

/// Statement that clears all settings, and what separates it from those that set them.
const RESET: &str = "RESET ALL";
const SEPARATOR: &str = "; ";

/// Queues the statements that apply the session's settings to a connection. Returns `false` if the
/// connection has them already.
pub(crate) fn sync_settings(
    pooled: &mut PooledConnection,
    wanted: &[(String, String)],
) -> Result<bool, EndpointError> {
    if pooled.settings == wanted {
        return Ok(false);
    }
    let size: usize = wanted.iter().map(|(_, statement)| statement.len() + SEPARATOR.len()).sum();
    let mut text = String::with_capacity(RESET.len() + size);
    text.push_str(RESET);
    for (_, statement) in wanted {
        text.push_str(SEPARATOR);
        text.push_str(statement);
    }
    pooled.connection.queue_query(&text)?;
    if size > REMEMBERED_SETTINGS_MAX {
        pooled.invalidate_settings();
    } else {
        pooled.settings = wanted.to_vec();
    }
    Ok(true)
}

/// Queues a batch and returns the replies to expect.
pub(crate) fn encode_batch(pooled: &mut PooledConnection, batch: &CallerBatch) -> ReplyQueue {
    let mut queue = ReplyQueue::default();
    for frame in &batch.frames {
        encode_frame(pooled, frame, batch.end, &mut queue);
    }
    let outgoing = pooled.connection.link().write_buffer();
    match batch.end {
        BatchEnd::Simple => {}
        BatchEnd::Sync => frontend::sync(outgoing),
        BatchEnd::Flush => frontend::flush(outgoing),
    }
    queue
}

fn encode_frame(
    pooled: &mut PooledConnection,
    frame: &BatchFrame,
    end: BatchEnd,
    queue: &mut ReplyQueue,
) {
    match frame {
        BatchFrame::Parse(statement) => {
            if is_prepared(pooled, statement, queue) {
                queue.expect(ExpectedReply::SyntheticParse);
            } else {
                prepare(pooled, statement, true, queue);
            }
        }
        BatchFrame::Bind(statement, portal, rest) => {
            ensure_prepared(pooled, statement, queue);
            let name = member_name(statement);
            let outgoing = pooled.connection.link().write_buffer();
            put_frame(outgoing, tag::BIND, &[portal, name.as_bytes(), b"\0", rest]);
            queue.expect(ExpectedReply::Single);
        }
        BatchFrame::DescribeStatement(statement) => {
            ensure_prepared(pooled, statement, queue);
            let name = member_name(statement);
            let outgoing = pooled.connection.link().write_buffer();
            put_frame(outgoing, tag::DESCRIBE, &[b"S", name.as_bytes(), b"\0"]);
            queue.expect(ExpectedReply::Describe);
        }
        BatchFrame::CloseStatement => queue.expect(ExpectedReply::SyntheticClose),
        BatchFrame::Plain(frame) => {
            pooled.connection.link().write_buffer().extend_from_slice(&frame.bytes);
            if end != BatchEnd::Simple {
                queue.expect(reply_to(frame.tag));
            }
        }
    }
}

fn reply_to(frame_tag: u8) -> ExpectedReply {
    match frame_tag {
        tag::DESCRIBE => ExpectedReply::Describe,
        tag::EXECUTE => ExpectedReply::Execute,
        _ => ExpectedReply::Single,
    }
}

fn is_prepared(
    pooled: &PooledConnection,
    statement: &PreparedStatement,
    queue: &ReplyQueue,
) -> bool {
    pooled.prepared.binary_search(&statement.hash).is_ok() || queue.awaits_parse(statement.hash)
}

fn ensure_prepared(
    pooled: &mut PooledConnection,
    statement: &PreparedStatement,
    queue: &mut ReplyQueue,
) {
    if !is_prepared(pooled, statement, queue) {
        prepare(pooled, statement, false, queue);
    }
}

fn prepare(
    pooled: &mut PooledConnection,
    statement: &PreparedStatement,
    relayed: bool,
    queue: &mut ReplyQueue,
) {
    evict_prepared(pooled, statement.hash, queue);
    let name = member_name(statement);
    let outgoing = pooled.connection.link().write_buffer();
    put_frame(outgoing, tag::PARSE, &[name.as_bytes(), b"\0", &statement.definition]);
    queue.expect(ExpectedReply::Parse { hash: statement.hash, relayed });
}

/// Closes one prepared statement if the connection holds too many. The next one in hash order is
/// chosen, which is effectively random.
fn evict_prepared(pooled: &mut PooledConnection, hash: u128, queue: &mut ReplyQueue) {
    if pooled.prepared.len() < PREPARED_MAX {
        return;
    }
    let index = pooled.prepared.partition_point(|known| *known < hash) % pooled.prepared.len();
    let closed = pooled.prepared.remove(index);
    let name = name_of(closed);
    put_frame(pooled.connection.link().write_buffer(), tag::CLOSE, &[b"S", name.as_bytes(), b"\0"]);
    queue.expect(ExpectedReply::InternalClose(closed));
}

fn member_name(statement: &PreparedStatement) -> String {
    name_of(statement.hash)
}

fn name_of(hash: u128) -> String {
    format!("rudder_{hash:032x}")
}

fn put_frame(outgoing: &mut BytesMut, frame_tag: u8, parts: &[&[u8]]) {
    let size: usize = parts.iter().map(|part| part.len()).sum();
    outgoing.put_u8(frame_tag);
    outgoing.put_u32(u32::try_from(size + 4).unwrap_or(u32::MAX));
    for part in parts {
        outgoing.extend_from_slice(part);
    }
}
