//! One attempt to run a batch at one member. It takes an admission slot and a connection, and reads
//! the member's status on that connection before the batch.

use super::acknowledge::{commit_stamp, read_status, request_status};
use super::session::CallerSession;
use crate::exchange::{CallerBatch, ExchangeError, RelayBounds, sync_settings};
use crate::group::{AdmissionSlot, GroupState, PoolError, PooledConnection};
use displaydoc::Display;
use rudder_core::{ControlStatement, LogStamp, LogTerm, MemberStatus};
use rudder_decisions::{AdmissionRequest, RefusalReason, WorkClass};
use rudder_endpoint::{ErrorFields, read_error_fields};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Reason why an attempt did not start its batch. Nothing of the batch took effect.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum AttemptError {
    /// rejected by admission control: {0:?}
    Refused(RefusalReason),
    /// no connection: {0}
    Pool(PoolError),
    /// the member refused the session's settings: {0:?}
    Settings(ErrorFields),
}

impl std::error::Error for AttemptError {}

/// A member connection in use for one batch.
pub(crate) struct MemberAttempt {
    pub(crate) group: Arc<GroupState>,
    /// The member's index.
    pub(crate) member: usize,
    pub(crate) pooled: PooledConnection,
    /// Whether settings statements were queued first, so that their reply is to be skipped.
    settings_queued: bool,
    fingerprint: u64,
    started: Instant,
    status_requested_at: Duration,
    _slot: AdmissionSlot,
    _load: LoadGuard,
}

/// Counts a statement as in flight at a member until dropped.
struct LoadGuard {
    group: Arc<GroupState>,
    member: usize,
}

