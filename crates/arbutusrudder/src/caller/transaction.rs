//! Serves batches inside a transaction, on the connection on which it began, until it ends.

use super::acknowledge::{await_majority, commit_stamp, read_status, request_status};
use super::attempt::bounds_of;
use super::keyed::{is_duplicate, key_insert_statement, run_internal};
use super::response::put_ready;
use super::serve::{SessionEnd, refuse};
use super::session::{CallerSession, PinnedConnection};
use super::session_change;
use super::write::{record_commit, report_unresolved};
use crate::exchange::{
    BatchEnd, BatchOutcome, CallerBatch, ExchangeError, HeldReplies, HoldRule, RelayBounds,
    ReplySink, encode_batch, relay_batch,
};
use rudder_core::RefusalNotice;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for rolling back the transaction of a caller that disconnected.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(2);

/// A sent batch, with the part of its response that is still held.
struct SentBatch {
    /// Whether the member's status was requested along with the batch.
    status_requested: bool,
    /// Time of the request, on this instance's clock.
    status_requested_at: Duration,
    /// The held part of the response.
    held: HeldReplies,
}

/// Serves a batch on the connection of the session's open transaction.
pub(crate) async fn serve(
    session: &mut CallerSession,
    batch: &CallerBatch,
) -> Result<(), SessionEnd> {
    let Some(pinned) = session.pinned.take() else {
        return Ok(());
    };
    if !pinned.skipping {
        return serve_on(session, batch, pinned).await;
    }
    session.restore_names(0);
    if batch.end == BatchEnd::Flush {
        session.pinned = Some(pinned);
        return Ok(());
    }
    // The member skips all messages up to the Sync, so only the Sync is sent. Otherwise replies
    // would be generated for skipped messages.
    let rest = CallerBatch { frames: Vec::new(), summaries: Vec::new(), executes: false, ..*batch };
    serve_on(session, &rest, pinned).await
}

async fn serve_on(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut pinned: PinnedConnection,
) -> Result<(), SessionEnd> {
    if let Some(notice) = insert_key(&mut pinned, batch).await {
        roll_back(session, pinned).await;
        return refuse(session, batch, &notice).await;
    }
    let status_requested_at = pinned.group.reports.now();
    let mut queue = encode_batch(&mut pinned.pooled, batch);
    // Between a Flush and its Sync the member has no explicit transaction, and commits at the Sync.
    let closes = batch.ends() || (pinned.status == b'I' && batch.end != BatchEnd::Flush);
    let pipelined = closes && batch.end != BatchEnd::Flush && !batch.copies_in();
    let status_requested = pipelined && request_status(&mut pinned.pooled).is_ok();
    let rule = if closes { HoldRule::UntilCommit } else { HoldRule::Never };
    let group = Arc::clone(&pinned.group);
    // A transaction holds a connection, but no slot.
    let bounds = RelayBounds { slot: None, ..bounds_of(&group, pinned.member, batch) };
    let mut sink = ReplySink::new(&mut session.link, rule);
    let relayed = relay_batch(&mut pinned.pooled, &mut queue, &mut sink, bounds).await;
    let held = sink.into_held();
    match relayed {
        Ok(outcome) => {
            let sent = SentBatch { status_requested, status_requested_at, held };
            conclude(session, batch, pinned, &outcome, sent).await
        }
        Err(error) if held.relayed || matches!(error, ExchangeError::Caller(_)) => {
            Err(SessionEnd::Broken(error))
        }
        Err(_) if closes => end_unresolved(session),
        Err(_) => refuse(session, batch, &RefusalNotice::TransactionLost).await,
    }
}

/// Whether a batch ends its transaction, judged by its text.
fn ends_transaction(batch: &CallerBatch) -> bool {
    batch.ends() && batch.executes
}

/// Inserts the transaction's key, if it has one, before its commit. Returns a refusal if this
/// fails.
async fn insert_key(pinned: &mut PinnedConnection, batch: &CallerBatch) -> Option<RefusalNotice> {
    let key = pinned.key.as_ref().filter(|_| ends_transaction(batch))?;
    let bound = pinned.group.timing.statement_timeout;
    match run_internal(&mut pinned.pooled, &key_insert_statement(key), bound).await {
        Ok(reply) => match reply.error {
            None => None,
            Some(error) if is_duplicate(&error) => {
                Some(RefusalNotice::AlreadyRun { outcome: "a transaction".to_owned() })
            }
            Some(_) => Some(RefusalNotice::TransactionLost),
        },
        Err(_) => Some(RefusalNotice::TransactionLost),
    }
}

