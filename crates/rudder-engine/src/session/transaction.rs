//! Transactions, which are pinned to one connection from the first statement to the end.

use super::caller::staleness_bound;
use super::job::{StatementJob, refuse, retry_text};
use super::read::{ReadConnection, ReadFailure};
use super::strict::{InFlightGuard, in_doubt};
use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::forwarding::{ForwardResult, RemoteStart, RemoteTransaction};
use crate::group::{ExchangeError, GroupMember, PooledLink, ServiceGroup};
use crate::lead::LeaderLease;
use crate::limits::{ClaimError, ClaimGrant, RefusedOperation};
use crate::statement::{
    MemberCommand, RequestId, StatementEffect, StatementError, StatementReply, TransactionState,
};
use rudder_core::{LogStamp, ServiceName};
use rudder_decisions::WaitingWork;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for the rollback of an abandoned transaction; after it the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay before a statement is retried that the member was too busy to run.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A caller's transaction. It begins at a member with its first statement.
pub(crate) struct OpenTransaction {
    read_only: bool,
    access: RouteAccess,
    pinned: Option<PinnedLink>,
    wrote: bool,
    /// Whether the transaction was claimed against the account's operation limit.
    claimed: bool,
    /// Grant of the claim, until the transaction may have begun at a member.
    grant: Option<ClaimGrant>,
    place: TransactionPlace,
}

/// Where a transaction runs.
enum TransactionPlace {
    Undecided,
    Local,
    Remote(RemoteTransaction),
}

/// Connection that a transaction is pinned to.
struct PinnedLink {
    link: PooledLink,
    member: Arc<GroupMember>,
    group: Arc<ServiceGroup>,
    /// Lease that covers replies of the primary; `None` where a replica serves.
    lease: Option<LeaderLease>,
}

impl PinnedLink {
    /// Whether replies may be returned to the caller: at the primary only under a valid lease.
    fn may_reply(&self) -> bool {
        self.lease.as_ref().is_none_or(|lease| self.group.holds(lease))
    }
}

impl OpenTransaction {
    pub(super) fn new(read_only: bool, access: RouteAccess) -> Self {
        let place = TransactionPlace::Undecided;
        Self { read_only, access, pinned: None, wrote: false, claimed: false, grant: None, place }
    }

    /// Creates a transaction that runs at this instance.
    pub(crate) fn new_local(read_only: bool, access: RouteAccess) -> Self {
        Self { place: TransactionPlace::Local, ..Self::new(read_only, access) }
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.access.route.service
    }

    pub(super) fn access(&self) -> &RouteAccess {
        &self.access
    }

    /// Claims the transaction against the account's operation limit. Later calls do nothing.
    pub(super) async fn claim(
        &mut self,
        engine: &ProxyEngine,
        id: &RequestId,
        refused: Option<RefusedOperation>,
    ) -> Result<(), ClaimError> {
        if std::mem::replace(&mut self.claimed, true) {
            return Ok(());
        }
        self.grant = engine.claim_operation(&self.access, id, refused).await?;
        Ok(())
    }

    /// Whether the transaction has sent a write.
    pub(super) fn wrote(&self) -> bool {
        self.wrote
    }

    /// Rolls back in a background task.
    pub(crate) fn abandon(self) {
        let Some(mut pinned) = self.pinned else { return };
        tokio::spawn(async move {
            if pinned.link.state() == TransactionState::Idle {
                return;
            }
            // A failed exchange closes the connection, which also rolls back the transaction.
            if let Err(error) =
                pinned.link.exchange(&[MemberCommand::Rollback], ROLLBACK_TIMEOUT).await
            {
                log::debug!(
                    member:% = pinned.member.name(), reason:% = error.reason;
                    "a rollback failed and the connection was closed"
                );
            }
        });
    }

