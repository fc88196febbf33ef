//! The connections of this instance to one member.
//!
//! Load pattern: a member takes 30 to 40 connections from all instances together, and callers hold
//! them over the pauses of their transactions. Without a share of its own the busiest instance
//! takes them all and the rest are refused; without a queue a caller is refused although a
//! connection comes free a millisecond later; without priorities the reads that can wait stand
//! before orders. Limits: the share comes from [`DomainShare`], the order from [`WaitLine`], the wait
//! from the caller.

use super::link::PooledLink;
use crate::border::{LinkError, MemberDialer, MemberTarget};
use crate::statement::StatementError;
use crate::sync::lock;
use displaydoc::Display;
use rudder_decisions::{DomainShare, WaitLine};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The most time for opening a connection: two lost packets' resends (0.2 and 0.4 s) and the
/// member's own work fit in.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a member that could not be reached is left alone: about the time of a failed attempt,
/// so that callers do not all wait for it.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(150);

/// How long no connection is opened after the member said that it has too many. Connections that
/// others lose are dropped by the member within seconds.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// How long an idle connection is kept where there are fewer connections than instances: long
/// enough for the statements of a caller that is at work, as a new one takes a slot and 12 ms.
const SCARCE_IDLE: Duration = Duration::from_millis(250);

/// How long an idle connection is kept else. A member keeps the connections of a machine that lost
/// power for some seconds; the fewer there are, the more are left for the machine's return.
const SPARE_IDLE: Duration = Duration::from_millis(1500);

/// Why no connection was had.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// all connections stayed in use
    WaitOver,
    /// the member cannot be reached: {0}
    Down(LinkError),
}

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
    limit: u32,
    waiters: WaitLine<oneshot::Sender<Grant>>,
    down_until: Option<Instant>,
    refused_until: Option<Instant>,
}

enum Grant {
    Link(PooledLink),
    Dial(OpenPlace),
}

enum Claim {
    Granted(Grant),
    Waiting(oneshot::Receiver<Grant>),
    Down,
}

impl MemberPool {
    pub(crate) fn new(
        target: MemberTarget,
        dialer: Arc<dyn MemberDialer>,
        limit: u32,
    ) -> Arc<Self> {
        let state = PoolState {
            idle: Vec::new(),
            open: 0,
            limit,
            waiters: WaitLine::default(),
            down_until: None,
            refused_until: None,
        };
        Arc::new(Self { target, dialer, state: Mutex::new(state) })
    }

    pub(crate) fn target(&self) -> &MemberTarget {
        &self.target
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }

    /// Sets how many connections may be open; idle ones above it are closed.
    pub(crate) fn set_share(&self, share: DomainShare) {
        let mut closed = Vec::new();
        {
            let mut state = self.state();
            state.limit = share.limit;
            while state.open > u32::try_from(closed.len()).unwrap_or(u32::MAX) + share.limit {
                let Some(link) = state.idle.pop() else { break };
                closed.push(link);
            }
        }
        closed.into_iter().for_each(PooledLink::close);
        let kept = if share.scarce { SCARCE_IDLE } else { SPARE_IDLE };
        if let Some(moment) = Instant::now().checked_sub(kept) {
            self.drop_idle_since(moment);
        }
    }

