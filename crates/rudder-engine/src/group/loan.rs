//! Loans of connections to members, as applied to the pools of this instance.
//!
//! The decisions are those of [`LoanLedger`], one for each member. A ledger is only changed under
//! the lock of the member's pool, so that the limit of the pool and the ledger agree whenever a
//! message is sent. The ledgers outlive the pools, as loans stay valid if a member restarts.

use super::member::GroupMember;
use super::pool_loans::{LoanNeed, PoolMode};
use super::service::ServiceGroup;
use crate::clock::boot_time;
use crate::peers::{LoanRequest, LoanTarget};
use crate::sync::lock;
use rudder_core::{MemberName, ServiceName};
use rudder_decisions::{
    LoanAction, LoanDecision, LoanLedger, LoanRefusal, LoanRequestTerms, LoanResponseTerms,
    MemberKey, MemberRotation, MemberUse, PlaceDistance, ResponseOutcome, SpareBoard,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Another instance, as the sender or receiver of messages about loans.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanPeer {
    pub(crate) address: SocketAddr,
    pub(crate) distance: PlaceDistance,
}

/// Message that is due, and the loan that it is about.
#[derive(Clone, Debug)]
pub(crate) struct LoanWork {
    pub(crate) action: LoanAction,
    pub(crate) service: ServiceName,
    pub(crate) member: MemberName,
    /// Highest priority of the waiting callers.
    pub(crate) priority: u8,
}

/// Loans of this instance.
pub(crate) struct ConnectionLoans {
    started_at: Duration,
    state: Mutex<LoanState>,
    need: Arc<LoanNeed>,
    /// Number of times that the loans of a member were worked out.
    checks: AtomicU64,
}

#[derive(Default)]
struct LoanState {
    /// Sorted by service and member.
    ledgers: Vec<MemberLedger>,
    board: SpareBoard,
    /// Members that the next full pass covers.
    rotation: MemberRotation,
}

struct MemberLedger {
    service: ServiceName,
    member: MemberName,
    key: MemberKey,
    /// Whether loans are used for this member.
    in_use: bool,
    ledger: LoanLedger,
}

impl LoanState {
    fn position(&self, service: &ServiceName, member: &MemberName) -> Result<usize, usize> {
        self.ledgers
            .binary_search_by(|known| (&known.service, &known.member).cmp(&(service, member)))
    }

    fn entry(&mut self, member: &GroupMember, started_at: Duration) -> &mut MemberLedger {
        let target = member.pool().target();
        let index = match self.position(&target.service, &target.member) {
            Ok(index) => index,
            Err(index) => {
                let entry = MemberLedger {
                    service: target.service.clone(),
                    member: target.member.clone(),
                    key: MemberKey::of(&target.service, &target.member),
                    in_use: false,
                    ledger: LoanLedger::new(started_at),
                };
                self.ledgers.insert(index, entry);
                index
            }
        };
        &mut self.ledgers[index]
    }
}

impl ConnectionLoans {
    /// Creates the loans of a process that starts now.
    pub(crate) fn new() -> Self {
        Self::of_process(boot_time())
    }

    /// Creates the loans of a process that started at `started_at`.
    pub(super) fn of_process(started_at: Duration) -> Self {
        let checks = AtomicU64::new(0);
        Self { started_at, state: Mutex::default(), need: Arc::default(), checks }
    }

    fn state(&self) -> MutexGuard<'_, LoanState> {
        lock(&self.state)
    }

    /// Waits until callers may need a loan, for at most `limit`. Returns whether they do.
    pub(crate) async fn wait_need(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.need.changed.notified()).await.is_ok()
    }

    /// Whether loans of an earlier process of this instance may be valid.
    pub(crate) fn is_starting(&self) -> bool {
        LoanLedger::new(self.started_at).is_starting(boot_time())
    }

    /// Number of times that the loans of a member were worked out.
    pub(crate) fn checks(&self) -> u64 {
        self.checks.load(Ordering::Relaxed)
    }

    /// Whether loans are used for any member.
    pub(crate) fn is_used(&self) -> bool {
        self.state().ledgers.iter().any(|known| known.in_use)
    }

    /// Whether any loan is lent, borrowed or asked for.
    pub(crate) fn has_loans(&self) -> bool {
        self.state().ledgers.iter().any(|known| !known.ledger.is_empty())
    }

    /// Applies whether loans are used for the members of a service. `top_priority` is the highest
    /// priority of any route, or `None` if loans are not used.
    pub(crate) fn set_mode(&self, group: &ServiceGroup, top_priority: Option<u8>) {
        let mode = top_priority
            .map(|top_priority| PoolMode { need: Arc::clone(&self.need), top_priority });
        let mut state = self.state();
        let now = boot_time();
        for member in group.members() {
            if mode.is_none() && state.position(group.service(), member.name()).is_err() {
                continue;
            }
            let known = state.entry(&member, self.started_at);
            member.pool().set_mode(mode.clone(), known.ledger.is_starting(now));
            if mode.is_none() && !known.in_use {
                continue;
            }
            if mode.is_some() && !known.in_use {
                self.need.changed.notify_one();
            }
            known.in_use = mode.is_some();
            if !known.in_use {
                known.ledger.end_all();
            }
            self.checks.fetch_add(1, Ordering::Relaxed);
            member.pool().update_balance(|usage| (known.balance(usage, now), ()));
        }
    }

    /// Returns the messages that are due, and applies the loans to the pools. Loans of members that
    /// were removed end. Only a `full` pass covers members without loans and waiting callers. Of
    /// thousands of members it covers the next ones in turn, so that its work does not grow with
    /// them.
    pub(crate) fn advance(
        &self,
        groups: &[Arc<ServiceGroup>],
        own_seed: u64,
        full: bool,
    ) -> Vec<LoanWork> {
        let now = boot_time();
        let mut state = self.state();
        let LoanState { ledgers, board, rotation } = &mut *state;
        let is_partial = MemberRotation::is_partial(ledgers.len());
        let covered = if full { rotation.next(ledgers.len()) } else { [0..0, 0..0] };
        let needed = self.need.take();
        let mut positions = 0..;
        let mut due = Vec::new();
        ledgers.retain_mut(|known| {
            let key = known.key;
            let position = positions.next().unwrap_or(usize::MAX);
            let is_covered = covered.iter().any(|range| range.contains(&position));
            let is_needed = !is_partial || needed.binary_search(&key).is_ok();
            if !is_covered && !is_needed && known.ledger.is_empty() {
                return true;
            }
            let group = groups.binary_search_by(|group| group.service().cmp(&known.service));
            let member = group.ok().and_then(|index| groups[index].member(&known.member));
            let has_waiters = member.as_ref().is_some_and(|member| member.pool().has_waiters());
            if has_waiters {
                self.need.record(key);
            }
            if !is_covered && !has_waiters && known.ledger.is_empty() {
                return true;
            }
            self.checks.fetch_add(1, Ordering::Relaxed);
            let mut decide = |usage: MemberUse| {
                let is_needed = known.in_use && usage.waiting > 0;
                let lender = if is_needed { board.choose(key, own_seed, now) } else { None };
                let actions = known.ledger.advance(usage, rand::random(), lender, now);
                (known.balance(usage, now), (actions, usage.priority))
            };
            let (actions, priority) = match &member {
                Some(member) => member.pool().update_balance(decide),
                None => decide(MemberUse::default()).1,
            };
            for action in actions {
                if let LoanAction::Unanswered { lender } = action {
                    board.reduce(key, lender, u32::MAX);
                }
                let (service, member) = (known.service.clone(), known.member.clone());
                due.push(LoanWork { action, service, member, priority });
            }
            member.is_some() || !known.ledger.is_empty()
        });
        due
    }

    /// Returns how many connections to a member could be lent.
    pub(crate) fn spare(&self, member: &GroupMember) -> Option<(MemberKey, u32)> {
        let now = boot_time();
        let state = self.state();
        let target = member.pool().target();
        let known = &state.ledgers[state.position(&target.service, &target.member).ok()?];
        if !known.in_use {
            return None;
        }
        let usage = member.pool().state().member_use(Instant::now());
        let spare = known.ledger.spare(usage, false, now).ok().filter(|spare| *spare > 0)?;
        Some((known.key, spare))
    }

    /// Records another instance's report.
    pub(crate) fn record_spare(&self, lender: LoanPeer, counts: &[(MemberKey, u32)]) {
        self.state().board.record(lender.address, lender.distance, counts, boot_time());
    }

    /// Decides a request for a loan of connections to `member`, which is `None` if this instance
    /// does not know it.
    pub(crate) fn lend(
        &self,
        member: Option<&GroupMember>,
        request: &LoanRequest,
        borrower: SocketAddr,
    ) -> LoanDecision {
        let now = boot_time();
        let mut state = self.state();
        let position = state.position(&request.loan.service, &request.loan.member);
        let (Some(member), Ok(index)) = (member, position) else {
            return LoanDecision::Refused(LoanRefusal::Invalid);
        };
        let known = &mut state.ledgers[index];
        if !known.in_use {
            return LoanDecision::Refused(LoanRefusal::Invalid);
        }
        let top_priority = member.pool().top_priority();
        let terms = LoanRequestTerms {
            request_id: request.loan.request_id,
            borrower,
            count: request.count,
            is_urgent: top_priority.is_some_and(|top| request.priority <= top),
            renewal: request.renewal,
        };
        member.pool().update_balance(|usage| {
            let decision = known.ledger.lend(terms, usage, now);
            (known.balance(usage, now), decision)
        })
    }

    /// Records a lender's response.
    pub(crate) fn record_response(
        &self,
        member: Option<&GroupMember>,
        loan: &LoanTarget,
        terms: LoanResponseTerms,
        lender: SocketAddr,
    ) -> ResponseOutcome {
        let now = boot_time();
        let mut state = self.state();
        let (Some(member), Ok(index)) = (member, state.position(&loan.service, &loan.member))
        else {
            return ResponseOutcome::Unknown;
        };
        let LoanState { ledgers, board, .. } = &mut *state;
        let known = &mut ledgers[index];
        let outcome = member.pool().update_balance(|usage| {
            let outcome = known.ledger.record_response(lender, terms, now);
            (known.balance(usage, now), outcome)
        });
        let key = known.key;
        match outcome {
            ResponseOutcome::Borrowed(count) => board.reduce(key, lender, count),
            ResponseOutcome::Refused => board.reduce(key, lender, u32::MAX),
            ResponseOutcome::Renewed | ResponseOutcome::Repeated | ResponseOutcome::Unknown => {}
        }
        self.need.changed.notify_one();
        outcome
    }

    /// Records that a borrower returned a loan. Returns false if the loan is not known.
    pub(crate) fn record_return(
        &self,
        member: Option<&GroupMember>,
        loan: &LoanTarget,
        borrower: SocketAddr,
    ) -> bool {
        let now = boot_time();
        let mut state = self.state();
        let Ok(index) = state.position(&loan.service, &loan.member) else { return false };
        let known = &mut state.ledgers[index];
        let returned = known.ledger.record_return(borrower, loan.request_id);
        if let Some(member) = member {
            member.pool().update_balance(|usage| (known.balance(usage, now), ()));
        }
        returned
    }

    /// Records that a lender needs a loan back. Returns false if the loan is not known.
    pub(crate) fn record_recall(&self, loan: &LoanTarget, lender: SocketAddr) -> bool {
        let mut state = self.state();
        let Ok(index) = state.position(&loan.service, &loan.member) else { return false };
        self.need.changed.notify_one();
        state.ledgers[index].ledger.record_recall(lender, loan.request_id)
    }
}

impl MemberLedger {
    /// Returns the balance to apply. Without loans it is 0 once the last one has ended.
    fn balance(&self, usage: MemberUse, now: Duration) -> i32 {
        if self.in_use || !self.ledger.is_empty() {
            self.ledger.balance(usage.share, now)
        } else {
            0
        }
    }
}
