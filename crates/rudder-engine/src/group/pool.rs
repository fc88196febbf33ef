//! The connections of this instance to one member.
//!
//! Load pattern: a member takes a few dozen connections from all instances together, and callers
//! hold them over the pauses of their transactions. Without a share of its own the busiest instance
//! takes them all and the rest are refused; without a queue a caller is refused although a
//! connection comes free a millisecond later; without priorities the reads that can wait stand
//! before orders. Limits: the share comes from [`ConnectionShare`], what may be held beyond it from
//! [`ConnectionHeadroom`], the order from [`WaitQueue`], dials after a failure from [`DialGate`], the
//! wait from the caller.
//!
//! A member runs work in the name that a connection was opened with, so a connection serves one client
//! account. Where all places are taken, the one that was idle for longest gives way to another account.

use super::link::PooledLink;
use crate::border::{LinkError, MemberDialer, MemberTarget};
use crate::statement::StatementError;
use crate::sync::lock;
use rudder_core::AccountName;
use rudder_decisions::{ConnectionHeadroom, ConnectionShare, DialFailure, DialGate, WaitQueue};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The most time for opening a connection: two lost packets' resends (0.2 and 0.4 s) and the
/// member's own work fit in.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long an idle connection is kept: long enough for the statements of a caller that is at work,
/// as a new one takes a slot and 12 ms.
///
/// Guards against callers that are refused after a loss of power: members keep the connections of
/// a lost machine for some seconds, and what was idle there takes the place of a new one.
const IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// The connections to one member.
pub(crate) struct MemberPool {
    target: MemberTarget,
    dialer: Arc<dyn MemberDialer>,
    state: Mutex<PoolState>,
}

struct PoolState {
    idle: Vec<PooledLink>,
    /// Connections that are idle, in use or being opened.
    open: u32,
    share: u32,
    headroom: ConnectionHeadroom,
    waiters: WaitQueue<WaitingCaller>,
    gate: DialGate,
}

impl PoolState {
    /// How many connections may be open.
    fn max_open(&self, now: Instant) -> u32 {
        self.share + if self.share > 0 { self.headroom.extra(now) } else { 0 }
    }

    /// Counts in a connection that is to be opened; returns the one that must be closed for it, which
    /// is the one that was idle for longest.
    fn reserve_slot(&mut self, now: Instant) -> Option<PooledLink> {
        if self.open >= self.max_open(now) && !self.idle.is_empty() {
            return Some(self.idle.remove(0));
        }
        self.open += 1;
        None
    }

    /// How many connections could be had at once.
    fn free(&self, now: Instant) -> u32 {
        let unopened = self.max_open(now).saturating_sub(self.open);
        let unopened = if self.gate.may_begin(now) { unopened } else { 0 };
        count(self.idle.len()) + unopened
    }
}

/// For whom a connection is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkUser {
    /// Callers of a client account, or callers who need none.
    Caller(Option<AccountName>),
    /// This instance, for whose commands any connection will do.
    Control,
}

impl LinkUser {
    /// Whether a connection that was opened for `account` will do.
    fn takes(&self, account: Option<&AccountName>) -> bool {
        match self {
            Self::Caller(own) => own.as_ref() == account,
            Self::Control => true,
        }
    }

    /// The account for which a new connection is opened.
    pub(super) fn account(&self) -> Option<&AccountName> {
        match self {
            Self::Caller(account) => account.as_ref(),
            Self::Control => None,
        }
    }
}

/// Who wants a connection, and how urgently.
#[derive(Clone, Debug)]
pub(crate) struct LinkRequest {
    pub(crate) user: LinkUser,
    /// The least is served first.
    pub(crate) rank: u8,
}

/// A caller in queue for a connection.
struct WaitingCaller {
    user: LinkUser,
    granted: oneshot::Sender<ConnectionGrant>,
    /// Connections that must stay free for others if it is to have one.
    kept_free: u32,
}

/// What a caller was waiting for.
pub(super) enum ConnectionGrant {
    /// An open connection.
    Link(PooledLink),
    /// The right to open one.
    Dial(ConnectionSlot),
}

/// How a caller waits in a queue.
#[derive(Clone, Debug)]
pub(super) struct QueueRequest {
    pub(super) link: LinkRequest,
    /// Connections that must stay free for others if it is to have one.
    pub(super) kept_free: u32,
    /// The turn that it had in this queue before.
    pub(super) sequence: Option<u64>,
}

