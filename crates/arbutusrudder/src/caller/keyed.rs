//! Requests with an idempotency key. The key is written in the same transaction as the change,
//! under a unique index on the endpoint, so that a retry at any instance, after any failover, finds
//! it.

use super::acknowledge::{await_majority, leading_term};
use super::attempt::{MemberAttempt, bounds_of};
use super::response::{put_complete, put_ready};
use super::serve::{SessionEnd, refuse};
use super::session::CallerSession;
use super::session_change;
use super::write::{self, WriteEnd, is_not_run, record_commit, report_unresolved};
use crate::exchange::{
    BatchEnd, BatchOutcome, CallerBatch, ExchangeError, HeldReplies, HoldRule, ReplySink,
    encode_batch, relay_batch,
};
use crate::group::PooledConnection;
use rudder_core::{LogTerm, RefusalNotice, RequestKey};
use rudder_endpoint::{ErrorFields, WireError, read_error_fields, tag};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// SQLSTATE of a key that exists already.
const UNIQUE_VIOLATION: &str = "23505";

/// SQLSTATE of a table that does not exist.
const TABLE_MISSING: &str = "42P01";

/// Statement that creates the table of keys. Operators may create it beforehand and prune it.
const CREATE_TABLE: &str =
    "CREATE TABLE IF NOT EXISTS rudder_requests (key text PRIMARY KEY, outcome text)";

const WHOLE_TRANSACTION_REFUSAL: &str =
    "a request with a key must be one statement or an explicit transaction";

/// A request that must run at most once.
pub(crate) struct KeyedRequest {
    /// Its idempotency key.
    pub(crate) key: RequestKey,
    /// Whether an earlier attempt sent its commit. A key found afterwards most likely comes from
    /// that attempt, so the recorded outcome is the response.
    commit_sent: bool,
}

impl KeyedRequest {
    /// Returns the key of a batch, from its comment or from the session's setting, which is used
    /// once.
    pub(crate) fn of(session: &mut CallerSession, batch: &CallerBatch) -> Option<Self> {
        let key = batch.key().cloned().or_else(|| session.key.take())?;
        Some(Self { key, commit_sent: false })
    }

    /// Whether an earlier attempt may have committed.
    pub(crate) fn may_have_committed(&self) -> bool {
        self.commit_sent
    }
}

/// Result of a simple statement that the proxy itself runs.
#[derive(Debug, Default)]
pub(crate) struct InternalReply {
    /// The error, if it failed.
    pub(crate) error: Option<ErrorFields>,
    /// The first column of the first row.
    pub(crate) value: Option<String>,
    /// Its command tag.
    pub(crate) tag: Vec<u8>,
}

/// Returns the statement that inserts a key.
pub(crate) fn key_insert_statement(key: &RequestKey) -> String {
    format!("INSERT INTO rudder_requests (key, outcome) VALUES ('{key}', '')")
}

/// Whether an error means that the key exists already.
pub(crate) fn is_duplicate(error: &ErrorFields) -> bool {
    error.sqlstate == UNIQUE_VIOLATION
}

/// Runs a batch under its key.
pub(crate) async fn run(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    keyed: &mut KeyedRequest,
) -> Result<WriteEnd, SessionEnd> {
    if batch.ends() {
        attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
        let notice = RefusalNotice::Unsupported(WHOLE_TRANSACTION_REFUSAL.to_owned());
        refuse(session, batch, &notice).await?;
        return Ok(WriteEnd::Answered);
    }
    match insert_key(&mut attempt, keyed).await {
        Ok(KeyInsertion::Inserted(term)) => run_change(session, batch, attempt, keyed, term).await,
        Ok(KeyInsertion::Duplicate(term)) => {
            resolve_duplicate(session, batch, attempt, keyed, term).await
        }
        Ok(KeyInsertion::NotRun) => {
            attempt.finish(session).await;
            Ok(WriteEnd::NotRun)
        }
        Err(error) => {
            // Only the key was sent, and its transaction was not committed.
            attempt.abandon(session, &error).await;
            Ok(WriteEnd::NotRun)
        }
    }
}

