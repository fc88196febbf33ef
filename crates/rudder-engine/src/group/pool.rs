//! The connection pool of this instance for one member.
//!
//! Load pattern: a member accepts a few dozen connections from all instances together, and callers
//! hold them through the pauses within their transactions. Without a share per instance the busiest
//! instance takes all connections and the others are refused; without a queue a caller is refused
//! although a connection becomes free a millisecond later; without priorities, reads that can wait
//! are served before urgent writes. Limits: [`ConnectionShare`] sets the share,
//! [`ConnectionHeadroom`] the connections allowed beyond it, [`WaitQueue`] the order, [`DialGate`]
//! the dials after a failure, and the caller the wait deadline. Where instances lend each other
//! connections, [`PoolLoans`] holds what is added to the share.
//!
//! Where statements are forwarded to the holders of an account's connections, [`HolderBudget`] takes
//! the place of the share and says how many idle connections are kept.
//!
//! A member runs statements as the account that the connection was opened for, so a connection
//! serves one client account. If no further connection may be opened, the one that has been idle
//! longest is replaced by one for the account that needs it.

use super::link::PooledLink;
use super::pool_loans::PoolLoans;
use crate::interfaces::{LinkError, MemberDialer, MemberTarget};
use crate::statement::StatementError;
use crate::sync::lock;
use rudder_core::AccountName;
use rudder_decisions::{
    ConnectionHeadroom, ConnectionShare, DialFailure, DialGate, HolderBudget, LocalPool, WaitQueue,
};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Timeout for opening a connection. Leaves room for retransmissions of two lost packets (0.2 and
/// 0.4 s) and for the member's own processing.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time that an idle connection is kept. Long enough for the next statement of an active caller, as
/// a new connection takes a slot and 12 ms. Short because members keep connections of a failed
/// machine for some seconds after a power loss, and its idle ones block new connections.
const IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that an idle connection within a holder's budget is kept. Accounts of one statement in some
/// seconds still find theirs, and the budget leaves room for the connections of another fleet.
const KEPT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Connection pool for one member.
pub(crate) struct MemberPool {
    target: MemberTarget,
    dialer: Arc<dyn MemberDialer>,
    state: Mutex<PoolState>,
}

pub(super) struct PoolState {
    pub(super) idle: Vec<PooledLink>,
    /// Number of connections that are idle, in use or being opened.
    pub(super) open: u32,
    pub(super) share: u32,
    /// Number of connections that are kept for [`KEPT_IDLE_TIMEOUT`] while they are idle.
    kept: u32,
    /// Whether idle connections beyond the share are closed at once, and not after their timeout.
    is_share_strict: bool,
    pub(super) loans: PoolLoans,
    headroom: ConnectionHeadroom,
    pub(super) waiters: WaitQueue<WaitingCaller>,
    pub(super) gate: DialGate,
}

impl PoolState {
    /// Maximum number of open connections.
    pub(super) fn max_open(&self, now: Instant) -> u32 {
        let extra = if self.share > 0 { self.headroom.extra(now) } else { 0 };
        self.loans.limit(self.share) + extra
    }

    /// Reserves a slot for a new connection. If none is left, returns the connection that has been
    /// idle longest, which has to be closed to free its slot.
    fn reserve_slot(&mut self, now: Instant) -> Option<PooledLink> {
        if self.open >= self.max_open(now) && !self.idle.is_empty() {
            return Some(self.idle.remove(0));
        }
        self.open += 1;
        None
    }

    /// Removes the idle connections beyond a strict share. They stay counted as open until they are
    /// closed.
    fn take_beyond_share(&mut self) -> Vec<PooledLink> {
        let mut closed = Vec::new();
        while self.is_share_strict
            && self.open > count(closed.len()) + self.loans.limit(self.share)
            && let Some(link) = self.idle.pop()
        {
            closed.push(link);
        }
        closed
    }

    /// Removes the idle connections that the budget does not keep, the least recently used first:
    /// those beyond the kept ones after [`IDLE_TIMEOUT`], and all after [`KEPT_IDLE_TIMEOUT`].
    fn take_beyond_budget(&mut self, now: Instant) -> Vec<PooledLink> {
        let beyond_kept = self.idle.len().saturating_sub(self.kept as usize);
        let idle = std::mem::take(&mut self.idle);
        let (mut closed, mut kept) = (Vec::new(), Vec::new());
        for (index, link) in idle.into_iter().enumerate() {
            let unused = now.saturating_duration_since(link.used_at());
            let timeout = if index < beyond_kept { IDLE_TIMEOUT } else { KEPT_IDLE_TIMEOUT };
            if unused > timeout {
                closed.push(link);
            } else {
                kept.push(link);
            }
        }
        self.idle = kept;
        closed
    }

    /// Number of connections that can be granted immediately.
    fn free(&self, now: Instant) -> u32 {
        let unopened = self.max_open(now).saturating_sub(self.open);
        let unopened = if self.gate.may_begin(now) { unopened } else { 0 };
        count(self.idle.len()) + unopened
    }
}

/// User of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkUser {
    /// A caller with its client account, or a caller that needs none.
    Caller(Option<AccountName>),
    /// This instance itself. Its control commands can use a connection of any account.
    Control,
}

