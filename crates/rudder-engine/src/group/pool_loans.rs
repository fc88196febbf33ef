//! What loans of connections add to the pool of a member.

use super::link::PooledLink;
use super::pool::{MemberPool, PoolState, count};
use crate::sync::lock;
use rudder_decisions::{MemberKey, MemberUse};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Period for which the maximum number of connections in use is kept; the peak that decides covers
/// this period and the one before.
const PEAK_PERIOD: Duration = Duration::from_millis(500);

/// Ranks per priority, see `WaitingWork::rank`.
const RANKS_PER_PRIORITY: u8 = 4;

/// What loans add to the state of a pool.
#[derive(Default)]
pub(super) struct PoolLoans {
    /// Borrowed less lent connections.
    balance: i32,
    /// Share that the balance was decided for, while loans are used. A higher share counts once the
    /// balance is decided again, as a process that has just started may not use it yet.
    balanced_share: Option<u32>,
    /// Set while instances lend each other connections to this member.
    mode: Option<PoolMode>,
    /// Maximum numbers in use in this period and the one before.
    peaks: [u32; 2],
    period_began_at: Option<Instant>,
}

/// Members for which callers wait although the limit of the pool is reached.
#[derive(Default)]
pub(super) struct LoanNeed {
    pub(super) changed: Notify,
    /// Sorted.
    members: Mutex<Vec<MemberKey>>,
}

impl LoanNeed {
    /// Records that callers wait for a member.
    pub(super) fn record(&self, member: MemberKey) {
        let mut members = lock(&self.members);
        if let Err(index) = members.binary_search(&member) {
            members.insert(index, member);
        }
    }

    /// Removes and returns the members, sorted. Those that callers still wait for have to be recorded
    /// again.
    pub(super) fn take(&self) -> Vec<MemberKey> {
        std::mem::take(&mut *lock(&self.members))
    }
}

/// Settings of a pool while loans are used.
#[derive(Clone)]
pub(super) struct PoolMode {
    /// Notified when callers wait although the limit is reached.
    pub(super) need: Arc<LoanNeed>,
    /// Highest priority of any route.
    pub(super) top_priority: u8,
}

impl PoolLoans {
    /// Returns the share with the loans added.
    pub(super) fn limit(&self, share: u32) -> u32 {
        let share = self.balanced_share.map_or(share, |balanced| share.min(balanced));
        if share == 0 { 0 } else { share.saturating_add_signed(self.balance) }
    }

    /// Whether a rank has the highest priority, or ranks make no difference.
    pub(super) fn is_urgent(&self, rank: u8) -> bool {
        self.mode.as_ref().is_none_or(|mode| rank / RANKS_PER_PRIORITY <= mode.top_priority)
    }
}

impl PoolState {
    fn in_use(&self) -> u32 {
        self.open.saturating_sub(count(self.idle.len()))
    }

    /// Records the number in use after a connection was granted.
    pub(super) fn record_use(&mut self) {
        if self.loans.mode.is_some() {
            let in_use = self.in_use();
            let peak = &mut self.loans.peaks[0];
            *peak = (*peak).max(in_use);
        }
    }

    fn recent_peak(&mut self, now: Instant) -> u32 {
        let began_at = *self.loans.period_began_at.get_or_insert(now);
        if now >= began_at + PEAK_PERIOD {
            self.loans.period_began_at = Some(now);
            self.loans.peaks = [self.in_use(), self.loans.peaks[0]];
        }
        self.loans.peaks.into_iter().max().unwrap_or(0)
    }

    pub(super) fn member_use(&mut self, now: Instant) -> MemberUse {
        self.waiters.retain(|caller| !caller.granted.is_closed());
        let preferred = || self.waiters.iter().filter(|caller| caller.is_preferred);
        let waiting = count(preferred().count());
        let rank = preferred().map(|caller| caller.rank).next().unwrap_or(u8::MAX);
        MemberUse {
            share: self.share,
            in_use: self.in_use(),
            recent_peak: self.recent_peak(now),
            waiting,
            priority: rank / RANKS_PER_PRIORITY,
            may_dial: self.gate.may_begin(now) && !self.gate.is_refusing(now),
        }
    }
}

/// Load of a member as known to this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedLoad {
    /// Connections in use.
    pub(super) in_flight: u32,
    /// Whether the member refuses connections and none is idle.
    pub(super) is_refusing: bool,
}

impl MemberPool {
    /// Reports that callers wait although the limit is reached.
    pub(super) fn report_loan_need(&self) {
        let state = self.state();
        let Some(mode) = &state.loans.mode else { return };
        if !state.waiters.is_empty() {
            let target = self.target();
            mode.need.record(MemberKey::of(&target.service, &target.member));
            mode.need.changed.notify_one();
        }
    }

    /// Whether callers are in the queue, including those that timed out.
    pub(super) fn has_waiters(&self) -> bool {
        !self.state().waiters.is_empty()
    }

    /// Returns the load of the member; `None` where loans are not used.
    pub(super) fn shared_load(&self) -> Option<SharedLoad> {
        let state = self.state();
        state.loans.mode.as_ref()?;
        let is_refusing = state.gate.is_refusing(Instant::now()) && state.idle.is_empty();
        Some(SharedLoad { in_flight: state.in_use(), is_refusing })
    }

    /// Begins or ends the use of loans. In a process that has just started, the first connections
    /// go to the callers of the highest priority.
    pub(super) fn set_mode(&self, mode: Option<PoolMode>, is_starting: bool) {
        let mut state = self.state();
        if mode.is_some() && state.loans.mode.is_none() && is_starting && state.open == 0 {
            state.gate.expect_refusal(Instant::now());
        }
        state.loans.mode = mode;
    }

    pub(super) fn top_priority(&self) -> Option<u8> {
        self.state().loans.mode.as_ref().map(|mode| mode.top_priority)
    }

    /// Changes the balance to the result of `decide`, and closes idle connections beyond it.
    /// Connections in use beyond it are closed after their use.
    pub(super) fn update_balance<T>(
        self: &Arc<Self>,
        decide: impl FnOnce(MemberUse) -> (i32, T),
    ) -> T {
        let now = Instant::now();
        let mut closed = Vec::new();
        let result = {
            let mut state = self.state();
            let usage = state.member_use(now);
            let (balance, result) = decide(usage);
            state.loans.balance = balance;
            state.loans.balanced_share = state.loans.mode.is_some().then_some(usage.share);
            while state.open > state.max_open(now) + count(closed.len()) {
                let Some(link) = state.idle.pop() else { break };
                closed.push(link);
            }
            result
        };
        closed.into_iter().for_each(PooledLink::close);
        self.serve_queue();
        result
    }
}