impl LoadGuard {
    fn new(group: &Arc<GroupState>, member: usize) -> Self {
        group.members[member].in_flight.fetch_add(1, Ordering::Relaxed);
        Self { group: Arc::clone(group), member }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.group.members[self.member].in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Properties of a batch that matter for admission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptWork {
    /// Whether it reads or writes.
    pub(crate) class: WorkClass,
    /// Hash that is equal for batches that differ only in their literals.
    pub(crate) fingerprint: u64,
}

impl AttemptWork {
    /// Returns the properties of `batch`.
    pub(crate) fn of(batch: &CallerBatch, class: WorkClass) -> Self {
        Self { class, fingerprint: batch.fingerprint() }
    }
}

/// Waits for an admission slot at a member, within the limits of the caller's kind.
pub(crate) async fn acquire_slot(
    session: &CallerSession,
    group: &Arc<GroupState>,
    member: usize,
    work: AttemptWork,
    deadline: Instant,
) -> Result<AdmissionSlot, RefusalReason> {
    let class = work.class;
    let request = AdmissionRequest {
        lane: group.lane(member),
        kind: session.caller.kind.clone(),
        caller: session.admission_key(),
        class,
        size: group.estimated_size(work.fingerprint),
        sheddable: session.caller.shed == rudder_settings::ShedOrder::First,
        in_flight_max: session.caller.in_flight_max,
        queue_wait: session.caller.queue_wait,
        deadline,
    };
    let requested_at = Instant::now();
    let outcome = group.admission.acquire(&request).await;
    metrics::histogram!("rudder_queue_seconds", "class" => class.to_string())
        .record(requested_at.elapsed());
    if let Err(reason) = &outcome {
        log::info!(
            target: "rudder::admission", service:% = group.service.name,
            member:% = group.members[member].name(), kind:% = session.caller.kind,
            class:% = class, reason:% = reason.word,
            retry_after_ms = reason.retry_after.as_millis() as u64; "request rejected by admission control"
        );
    }
    outcome
}

impl MemberAttempt {
    /// Takes a slot and a connection, and queues what precedes the batch: the session's settings
    /// and a request for the member's status.
    pub(crate) async fn begin(
        session: &mut CallerSession,
        group: &Arc<GroupState>,
        member: usize,
        work: AttemptWork,
        deadline: Instant,
    ) -> Result<Self, AttemptError> {
        let slot = acquire_slot(session, group, member, work, deadline)
            .await
            .map_err(AttemptError::Refused)?;
        let load = LoadGuard::new(group, member);
        let within = deadline.saturating_duration_since(Instant::now());
        let timing = &group.timing;
        let pool = &group.members[member].pool;
        let mut pooled = pool
            .acquire(within, timing.connect_timeout, timing.idle_check_after)
            .await
            .map_err(AttemptError::Pool)?;
        let unsent = |error| AttemptError::Pool(PoolError::Endpoint(error));
        let settings_queued = sync_settings(&mut pooled, &session.settings).map_err(unsent)?;
        let mut settings_queued = settings_queued;
        if settings_queued && !session.settings_verified {
            settings_queued = false;
            verify_settings(session, &mut pooled, timing.statement_timeout).await?;
        }
        let request_text = ControlStatement::Status.to_string();
        pooled.connection.queue_query(&request_text).map_err(unsent)?;
        let target = (pool.address().address, pooled.connection.cancel_target());
        *session.cancel.slot.lock().await = Some(target);
        Ok(Self {
            group: Arc::clone(group),
            member,
            pooled,
            settings_queued,
            fingerprint: work.fingerprint,
            started: Instant::now(),
            status_requested_at: group.reports.now(),
            _slot: slot,
            _load: load,
        })
    }

    /// Queues a request for the member's status after the batch.
    pub(crate) fn request_next_status(&mut self) -> Result<(), ExchangeError> {
        request_status(&mut self.pooled)
    }

    /// Reads the status that was requested before the batch.
    pub(crate) async fn first_status(&mut self) -> Result<MemberStatus, ExchangeError> {
        if self.settings_queued {
            self.settings_queued = false;
            let bound = self.group.timing.statement_timeout;
            skip_reply(&mut self.pooled, bound).await?;
        }
        self.next_status().await
    }

    /// Reads the next requested status. A request after the batch was queued together with it, so
    /// it counts as requested when the batch began.
    pub(crate) async fn next_status(&mut self) -> Result<MemberStatus, ExchangeError> {
        read_status(&self.group, self.member, &mut self.pooled, self.status_requested_at).await
    }

    /// Returns the stamp of what the batch committed at `term`, or `None` if it cannot be
    /// determined.
    pub(crate) async fn commit_stamp(
        &mut self,
        term: Option<LogTerm>,
        status_requested: bool,
    ) -> Option<LogStamp> {
        if !status_requested {
            self.request_next_status().ok()?;
        }
        commit_stamp(&self.group, self.member, &mut self.pooled, term, self.status_requested_at)
            .await
    }

    /// Ends an attempt and returns its connection to the pool. The member must be ready and outside
    /// of a transaction.
    pub(crate) async fn finish(self, session: &CallerSession) {
        let member = &self.group.members[self.member];
        let elapsed = self.started.elapsed();
        member.record_latency(elapsed);
        self.group
            .record_service_time(self.fingerprint, elapsed.saturating_sub(member.round_trip()));
        self.group.record_outcome(self.member, true);
        // Waits for a cancel request in progress: it must not affect the connection's next caller.
        *session.cancel.slot.lock().await = None;
        member.pool.put_idle(self.pooled);
    }

    /// Ends an attempt and closes its connection, whose state is unknown, so that a late reply
    /// reaches no other caller.
    pub(crate) async fn abandon(self, session: &CallerSession, error: &ExchangeError) {
        let member = &self.group.members[self.member];
        if !matches!(error, ExchangeError::Caller(_)) {
            self.group.record_outcome(self.member, false);
            self.group.record_report(self.member, self.status_requested_at, None);
        }
        *session.cancel.slot.lock().await = None;
        log::info!(
            target: "rudder::attempt", service:% = self.group.service.name,
            member:% = member.name(), reason:% = error; "connection to member closed after a failure"
        );
    }

    /// Releases the slot and keeps the connection for a transaction.
    pub(crate) fn into_pooled(self) -> PooledConnection {
        self.group.members[self.member].record_latency(self.started.elapsed());
        self.pooled
    }
}

/// Reads the reply to the queued settings statements.
async fn skip_reply(pooled: &mut PooledConnection, within: Duration) -> Result<(), ExchangeError> {
    let link = pooled.connection.link();
    let skip = async {
        loop {
            let frame = link.next_frame().await.map_err(ExchangeError::Member)?;
            match frame.tag {
                rudder_endpoint::tag::READY => return Ok(()),
                // The settings run in one transaction with the RESET, which is rolled back with
                // them. Without this error, the caller would get the settings of the
                // connection's previous caller.
                rudder_endpoint::tag::ERROR => {
                    return Err(ExchangeError::Settings(read_error_fields(frame.body())));
                }
                _ => {}
            }
        }
    };
    timeout(within, skip).await.map_err(|_| ExchangeError::MemberUnresponsive)?
}

/// Waits until the member accepts settings that no member has accepted yet. Login settings may be
/// invalid, and the session's statements must not run without them.
async fn verify_settings(
    session: &mut CallerSession,
    pooled: &mut PooledConnection,
    within: Duration,
) -> Result<(), AttemptError> {
    match skip_reply(pooled, within).await {
        Ok(()) => {
            session.settings_verified = true;
            Ok(())
        }
        Err(ExchangeError::Settings(fields)) => Err(AttemptError::Settings(fields)),
        Err(_) => Err(AttemptError::Pool(PoolError::Exhausted)),
    }
}

/// Returns the timeouts for relaying `batch` at a member of `group`.
pub(crate) fn bounds_of<'a>(
    group: &'a GroupState,
    member: usize,
    batch: &CallerBatch,
) -> RelayBounds<'a> {
    RelayBounds {
        member: &group.members[member],
        member_timeout: group.timing.statement_timeout,
        caller_timeout: group.timing.transaction_idle_timeout,
        slot: Some((group, member)),
        end: batch.end,
    }
}
