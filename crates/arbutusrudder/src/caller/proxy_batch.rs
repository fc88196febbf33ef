//! Serves extended batches that concern this proxy alone, with the replies that a member would
//! send.

use super::local::{ProxyReply, SettingRefusal, is_proxy_change, run_proxy_change};
use super::response::{put_complete, put_error, put_ready, put_text_column, put_text_value};
use super::session::CallerSession;
use crate::classify::{SessionChange, StatementsSummary};
use crate::exchange::{BatchEnd, BatchFrame, CallerBatch, PreparedStatement};
use bytes::BytesMut;
use rudder_endpoint::tag;
use std::sync::Arc;

const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
const BIND_COMPLETE: &[u8] = b"2\0\0\0\x04";
const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";
const NO_DATA: &[u8] = b"n\0\0\0\x04";
const NO_PARAMETERS: &[u8] = b"t\0\0\0\x06\0\0";

/// Whether each statement of an extended batch concerns this proxy alone.
pub(crate) fn is_proxy_batch(batch: &CallerBatch) -> bool {
    let is_single = |statement: &Arc<StatementsSummary>| {
        statement.statements.len() == 1 && change_in(statement).is_some_and(is_proxy_change)
    };
    batch.end != BatchEnd::Simple
        && !batch.summaries.is_empty()
        && batch.summaries.iter().all(is_single)
}

/// Serves such a batch. Returns `false` if it failed and the rest up to its Sync is to be skipped.
pub(crate) fn serve_proxy_batch(session: &mut CallerSession, batch: &CallerBatch) -> bool {
    let mut portal = None;
    let mut names_changed = 0;
    for frame in &batch.frames {
        if matches!(frame, BatchFrame::Parse(_) | BatchFrame::CloseStatement) {
            names_changed += 1;
        }
        if let Err(refusal) = answer_frame(session, frame, &mut portal) {
            session.restore_names(names_changed);
            put_error(session.link.write_buffer(), refusal.sqlstate, &refusal.message);
            return false;
        }
    }
    if batch.end == BatchEnd::Sync {
        let status = session.status();
        put_ready(session.link.write_buffer(), status);
    }
    true
}

fn answer_frame(
    session: &mut CallerSession,
    frame: &BatchFrame,
    portal: &mut Option<Arc<PreparedStatement>>,
) -> Result<(), SettingRefusal> {
    let out = session.link.write_buffer();
    match frame {
        BatchFrame::Parse(_) => out.extend_from_slice(PARSE_COMPLETE),
        BatchFrame::Bind(statement, _, _) => {
            *portal = Some(Arc::clone(statement));
            out.extend_from_slice(BIND_COMPLETE);
        }
        BatchFrame::DescribeStatement(statement) => {
            out.extend_from_slice(NO_PARAMETERS);
            put_columns(out, change_in(&statement.summary));
        }
        BatchFrame::CloseStatement => out.extend_from_slice(CLOSE_COMPLETE),
        BatchFrame::Plain(frame) => {
            let change = portal.as_ref().and_then(|statement| change_in(&statement.summary));
            match (frame.tag, change) {
                (tag::DESCRIBE, change) => put_columns(out, change),
                (tag::EXECUTE, Some(change)) => return execute(session, change),
                _ => out.extend_from_slice(CLOSE_COMPLETE),
            }
        }
    }
    Ok(())
}

fn execute(session: &mut CallerSession, change: &SessionChange) -> Result<(), SettingRefusal> {
    let ProxyReply { value, tag } = run_proxy_change(session, change)?;
    let out = session.link.write_buffer();
    if let Some(value) = value {
        put_text_value(out, &value);
    }
    put_complete(out, tag);
    Ok(())
}

fn put_columns(out: &mut BytesMut, change: Option<&SessionChange>) {
    match change {
        Some(SessionChange::Show { name }) => put_text_column(out, name),
        _ => out.extend_from_slice(NO_DATA),
    }
}

fn change_in(summary: &StatementsSummary) -> Option<&SessionChange> {
    summary.statements.first()?.change.as_ref()
}