/// A caller's place in a queue; given up when it is dropped.
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
            headroom: ConnectionHeadroom::default(),
            waiters: WaitQueue::default(),
            gate: DialGate::default(),
        };
        Arc::new(Self { target, dialer, state: Mutex::new(state) })
    }

    pub(crate) fn target(&self) -> &MemberTarget {
        &self.target
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }

    /// Sets how many connections may be open, and whether there are fewer than instances; idle ones
    /// above the share are closed.
    pub(crate) fn set_share(self: &Arc<Self>, share: ConnectionShare, is_scarce: bool) {
        let mut closed = Vec::new();
        {
            let mut state = self.state();
            state.share = share.0;
            state.headroom.set_scarce(is_scarce);
            while state.open > count(closed.len()) + share.0 {
                let Some(link) = state.idle.pop() else { break };
                closed.push(link);
            }
        }
        closed.into_iter().for_each(PooledLink::close);
        if let Some(cutoff) = Instant::now().checked_sub(IDLE_TIMEOUT) {
            self.close_unused_since(cutoff);
        }
        self.serve_queue();
    }

    /// Closes what is idle.
    pub(crate) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state().idle);
        idle.into_iter().for_each(PooledLink::close);
    }

    /// Closes idle connections that were not used since `cutoff`.
    ///
    /// Guards against connections that something between the two ends has lost track of: where
    /// one went silent, others that were idle as long may have, too.
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

    /// How many callers could be served at once without waiting.
    pub(crate) fn spare_connections(&self) -> u32 {
        let mut state = self.state();
        state.waiters.retain(|caller| !caller.granted.is_closed());
        state.free(Instant::now()).saturating_sub(count(state.waiters.len()))
    }

    /// Whether the member could not be reached just now.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.state().gate.is_unreachable(Instant::now())
    }

    /// Whether no connection is to be had for as long as the member counts as unreachable.
    pub(super) fn is_unavailable(&self) -> bool {
        let state = self.state();
        state.idle.is_empty() && state.gate.is_unreachable(Instant::now())
    }

    /// Puts a caller in queue, and serves it at once if it is its turn.
    pub(super) fn join_queue(self: &Arc<Self>, request: QueueRequest) -> QueueEntry {
        let (sender, granted) = oneshot::channel();
        let LinkRequest { user, rank } = request.link;
        let caller = WaitingCaller { user, granted: sender, kept_free: request.kept_free };
        let sequence = {
            let mut state = self.state();
            match request.sequence {
                Some(sequence) => {
                    state.waiters.rejoin(rank, sequence, caller);
                    sequence
                }
                None => state.waiters.join(rank, caller),
            }
        };
        self.serve_queue();
        QueueEntry { sequence, granted }
    }

    /// Gives what is free to those who wait.
    fn serve_queue(self: &Arc<Self>) {
        while let Some((caller, grant)) = self.next_grant() {
            // A grant to a caller that has just given up is dropped, and so counted free again.
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
        // The only connection that this instance may hold is for all of its callers.
        let max_kept_free = state.max_open(now).saturating_sub(1);
        let may_dial = state.gate.may_begin(now);
        let PoolState { idle, waiters, .. } = &mut *state;
        let position = |user: &LinkUser| idle.iter().rposition(|link| user.takes(link.account()));
        let caller = waiters.next_where(|caller| {
            let enough_free = caller.kept_free.min(max_kept_free) < free;
            enough_free && (may_dial || position(&caller.user).is_some())
        })?;
        if let Some(index) = position(&caller.user) {
            return Some((caller, ConnectionGrant::Link(idle.remove(index))));
        }
        state.gate.try_begin(now);
        let replaced = state.reserve_slot(now);
        drop(state);
        if let Some(link) = replaced {
            link.close_for_replacement();
        }
        Some((caller, ConnectionGrant::Dial(ConnectionSlot::new(self))))
    }

    /// Opens a connection for which a place was counted in.
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
                self.state().gate.note_success();
                let link = PooledLink::new(Arc::clone(self), link, account.cloned());
                self.serve_queue();
                Ok(link)
            }
            Err(reason) => {
                self.note_failure(&reason);
                Err(reason)
            }
        }
    }

    fn note_failure(self: &Arc<Self>, reason: &LinkError) {
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
                state.headroom.note_refusal(now);
            }
            state.gate.note_failure(failure, now)
        };
        self.serve_queue_after(pause);
        metrics::counter!("rudder_dials_failed_total", "reason" => code).increment(1);
        log::info!(
            service:% = self.target.service, member:% = self.target.member, reason:% = reason,
            outcome = code; "a connection to a member was not opened"
        );
    }

    /// Lets the next caller dial when the pause after a failure is over.
    fn serve_queue_after(self: &Arc<Self>, pause: Duration) {
        let pool = Arc::downgrade(self);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            if let Some(pool) = pool.upgrade() {
                pool.serve_queue();
            }
        });
    }

    /// Puts a connection at the disposal of the next caller.
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

    /// Counts a closed connection out, and lets the next caller open one.
    pub(super) fn release_slot(self: &Arc<Self>) {
        {
            let mut state = self.state();
            state.open = state.open.saturating_sub(1);
        }
        self.serve_queue();
    }
}

/// A place that is counted as open while a connection is being opened, and given up with it.
pub(super) struct ConnectionSlot {
    pool: Option<Arc<MemberPool>>,
}

impl ConnectionSlot {
    fn new(pool: &Arc<MemberPool>) -> Self {
        Self { pool: Some(Arc::clone(pool)) }
    }

    /// Leaves the place counted.
    fn keep_counted(mut self) {
        self.pool = None;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.state().gate.note_given_up();
            pool.release_slot();
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