impl LinkUser {
    /// Whether the user can use a connection that was opened for `account`.
    fn accepts(&self, account: Option<&AccountName>) -> bool {
        match self {
            Self::Caller(own) => own.as_ref() == account,
            Self::Control => true,
        }
    }

    /// Account that a new connection is opened for.
    pub(super) fn account(&self) -> Option<&AccountName> {
        match self {
            Self::Caller(account) => account.as_ref(),
            Self::Control => None,
        }
    }
}

/// A request for a connection: its user and its rank.
#[derive(Clone, Debug)]
pub(crate) struct LinkRequest {
    pub(crate) user: LinkUser,
    /// Rank in the queue; the lowest is served first.
    pub(crate) rank: u8,
}

/// A caller in the queue for a connection.
pub(super) struct WaitingCaller {
    user: LinkUser,
    pub(super) granted: oneshot::Sender<ConnectionGrant>,
    /// Rank in the queue.
    pub(super) rank: u8,
    /// Whether the caller prefers this member. Otherwise it also waits at another member, and a
    /// connection borrowed for it here would not be used.
    pub(super) is_preferred: bool,
    /// Number of connections that must stay free for others after the grant.
    kept_free: u32,
}

/// Grant to a waiting caller.
pub(super) enum ConnectionGrant {
    /// An open connection.
    Link(PooledLink),
    /// A reserved slot in which the caller may open a connection.
    Dial(ConnectionSlot),
}

/// A request to join the queue of a pool.
#[derive(Clone, Debug)]
pub(super) struct QueueRequest {
    pub(super) link: LinkRequest,
    /// Whether this member is the first choice.
    pub(super) is_preferred: bool,
    /// Number of connections that must stay free for others after the grant.
    pub(super) kept_free: u32,
    /// Sequence number from an earlier entry in this queue, which keeps its order.
    pub(super) sequence: Option<u64>,
}

/// A caller's entry in the queue. Dropping it removes the caller from the queue.
pub(super) struct QueueEntry {
    pub(super) sequence: u64,
    pub(super) granted: oneshot::Receiver<ConnectionGrant>,
}

impl MemberPool {
    pub(crate) fn new(
        target: MemberTarget,
        dialer: Arc<dyn MemberDialer>,
        share: u32,
    ) -> Arc<Self> {
        let state = PoolState {
            idle: Vec::new(),
            open: 0,
            share,
            kept: 0,
            is_share_strict: true,
            loans: PoolLoans::default(),
            headroom: ConnectionHeadroom::default(),
            waiters: WaitQueue::default(),
            gate: DialGate::default(),
        };
        Arc::new(Self { target, dialer, state: Mutex::new(state) })
    }

    pub(crate) fn target(&self) -> &MemberTarget {
        &self.target
    }

    pub(super) fn state(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }

    /// Sets the share of connections, and whether there are fewer connections than instances.
    /// Closes idle connections beyond the share or past the idle timeout.
    pub(crate) fn set_share(self: &Arc<Self>, share: ConnectionShare, is_scarce: bool) {
        {
            let mut state = self.state();
            state.share = share.0;
            state.kept = 0;
            state.is_share_strict = true;
            state.headroom.set_scarce(is_scarce);
        }
        self.close_expired();
    }

    /// Sets the share to the budget of this instance as a holder, and keeps idle connections within
    /// the budget for longer. Connections beyond it are closed as without a budget, the least
    /// recently used ones first.
    pub(crate) fn set_budget(self: &Arc<Self>, budget: HolderBudget, is_scarce: bool) {
        self.set_budget_at(budget, is_scarce, Instant::now());
    }