async fn conclude(
    session: &mut CallerSession,
    batch: &CallerBatch,
    mut pinned: PinnedConnection,
    outcome: &BatchOutcome,
    sent: SentBatch,
) -> Result<(), SessionEnd> {
    session_change::apply(session, batch, &mut pinned.pooled, outcome);
    if outcome.status == 0 {
        pinned.skipping = outcome.error.is_some();
        sent.held.release(&mut session.link);
        session.pinned = Some(pinned);
        return Ok(());
    }
    if outcome.status == b'I' {
        return end_transaction(session, pinned, outcome, sent).await;
    }
    if sent.status_requested && !read_pending_status(&mut pinned, sent.status_requested_at).await {
        return refuse(session, batch, &RefusalNotice::TransactionLost).await;
    }
    sent.held.release(&mut session.link);
    pinned.status = outcome.status;
    pinned.skipping = false;
    put_ready(session.link.write_buffer(), outcome.status);
    session.pinned = Some(pinned);
    Ok(())
}

/// Reads the status that was requested after a batch that committed nothing.
async fn read_pending_status(pinned: &mut PinnedConnection, status_requested_at: Duration) -> bool {
    let group = &pinned.group;
    read_status(group, pinned.member, &mut pinned.pooled, status_requested_at).await.is_ok()
}

async fn end_transaction(
    session: &mut CallerSession,
    mut pinned: PinnedConnection,
    outcome: &BatchOutcome,
    sent: SentBatch,
) -> Result<(), SessionEnd> {
    let rolled_back = outcome.last_tag == b"ROLLBACK";
    if rolled_back {
        session.settings.clone_from(&pinned.settings_before);
        pinned.pooled.settings.clone_from(&pinned.settings_before);
    }
    if !sent.status_requested && request_status(&mut pinned.pooled).is_err() {
        return end_unresolved(session);
    }
    let group = Arc::clone(&pinned.group);
    let (member, term) = (pinned.member, pinned.term);
    // Nothing was committed: a transaction without a term is read-only on a replica, and one that
    // failed before a Flush was rolled back.
    if rolled_back || pinned.skipping || term.is_none() {
        if !read_pending_status(&mut pinned, sent.status_requested_at).await {
            return end_unresolved(session);
        }
        return_connection(session, pinned).await;
        sent.held.release(&mut session.link);
    } else {
        let pooled = &mut pinned.pooled;
        let stamp = commit_stamp(&group, member, pooled, term, sent.status_requested_at).await;
        let Some(stamp) = stamp else {
            return end_unresolved(session);
        };
        return_connection(session, pinned).await;
        if !await_majority(&group, member, stamp).await {
            return end_unresolved(session);
        }
        sent.held.release(&mut session.link);
        record_commit(session, stamp);
    }
    put_ready(session.link.write_buffer(), b'I');
    Ok(())
}

async fn return_connection(session: &CallerSession, pinned: PinnedConnection) {
    // Waits for a cancel request in progress: it must not affect the connection's next caller.
    *session.cancel.slot.lock().await = None;
    pinned.group.members[pinned.member].pool.put_idle(pinned.pooled);
}

fn end_unresolved(session: &mut CallerSession) -> Result<(), SessionEnd> {
    report_unresolved(session);
    Ok(())
}

async fn roll_back(session: &mut CallerSession, mut pinned: PinnedConnection) {
    let bound = pinned.group.timing.statement_timeout.min(ROLLBACK_TIMEOUT);
    if run_internal(&mut pinned.pooled, "ROLLBACK", bound).await.is_ok() {
        session.settings.clone_from(&pinned.settings_before);
        pinned.pooled.settings.clone_from(&pinned.settings_before);
        return_connection(session, pinned).await;
    }
}

/// Ends the transaction of a caller that disconnected. Its statements must not mix with those of
/// the connection's next caller, so the transaction is rolled back, or the connection closed if
/// that fails.
pub(crate) async fn abandon(session: &mut CallerSession) {
    if let Some(pinned) = session.pinned.take() {
        roll_back(session, pinned).await;
    }
}