    /// Runs one statement; the state of the reply says whether the transaction stays open.
    pub(crate) async fn run(
        &mut self,
        engine: &ProxyEngine,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> StatementReply {
        if let Some(result) = self.run_remote(engine, job, session_floor).await {
            return match result {
                ForwardResult::Reply(reply) if reply.error().is_none() => reply,
                ForwardResult::Reply(reply) => {
                    StatementReply { state: TransactionState::Failed, ..reply }
                }
                _ => aborted(job, "the instance that ran the transaction was lost"),
            };
        }
        if let Err(reply) = self.pin(engine, job, session_floor).await {
            return reply;
        }
        let Some(pinned) = self.pinned.as_mut() else { return aborted(job, "no connection") };
        if !pinned.may_reply() {
            return aborted(job, "the primary was changed");
        }
        if job.effect == StatementEffect::Write {
            self.wrote = true;
        }
        let _guard = pinned.lease.as_ref().map(|_| InFlightGuard::new(&pinned.group));
        let reply = match run_pinned(pinned, job).await {
            Ok(reply) => reply,
            Err(error) => {
                log::info!(
                    request:% = job.id, service:% = job.service, member:% = pinned.member.name(),
                    reason:% = error.reason, outcome = "rolled_back";
                    "a transaction lost its connection"
                );
                // No commit was sent, and the member rolls back when the connection closes.
                return aborted(job, "the connection to the member was lost");
            }
        };
        // A superseded primary must not serve a read within a transaction.
        if !pinned.may_reply() {
            return aborted(job, "the primary was changed");
        }
        match reply.error() {
            None => reply,
            // Any error aborts the transaction, even if the member keeps it open: otherwise the
            // caller could commit without a statement that it expects to be part of it.
            Some(error) => {
                log::info!(
                    request:% = job.id, service:% = job.service, member:% = pinned.member.name(), reason:% = error,
                    outcome = "rolled_back"; "a statement of a transaction failed"
                );
                StatementReply { state: TransactionState::Failed, ..reply }
            }
        }
    }

    /// Commits the transaction.
    pub(crate) async fn commit(
        mut self,
        engine: &ProxyEngine,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> StatementReply {
        if let Some(result) = self.run_remote(engine, job, session_floor).await {
            let reply = match result {
                ForwardResult::Reply(reply) => reply,
                ForwardResult::Lost(_) if self.wrote => in_doubt("no answer to the commit"),
                _ => aborted(job, "the instance that ran the transaction was lost"),
            };
            return StatementReply { state: TransactionState::Idle, ..reply };
        }
        if let Err(reply) = self.pin(engine, job, session_floor).await {
            return StatementReply { state: TransactionState::Idle, ..reply };
        }
        let wrote = self.wrote;
        let reply = match self.pinned.as_mut() {
            None => aborted(job, "no connection"),
            Some(pinned) if !pinned.may_reply() => aborted(job, "the primary was changed"),
            Some(pinned) => commit_pinned(pinned, job, wrote).await,
        };
        self.abandon();
        StatementReply { state: TransactionState::Idle, ..reply }
    }

    /// Runs a statement or the commit at a holder; returns `None` if the transaction runs at this
    /// instance. Its first statement decides.
    async fn run_remote(
        &mut self,
        engine: &ProxyEngine,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Option<ForwardResult> {
        let (access, read_only) = (&self.access, self.read_only);
        let result = match &mut self.place {
            TransactionPlace::Local => return None,
            TransactionPlace::Remote(remote) => {
                engine.continue_transaction(remote, access, job, session_floor).await
            }
            TransactionPlace::Undecided => {
                let start = engine.start_transaction(access, read_only, job, session_floor).await;
                match start {
                    RemoteStart::Local => {
                        self.place = TransactionPlace::Local;
                        return None;
                    }
                    RemoteStart::Rejected(reply) => ForwardResult::Reply(reply),
                    RemoteStart::Remote(remote, result) => {
                        self.place = TransactionPlace::Remote(remote);
                        result
                    }
                }
            }
        };
        self.wrote |= job.effect == StatementEffect::Write;
        // The holder's reply does not tell whether the transaction began at a member, so the grant
        // is returned only if no holder ran the first statement.
        if let (Some(grant), false) = (self.grant.take(), job.may_have_run()) {
            engine.return_grant(grant).await;
        }
        Some(result)
    }

    /// Pins the transaction to a connection and begins it there, unless it is already pinned.
    async fn pin(
        &mut self,
        engine: &ProxyEngine,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Result<(), StatementReply> {
        if self.pinned.is_some() {
            return Ok(());
        }
        let grant = self.grant.take();
        let result = self.begin(engine, job, session_floor).await;
        if let (Err(_), Some(grant), false) = (&result, grant, job.may_have_run()) {
            engine.return_grant(grant).await;
        }
        result
    }

    async fn begin(
        &mut self,
        engine: &ProxyEngine,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> Result<(), StatementReply> {
        let route = Arc::clone(&self.access.route);
        let group = engine.group(&route.service);
        let replica_allowed = self.read_only && staleness_bound(&route).is_some();
        if replica_allowed {
            match engine.begin_bounded(&route, job, session_floor).await {
                Ok(ReadConnection { link, member }) => {
                    self.pinned = Some(PinnedLink { link, member, group, lease: None });
                    return Ok(());
                }
                Err(ReadFailure::Reply(reply)) => return Err(reply),
                Err(ReadFailure::UnknownPosition) => {}
            }
        }
        self.pinned = Some(begin_strict(engine, &group, job, self.read_only).await?);
        Ok(())
    }
}

/// Begins the transaction at the primary, with retries until the job's wait deadline.
async fn begin_strict(
    engine: &ProxyEngine,
    group: &Arc<ServiceGroup>,
    job: &StatementJob,
    read_only: bool,
) -> Result<PinnedLink, StatementReply> {
    loop {
        let acquired = engine.acquire_primary(group, job, WaitingWork::StrictTransaction).await;
        let mut connection =
            acquired.map_err(|reason| refuse(group, job, reason, TransactionState::Failed))?;
        let sent_at = boot_time();
        let floor = group.newest_position();
        let timeout = job.time_remaining();
        let begin_result = job.begin_on(&mut connection.link, read_only, floor, timeout).await;
        let reason = match begin_result {
            Ok(reply) if reply.error().is_none() => {
                if let Some(position) = reply.position {
                    group.record_position(&connection.lease, sent_at, position);
                }
                return Ok(PinnedLink {
                    link: connection.link,
                    member: connection.member,
                    group: Arc::clone(group),
                    lease: Some(connection.lease),
                });
            }
            Ok(reply) => reply.error().map_or_else(String::new, ToString::to_string),
            Err(error) => error.reason.to_string(),
        };
        log::info!(
            request:% = job.id, service:% = job.service, member:% = connection.member.name(), reason:% = reason;
            "a transaction did not begin"
        );
        if job.wait_remaining() < RETRY_DELAY {
            let reason = "the primary began no transaction";
            return Err(refuse(group, job, reason, TransactionState::Failed));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Runs a statement on the pinned connection and retries it while the member is too busy.
async fn run_pinned(
    pinned: &mut PinnedLink,
    job: &StatementJob,
) -> Result<StatementReply, ExchangeError> {
    loop {
        let reply = job.run_on(&mut pinned.link, None, job.time_remaining()).await?;
        let busy = reply.error() == Some(&StatementError::Busy);
        if !busy || reply.state != TransactionState::Open || job.wait_remaining() < RETRY_DELAY {
            return Ok(reply);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn commit_pinned(pinned: &mut PinnedLink, job: &StatementJob, wrote: bool) -> StatementReply {
    let _guard = pinned.lease.as_ref().map(|_| InFlightGuard::new(&pinned.group));
    let sent_at = boot_time();
    let commit_floor = pinned.group.next_commit_floor();
    match run_pinned(pinned, job).await {
        Ok(reply) => {
            let reply = classify_commit(pinned, job, wrote, sent_at, reply);
            if wrote && reply.error().is_none() {
                pinned.group.raise_acknowledged(commit_floor);
            }
            reply
        }
        Err(error) if wrote => {
            log::warn!(
                request:% = job.id, service:% = job.service, member:% = pinned.member.name(), reason:% = error.reason,
                outcome = "in_doubt"; "a commit got no answer"
            );
            in_doubt("no answer to the commit")
        }
        Err(_) => aborted(job, "the connection to the member was lost"),
    }
}

fn classify_commit(
    pinned: &PinnedLink,
    job: &StatementJob,
    wrote: bool,
    sent_at: Duration,
    reply: StatementReply,
) -> StatementReply {
    if let Some(error) = reply.error() {
        log::info!(
            request:% = job.id, service:% = job.service, member:% = pinned.member.name(), reason:% = error;
            "a commit was not done"
        );
        return match error {
            error if error.guarantees_not_run() => aborted(job, "the member did not commit"),
            _ if wrote => in_doubt("the member answered the commit with an error"),
            _ => reply,
        };
    }
    // A commit at a superseded primary must not be acknowledged.
    if wrote && !pinned.may_reply() {
        log::warn!(
            request:% = job.id, service:% = job.service, member:% = pinned.member.name(), outcome = "in_doubt";
            "the lease expired during a commit"
        );
        return in_doubt("the primary was changed during the commit");
    }
    if let (Some(lease), Some(position)) = (&pinned.lease, reply.position) {
        pinned.group.record_position(lease, sent_at, position);
    }
    reply
}

fn aborted(job: &StatementJob, reason: &str) -> StatementReply {
    log::info!(
        request:% = job.id, service:% = job.service, reason = reason, outcome = "rolled_back";
        "a transaction was aborted"
    );
    let text = retry_text(reason);
    StatementReply::refusal(StatementError::Aborted, &text, TransactionState::Failed)
}