    pub(super) fn set_budget_at(
        self: &Arc<Self>,
        budget: HolderBudget,
        is_scarce: bool,
        now: Instant,
    ) {
        {
            let mut state = self.state();
            state.share = budget.open_max;
            state.kept = budget.kept;
            state.is_share_strict = false;
            state.headroom.set_scarce(is_scarce);
        }
        self.close_expired_at(now);
    }

    /// Closes the idle connections beyond the share or past their idle timeout, and serves the
    /// queue.
    pub(crate) fn close_expired(self: &Arc<Self>) {
        self.close_expired_at(Instant::now());
    }

    fn close_expired_at(self: &Arc<Self>, now: Instant) {
        let closed = {
            let mut state = self.state();
            let mut closed = state.take_beyond_share();
            closed.extend(state.take_beyond_budget(now));
            closed
        };
        closed.into_iter().for_each(PooledLink::close);
        self.serve_queue();
    }

    /// Whether the pool has connections or waiting callers.
    pub(crate) fn is_active(&self) -> bool {
        let state = self.state();
        state.open > 0 || !state.waiters.is_empty()
    }

    /// State of the pool that decides whether a statement of `account` runs on this instance.
    pub(crate) fn local_pool(&self, account: &AccountName) -> LocalPool {
        let mut state = self.state();
        state.waiters.retain(|caller| !caller.granted.is_closed());
        LocalPool {
            is_warm: state.idle.iter().any(|link| link.account() == Some(account)),
            waiting: count(state.waiters.len()),
            open_max: state.max_open(Instant::now()),
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state().idle);
        idle.into_iter().for_each(PooledLink::close);
    }

    /// Closes idle connections that were not used since `cutoff`.
    ///
    /// A connection that times out may have lost its state in a device on the path, and so may
    /// others that were idle as long.
    pub(crate) fn close_unused_since(&self, cutoff: Instant) {
        let stale: Vec<PooledLink> = {
            let mut state = self.state();
            let idle = std::mem::take(&mut state.idle);
            let (stale, kept) = idle.into_iter().partition(|link| link.used_at() < cutoff);
            state.idle = kept;
            stale
        };
        stale.into_iter().for_each(PooledLink::close);
    }

    /// Number of further callers that can be served without waiting.
    pub(crate) fn spare_connections(&self) -> u32 {
        let mut state = self.state();
        state.waiters.retain(|caller| !caller.granted.is_closed());
        state.free(Instant::now()).saturating_sub(count(state.waiters.len()))
    }

    /// Maximum number of connections that this instance may hold now.
    pub(crate) fn max_connections(&self) -> u32 {
        self.state().max_open(Instant::now())
    }