enum KeyInsertion {
    Inserted(Option<LogTerm>),
    Duplicate(Option<LogTerm>),
    NotRun,
}

async fn insert_key(
    attempt: &mut MemberAttempt,
    keyed: &KeyedRequest,
) -> Result<KeyInsertion, ExchangeError> {
    let status = attempt.first_status().await?;
    let bound = attempt.group.timing.statement_timeout;
    let pooled = &mut attempt.pooled;
    run_internal(pooled, "BEGIN", bound).await?;
    let reply = run_internal(pooled, &key_insert_statement(&keyed.key), bound).await?;
    let Some(error) = reply.error else {
        return Ok(KeyInsertion::Inserted(leading_term(&status)));
    };
    run_internal(pooled, "ROLLBACK", bound).await?;
    if is_duplicate(&error) {
        return Ok(KeyInsertion::Duplicate(leading_term(&status)));
    }
    if error.sqlstate == TABLE_MISSING {
        run_internal(pooled, CREATE_TABLE, bound).await?;
    }
    Ok(KeyInsertion::NotRun)
}

async fn run_change(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    keyed: &mut KeyedRequest,
    term: Option<LogTerm>,
) -> Result<WriteEnd, SessionEnd> {
    let mut queue = encode_batch(&mut attempt.pooled, batch);
    let group = Arc::clone(&attempt.group);
    let bounds = bounds_of(&group, attempt.member, batch);
    let mut sink = ReplySink::new(&mut session.link, HoldRule::UntilCommit);
    let relayed = relay_batch(&mut attempt.pooled, &mut queue, &mut sink, bounds).await;
    let held = sink.into_held();
    let outcome = match relayed {
        Ok(outcome) => outcome,
        Err(error) => {
            // The transaction was not committed, so closing the connection rolls it back.
            attempt.abandon(session, &error).await;
            let broken = held.relayed || matches!(error, ExchangeError::Caller(_));
            return if broken { Err(SessionEnd::Broken(error)) } else { Ok(WriteEnd::NotRun) };
        }
    };
    if outcome.error.is_some() {
        return Ok(roll_back(session, batch, attempt, &outcome, held).await);
    }
    keyed.commit_sent = true;
    let stamp = match commit(&mut attempt, keyed, &outcome.last_tag).await {
        Ok(true) => attempt.commit_stamp(term, false).await,
        Ok(false) => {
            // The member rolled back: a request with the same key committed first, or it is fenced.
            attempt.finish(session).await;
            return Ok(retry_if_unseen(session, &held));
        }
        Err(_) => None,
    };
    let Some(stamp) = stamp else {
        attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
        return Ok(retry_if_unseen(session, &held));
    };
    session_change::apply(session, batch, &mut attempt.pooled, &outcome);
    let member = attempt.member;
    attempt.finish(session).await;
    if !await_majority(&group, member, stamp).await {
        return Ok(retry_if_unseen(session, &held));
    }
    held.release(&mut session.link);
    record_commit(session, stamp);
    put_ready(session.link.write_buffer(), b'I');
    Ok(WriteEnd::Answered)
}

/// Rolls back a failed change, and relays its error unless a retry at another member may succeed.
async fn roll_back(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    outcome: &BatchOutcome,
    held: HeldReplies,
) -> WriteEnd {
    let retry = is_not_run(outcome, &held);
    let bound = attempt.group.timing.statement_timeout;
    let rolled_back = run_internal(&mut attempt.pooled, "ROLLBACK", bound).await;
    if retry {
        match rolled_back {
            Ok(_) => attempt.finish(session).await,
            Err(error) => attempt.abandon(session, &error).await,
        }
        return WriteEnd::NotRun;
    }
    held.release(&mut session.link);
    match rolled_back {
        Ok(_) => write::finish_uncommitted(session, batch, attempt, outcome).await,
        Err(error) => {
            attempt.abandon(session, &error).await;
            put_ready(session.link.write_buffer(), b'I');
        }
    }
    WriteEnd::Answered
}

/// Requests a retry unless the caller has received part of the response. A retry under the key is
/// safe even after a commit of unknown outcome: if the change was kept, its key is found.
fn retry_if_unseen(session: &mut CallerSession, held: &HeldReplies) -> WriteEnd {
    if held.relayed {
        report_unresolved(session);
        return WriteEnd::Answered;
    }
    WriteEnd::NotRun
}