    /// Closes what is idle.
    pub(crate) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state().idle);
        idle.into_iter().for_each(PooledLink::close);
    }

    /// Closes idle connections that were not used since `moment`.
    ///
    /// Guards against connections that something between the two ends has lost track of: where
    /// one went silent, others that were idle as long may have, too.
    pub(crate) fn drop_idle_since(&self, moment: Instant) {
        let stale = {
            let mut state = self.state();
            let idle = std::mem::take(&mut state.idle);
            let (stale, kept) = idle.into_iter().partition(|link| link.used_at() < moment);
            state.idle = kept;
            stale
        };
        let stale: Vec<PooledLink> = stale;
        stale.into_iter().for_each(PooledLink::close);
    }

    /// How many callers could be served at once without waiting.
    pub(crate) fn spare(&self) -> u32 {
        let state = self.state();
        let now = Instant::now();
        if is_before(now, state.down_until) {
            return 0;
        }
        let idle = u32::try_from(state.idle.len()).unwrap_or(u32::MAX);
        let may_open = !is_before(now, state.refused_until);
        let unopened = if may_open { state.limit.saturating_sub(state.open) } else { 0 };
        (idle + unopened).saturating_sub(u32::try_from(state.waiters.len()).unwrap_or(u32::MAX))
    }

    /// Whether the member could not be reached just now.
    pub(crate) fn is_down(&self) -> bool {
        is_before(Instant::now(), self.state().down_until)
    }

    /// Takes a connection; `priority` 0 goes first among those that wait.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        priority: u8,
        wait: Duration,
    ) -> Result<PooledLink, AcquireError> {
        let give_up = Instant::now() + wait;
        loop {
            let grant = match self.claim(priority) {
                Claim::Granted(grant) => grant,
                Claim::Down => {
                    let reason = LinkError::Unreachable("tried a moment ago".to_owned());
                    return Err(AcquireError::Down(reason));
                }
                Claim::Waiting(receiver) => {
                    let left = give_up.saturating_duration_since(Instant::now());
                    match tokio::time::timeout(left, receiver).await {
                        Ok(Ok(grant)) => grant,
                        Ok(Err(_)) | Err(_) => return Err(AcquireError::WaitOver),
                    }
                }
            };
            match grant {
                Grant::Link(link) => return Ok(link),
                Grant::Dial(place) => match self.dial(place).await {
                    Err(LinkError::Refused(StatementError::ConnectionLimit))
                        if Instant::now() < give_up => {}
                    Err(reason) => return Err(AcquireError::Down(reason)),
                    Ok(link) => return Ok(link),
                },
            }
        }
    }

    fn claim(self: &Arc<Self>, priority: u8) -> Claim {
        let mut state = self.state();
        let now = Instant::now();
        if let Some(link) = state.idle.pop() {
            return Claim::Granted(Grant::Link(link));
        }
        if is_before(now, state.down_until) {
            return Claim::Down;
        }
        if state.open < state.limit && !is_before(now, state.refused_until) {
            state.open += 1;
            return Claim::Granted(Grant::Dial(OpenPlace::new(self)));
        }
        let (sender, receiver) = oneshot::channel();
        state.waiters.join(priority, sender);
        Claim::Waiting(receiver)
    }

    /// Opens a connection for which a place was counted in.
    async fn dial(self: &Arc<Self>, place: OpenPlace) -> Result<PooledLink, LinkError> {
        let dialed = match tokio::time::timeout(DIAL_TIMEOUT, self.dialer.dial(&self.target)).await
        {
            Ok(dialed) => dialed,
            Err(_) => Err(LinkError::Silent),
        };
        match dialed {
            Ok(link) => {
                place.keep();
                self.state().down_until = None;
                Ok(PooledLink::new(Arc::clone(self), link))
            }
            Err(reason) => {
                self.note_refusal(&reason);
                Err(reason)
            }
        }
    }

    fn note_refusal(&self, reason: &LinkError) {
        let mut state = self.state();
        let now = Instant::now();
        let word = if *reason == LinkError::Refused(StatementError::ConnectionLimit) {
            state.refused_until = Some(now + REFUSED_PAUSE);
            "connection_limit"
        } else {
            state.down_until = Some(now + UNREACHABLE_PAUSE);
            "unreachable"
        };
        drop(state);
        metrics::counter!("rudder_dials_failed_total", "reason" => word).increment(1);
        log::info!(
            service:% = self.target.service, member:% = self.target.member, reason:% = reason,
            outcome = word; "a connection to a member was not opened"
        );
    }

    /// Puts a connection at the disposal of the next caller.
    pub(crate) fn give_back(link: PooledLink) {
        let pool = Arc::clone(link.pool());
        let mut link = link;
        loop {
            let mut state = pool.state();
            if state.open > state.limit {
                drop(state);
                link.close();
                return;
            }
            let Some(waiter) = state.waiters.next() else {
                state.idle.push(link);
                return;
            };
            drop(state);
            match waiter.send(Grant::Link(link)) {
                Ok(()) => return,
                // The caller gave up; the next one gets it.
                Err(Grant::Link(back)) => link = back,
                Err(Grant::Dial(_)) => return,
            }
        }
    }

    /// Counts a closed connection out, and lets the next caller open one.
    pub(crate) fn forget_one(self: &Arc<Self>) {
        loop {
            let waiter = {
                let mut state = self.state();
                state.open = state.open.saturating_sub(1);
                if state.open >= state.limit {
                    return;
                }
                let Some(waiter) = state.waiters.next() else { return };
                state.open += 1;
                waiter
            };
            match waiter.send(Grant::Dial(OpenPlace::new(self))) {
                Ok(()) => return,
                // The caller gave up; the place goes to the next one.
                Err(Grant::Dial(place)) => place.keep(),
                Err(Grant::Link(_)) => return,
            }
        }
    }
}

/// A place that is counted as open while a connection is being opened, and given up with it.
struct OpenPlace {
    pool: Option<Arc<MemberPool>>,
}

impl OpenPlace {
    fn new(pool: &Arc<MemberPool>) -> Self {
        Self { pool: Some(Arc::clone(pool)) }
    }

    /// Leaves the place counted.
    fn keep(mut self) {
        self.pool = None;
    }
}

impl Drop for OpenPlace {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.forget_one();
        }
    }
}

fn is_before(now: Instant, until: Option<Instant>) -> bool {
    until.is_some_and(|until| now < until)
}