    /// Whether a recent dial found the member unreachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.state().gate.is_unreachable(Instant::now())
    }

    /// Whether the pool can grant nothing: no connection is idle and the member counts as
    /// unreachable.
    pub(super) fn is_unavailable(&self) -> bool {
        let state = self.state();
        state.idle.is_empty() && state.gate.is_unreachable(Instant::now())
    }

    /// Adds a caller to the queue and serves it immediately if a connection is available to it.
    pub(super) fn join_queue(self: &Arc<Self>, request: QueueRequest) -> QueueEntry {
        let (sender, granted) = oneshot::channel();
        let LinkRequest { user, rank } = request.link;
        let QueueRequest { is_preferred, kept_free, .. } = request;
        let caller = WaitingCaller { user, granted: sender, rank, is_preferred, kept_free };
        let sequence = {
            let mut state = self.state();
            match request.sequence {
                Some(sequence) => {
                    state.waiters.requeue(rank, sequence, caller);
                    sequence
                }
                None => state.waiters.push(rank, caller),
            }
        };
        self.serve_queue();
        self.report_loan_need();
        QueueEntry { sequence, granted }
    }

    /// Grants available connections and slots to waiting callers.
    pub(super) fn serve_queue(self: &Arc<Self>) {
        while let Some((caller, grant)) = self.next_grant() {
            // If the caller has just stopped waiting, dropping the grant frees it again.
            drop(caller.granted.send(grant));
        }
    }

    fn next_grant(self: &Arc<Self>) -> Option<(WaitingCaller, ConnectionGrant)> {
        let now = Instant::now();
        let mut state = self.state();
        let free = state.free(now);
        if free == 0 {
            return None;
        }
        state.waiters.retain(|caller| !caller.granted.is_closed());
        // If the pool may hold only one connection, it is available to all requests.
        let max_kept_free = state.max_open(now).saturating_sub(1);
        let PoolState { idle, waiters, gate, loans, .. } = &mut *state;
        let may_dial = |rank| gate.may_begin_for(loans.is_urgent(rank), now);
        let position = |user: &LinkUser| idle.iter().rposition(|link| user.accepts(link.account()));
        let caller = waiters.pop_where(|caller| {
            let enough_free = caller.kept_free.min(max_kept_free) < free;
            enough_free && (may_dial(caller.rank) || position(&caller.user).is_some())
        })?;
        if let Some(index) = position(&caller.user) {
            let link = idle.remove(index);
            state.record_use();
            return Some((caller, ConnectionGrant::Link(link)));
        }
        state.gate.try_begin(now);
        let replaced = state.reserve_slot(now);
        state.record_use();
        drop(state);
        if let Some(link) = replaced {
            link.close_for_replacement();
        }
        Some((caller, ConnectionGrant::Dial(ConnectionSlot::new(self))))
    }

    /// Opens a connection in a reserved slot.
    pub(super) async fn dial(
        self: &Arc<Self>,
        slot: ConnectionSlot,
        account: Option<&AccountName>,
    ) -> Result<PooledLink, LinkError> {
        let dial = self.dialer.dial(&self.target, account);
        let dialed = match tokio::time::timeout(DIAL_TIMEOUT, dial).await {
            Ok(dialed) => dialed,
            Err(_) => Err(LinkError::Silent),
        };
        match dialed {
            Ok(link) => {
                slot.keep_counted();
                self.state().gate.record_success();
                let link = PooledLink::new(Arc::clone(self), link, account.cloned());
                self.serve_queue();
                Ok(link)
            }
            Err(reason) => {
                self.record_dial_failure(&reason);
                Err(reason)
            }
        }
    }

    fn record_dial_failure(self: &Arc<Self>, reason: &LinkError) {
        let (failure, code) = match reason {
            LinkError::Refused(StatementError::ConnectionLimit) => {
                (DialFailure::ConnectionLimit, "connection_limit")
            }
            _ => (DialFailure::Unreachable, "unreachable"),
        };
        let pause = {
            let now = Instant::now();
            let mut state = self.state();
            if failure == DialFailure::ConnectionLimit {
                state.headroom.record_refusal(now);
            }
            state.gate.record_failure(failure, now)
        };
        self.serve_queue_after(pause);
        metrics::counter!("rudder_dials_failed_total", "reason" => code).increment(1);
        log::info!(
            service:% = self.target.service, member:% = self.target.member, reason:% = reason,
            outcome = code; "a connection to a member was not opened"
        );
    }

    /// Serves the queue again after the pause that follows a failed dial.
    fn serve_queue_after(self: &Arc<Self>, pause: Duration) {
        let pool = Arc::downgrade(self);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            if let Some(pool) = pool.upgrade() {
                pool.serve_queue();
            }
        });
    }

    /// Returns a connection to the pool, or closes it if the pool is over its limit.
    pub(super) fn return_link(link: PooledLink) {
        let pool = Arc::clone(link.pool());
        {
            let mut state = pool.state();
            if state.open <= state.max_open(Instant::now()) {
                state.idle.push(link);
            } else {
                drop(state);
                link.close();
            }
        }
        pool.serve_queue();
    }

    /// Releases the slot of a closed connection and serves the queue.
    pub(super) fn release_slot(self: &Arc<Self>) {
        {
            let mut state = self.state();
            state.open = state.open.saturating_sub(1);
        }
        self.serve_queue();
    }
}

/// A slot that counts as open while a connection is being opened; released when dropped.
pub(super) struct ConnectionSlot {
    pool: Option<Arc<MemberPool>>,
}

impl ConnectionSlot {
    fn new(pool: &Arc<MemberPool>) -> Self {
        Self { pool: Some(Arc::clone(pool)) }
    }

    /// Keeps the slot counted for the opened connection.
    fn keep_counted(mut self) {
        self.pool = None;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.state().gate.record_cancellation();
            pool.release_slot();
        }
    }
}

pub(super) fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