/// Records the outcome and commits. Returns whether the member committed.
async fn commit(
    attempt: &mut MemberAttempt,
    keyed: &KeyedRequest,
    last_tag: &[u8],
) -> Result<bool, ExchangeError> {
    let bound = attempt.group.timing.statement_timeout;
    let outcome = String::from_utf8_lossy(last_tag).replace('\'', "");
    let record =
        format!("UPDATE rudder_requests SET outcome = '{outcome}' WHERE key = '{}'", keyed.key);
    run_internal(&mut attempt.pooled, &record, bound).await?;
    let reply = run_internal(&mut attempt.pooled, "COMMIT", bound).await?;
    Ok(reply.error.is_none() && reply.tag == b"COMMIT")
}

/// Responds to a request whose key exists: with the recorded outcome if this request wrote it, else
/// with a refusal that names it. In both cases a majority must first hold what was found.
async fn resolve_duplicate(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut attempt: MemberAttempt,
    keyed: &KeyedRequest,
    term: Option<LogTerm>,
) -> Result<WriteEnd, SessionEnd> {
    let bound = attempt.group.timing.statement_timeout;
    let query = format!("SELECT outcome FROM rudder_requests WHERE key = '{}'", keyed.key);
    let found = run_internal(&mut attempt.pooled, &query, bound).await;
    let value = match found {
        Ok(reply) => reply.value.unwrap_or_default(),
        Err(error) => {
            attempt.abandon(session, &error).await;
            return Ok(WriteEnd::NotRun);
        }
    };
    let Some(stamp) = attempt.commit_stamp(term, false).await else {
        attempt.abandon(session, &ExchangeError::MemberUnresponsive).await;
        return Ok(WriteEnd::NotRun);
    };
    let (group, member) = (Arc::clone(&attempt.group), attempt.member);
    attempt.finish(session).await;
    if !await_majority(&group, member, stamp).await {
        return Ok(WriteEnd::NotRun);
    }
    record_commit(session, stamp);
    let simple = batch.end == BatchEnd::Simple;
    if keyed.commit_sent && simple && !value.is_empty() {
        put_complete(session.link.write_buffer(), &value);
        put_ready(session.link.write_buffer(), b'I');
    } else {
        refuse(session, batch, &RefusalNotice::AlreadyRun { outcome: value }).await?;
    }
    Ok(WriteEnd::Answered)
}

/// Runs a simple statement of the proxy itself on a connection in use.
pub(crate) async fn run_internal(
    pooled: &mut PooledConnection,
    text: &str,
    bound: Duration,
) -> Result<InternalReply, ExchangeError> {
    pooled.connection.queue_query(text).map_err(|_| ExchangeError::MemberUnresponsive)?;
    timeout(bound, read_internal_reply(pooled))
        .await
        .map_err(|_| ExchangeError::MemberUnresponsive)?
        .map_err(ExchangeError::Member)
}

/// Reads the reply to a simple statement of the proxy itself that was queued before.
pub(crate) async fn read_internal_reply(
    pooled: &mut PooledConnection,
) -> Result<InternalReply, WireError> {
    let mut reply = InternalReply::default();
    loop {
        let frame = pooled.connection.link().next_frame().await?;
        match frame.tag {
            tag::ERROR if reply.error.is_none() => {
                reply.error = Some(read_error_fields(frame.body()));
            }
            tag::DATA_ROW if reply.value.is_none() => reply.value = first_column(frame.body()),
            tag::COMMAND_COMPLETE => {
                reply.tag = frame.body().strip_suffix(b"\0").unwrap_or_default().to_vec();
            }
            tag::READY => return Ok(reply),
            _ => {}
        }
    }
}

fn first_column(body: &[u8]) -> Option<String> {
    let size = i32::from_be_bytes(body.get(2..6)?.try_into().ok()?);
    let text = body.get(6..6 + usize::try_from(size).ok()?)?;
    String::from_utf8(text.to_vec()).ok()
}
