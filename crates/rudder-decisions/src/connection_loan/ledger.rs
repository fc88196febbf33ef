//! Borrowed and lent connections of one instance to one member.

use super::terms::{
    LoanAction, LoanDecision, LoanRefusal, LoanRequestTerms, LoanResponseTerms, MemberUse,
    ResponseOutcome, ReturnReason,
};
use super::{BORROWER_MARGIN, LENDER_MARGIN, LOAN_VALIDITY};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a request counts as lost: several times the longest round trip between regions
/// (24 ms), and short enough that a waiting caller can profit from a second request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(80);

/// Time without need after which a loan is returned. Longer than the gap between the statements of
/// an active caller, as each new loan costs a new connection.
const UNUSED_TIMEOUT: Duration = Duration::from_millis(200);

/// Time from which a loan that is in use is renewed. Leaves room for several requests.
const RENEWAL_AGE: Duration = Duration::from_millis(700);

/// Interval between recalls of the same loan.
const RECALL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of borrowed connections to one member.
const BORROWED_MAX: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct LentLoan {
    request_id: u64,
    borrower: SocketAddr,
    count: u32,
    renewal: u32,
    until: Duration,
    recalled_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct BorrowedLoan {
    request_id: u64,
    lender: SocketAddr,
    count: u32,
    renewal: u32,
    renew_at: Duration,
    until: Duration,
    ending: Option<ReturnReason>,
}

impl BorrowedLoan {
    fn is_usable(&self, now: Duration) -> bool {
        self.ending.is_none() && now + BORROWER_MARGIN < self.until
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request_id: u64,
    lender: SocketAddr,
    count: u32,
    renewal: u32,
    sent_at: Duration,
}

/// Borrowed and lent connections of one instance to one member.
///
/// ```
/// use rudder_decisions::{LoanDecision, LoanLedger, LoanRequestTerms, MemberUse};
/// use std::time::Duration;
/// let mut ledger = LoanLedger::new(Duration::ZERO);
/// let unused = MemberUse { share: 2, may_dial: true, ..MemberUse::default() };
/// let now = Duration::from_secs(10);
/// let request = LoanRequestTerms {
///     request_id: 1,
///     borrower: ([10, 0, 0, 1], 1).into(),
///     count: 2,
///     is_urgent: false,
///     renewal: 0,
/// };
/// let decision = ledger.lend(request, unused, now);
/// assert!(matches!(decision, LoanDecision::Lent { count: 1, .. }), "the last one is kept");
/// assert_eq!(ledger.balance(2, now), -1);
/// assert!(ledger.record_return(request.borrower, 1));
/// assert_eq!(ledger.balance(2, now), 0);
/// ```
#[derive(Clone, Debug)]
pub struct LoanLedger {
    started_at: Duration,
    lent: Vec<LentLoan>,
    borrowed: Vec<BorrowedLoan>,
    pending: Option<PendingRequest>,
    needed_at: Duration,
}

impl LoanLedger {
    /// Creates the ledger of a process that started at `started_at`.
    ///
    /// See the example of [`LoanLedger`].
    #[must_use]
    pub fn new(started_at: Duration) -> Self {
        let needed_at = Duration::ZERO;
        Self { started_at, lent: Vec::new(), borrowed: Vec::new(), pending: None, needed_at }
    }

    /// Whether loans of an earlier process of this instance may be valid.
    ///
    /// ```
    /// use rudder_decisions::LoanLedger;
    /// use std::time::Duration;
    /// let ledger = LoanLedger::new(Duration::from_secs(5));
    /// assert!(ledger.is_starting(Duration::from_secs(6)));
    /// assert_eq!(ledger.balance(2, Duration::from_secs(6)), -1);
    /// assert!(!ledger.is_starting(Duration::from_secs(7)));
    /// ```
    #[must_use]
    pub fn is_starting(&self, now: Duration) -> bool {
        now < self.started_at + LOAN_VALIDITY + LENDER_MARGIN
    }

    /// Whether no loan is lent, borrowed or asked for.
    ///
    /// ```
    /// assert!(rudder_decisions::LoanLedger::new(std::time::Duration::ZERO).is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty() && self.pending.is_none()
    }

    /// Returns the number to add to a share: borrowed less lent connections, and during the start
    /// the connections above the first that are not used yet.
    ///
    /// See the example of [`LoanLedger`].
    #[must_use]
    pub fn balance(&self, share: u32, now: Duration) -> i32 {
        let unused = if self.is_starting(now) { share.saturating_sub(1) } else { 0 };
        signed(self.usable(now)) - signed(self.lent_count(now)) - signed(unused)
    }

    /// Number of lent connections.
    ///
    /// ```
    /// let ledger = rudder_decisions::LoanLedger::new(std::time::Duration::ZERO);
    /// assert_eq!(ledger.lent_count(std::time::Duration::ZERO), 0);
    /// ```
    #[must_use]
    pub fn lent_count(&self, now: Duration) -> u32 {
        self.lent.iter().filter(|loan| now < loan.until).map(|loan| loan.count).sum()
    }

    /// Returns the borrowed connections that were not returned yet: the lender, their number, and
    /// whether work may begin on them.
    ///
    /// ```
    /// let ledger = rudder_decisions::LoanLedger::new(std::time::Duration::ZERO);
    /// assert_eq!(ledger.borrowed(std::time::Duration::ZERO).count(), 0);
    /// ```
    pub fn borrowed(&self, now: Duration) -> impl Iterator<Item = (SocketAddr, u32, bool)> {
        let valid = self.borrowed.iter().filter(move |loan| now < loan.until);
        valid.map(move |loan| (loan.lender, loan.count, loan.is_usable(now)))
    }

    /// Number of borrowed connections that work may begin on.
    fn usable(&self, now: Duration) -> u32 {
        let usable = self.borrowed.iter().filter(|loan| loan.is_usable(now));
        usable.map(|loan| loan.count).sum()
    }

    /// Returns how many connections could be lent now. `is_urgent` disregards recent use.
    ///
    /// ```
    /// use rudder_decisions::{LoanLedger, MemberUse};
    /// use std::time::Duration;
    /// let ledger = LoanLedger::new(Duration::ZERO);
    /// let usage = MemberUse { share: 2, recent_peak: 2, may_dial: true, ..MemberUse::default() };
    /// assert_eq!(ledger.spare(usage, false, Duration::from_secs(9)), Ok(0));
    /// assert_eq!(ledger.spare(usage, true, Duration::from_secs(9)), Ok(1));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the reason why this instance lends nothing at present.
    pub fn spare(
        &self,
        usage: MemberUse,
        is_urgent: bool,
        now: Duration,
    ) -> Result<u32, LoanRefusal> {
        if self.is_starting(now) {
            return Err(LoanRefusal::Starting);
        }
        if !self.borrowed.is_empty() || self.pending.is_some() {
            return Err(LoanRefusal::Borrowing);
        }
        if usage.waiting > 0 {
            return Err(LoanRefusal::CallersWait);
        }
        // A borrower could not open a connection either.
        if !usage.may_dial {
            return Ok(0);
        }
        let peak = if is_urgent { 0 } else { usage.recent_peak };
        let needed = usage.in_use.max(peak).max(1);
        Ok(usage.share.saturating_sub(self.lent_count(now)).saturating_sub(needed))
    }

    /// Decides a request of another instance.
    ///
    /// See the example of [`LoanLedger`].
    pub fn lend(
        &mut self,
        request: LoanRequestTerms,
        usage: MemberUse,
        now: Duration,
    ) -> LoanDecision {
        self.remove_expired(now);
        let until = now + LOAN_VALIDITY + LENDER_MARGIN;
        if let Some(loan) = self.lent_to(request.borrower, request.request_id) {
            // A repeated request does not prolong the loan: the borrower counts from when it first
            // sent that request.
            if request.renewal > loan.renewal {
                if usage.waiting > 0 {
                    return LoanDecision::Refused(LoanRefusal::CallersWait);
                }
                loan.renewal = request.renewal;
                loan.until = until;
            }
            return LoanDecision::Lent { count: loan.count, validity: LOAN_VALIDITY };
        }
        if request.renewal > 0 {
            return LoanDecision::Refused(LoanRefusal::Ended);
        }
        if request.count == 0 {
            return LoanDecision::Refused(LoanRefusal::Invalid);
        }
        let count = match self.spare(usage, request.is_urgent, now) {
            Ok(0) => return LoanDecision::Refused(LoanRefusal::NoSpare),
            Ok(spare) => spare.min(request.count),
            Err(refusal) => return LoanDecision::Refused(refusal),
        };
        self.lent.push(LentLoan {
            request_id: request.request_id,
            borrower: request.borrower,
            count,
            renewal: 0,
            until,
            recalled_at: None,
        });
        LoanDecision::Lent { count, validity: LOAN_VALIDITY }
    }

    fn lent_to(&mut self, borrower: SocketAddr, request_id: u64) -> Option<&mut LentLoan> {
        let is_loan =
            |loan: &&mut LentLoan| loan.borrower == borrower && loan.request_id == request_id;
        self.lent.iter_mut().find(is_loan)
    }

    /// Records that a borrower returned a loan. Returns false if no such loan is known.
    ///
    /// See the example of [`LoanLedger`].
    pub fn record_return(&mut self, borrower: SocketAddr, request_id: u64) -> bool {
        let before = self.lent.len();
        self.lent.retain(|loan| loan.borrower != borrower || loan.request_id != request_id);
        self.lent.len() < before
    }

    /// Records a lender's response.
    ///
    /// ```
    /// use rudder_decisions::{LoanLedger, LoanResponseTerms, ResponseOutcome};
    /// use std::time::Duration;
    /// let mut ledger = LoanLedger::new(Duration::ZERO);
    /// let (lender, now) = (([10, 0, 0, 1], 1).into(), Duration::from_secs(9));
    /// let validity = Duration::from_secs(1);
    /// let response = LoanResponseTerms { request_id: 7, renewal: 0, count: 1, validity };
    /// let outcome = ledger.record_response(lender, response, now);
    /// assert_eq!(outcome, ResponseOutcome::Unknown, "nothing was asked");
    /// ```
    pub fn record_response(
        &mut self,
        lender: SocketAddr,
        response: LoanResponseTerms,
        now: Duration,
    ) -> ResponseOutcome {
        let LoanResponseTerms { request_id, renewal, count, validity } = response;
        let is_awaited = |pending: &PendingRequest| {
            (pending.lender, pending.request_id, pending.renewal) == (lender, request_id, renewal)
        };
        let pending = self.pending.filter(is_awaited);
        if pending.is_some() {
            self.pending = None;
        }
        // A validity beyond this build's own is not trusted.
        let until = pending.map(|pending| pending.sent_at + validity.min(LOAN_VALIDITY));
        let until = until.filter(|until| now + BORROWER_MARGIN < *until);
        let is_loan =
            |loan: &&mut BorrowedLoan| loan.lender == lender && loan.request_id == request_id;
        if let Some(loan) = self.borrowed.iter_mut().find(is_loan) {
            if pending.is_some() && count == 0 {
                loan.renew_at = loan.until;
                return ResponseOutcome::Refused;
            }
            let Some(until) = until else { return ResponseOutcome::Repeated };
            loan.until = loan.until.max(until);
            loan.renew_at = now + RENEWAL_AGE;
            return ResponseOutcome::Renewed;
        }
        match (pending, until) {
            (Some(_), _) if count == 0 => ResponseOutcome::Refused,
            (Some(pending), Some(until)) if pending.renewal == 0 => {
                self.needed_at = now;
                let count = count.min(pending.count);
                let renew_at = now + RENEWAL_AGE;
                let ending = None;
                let loan =
                    BorrowedLoan { request_id, lender, count, renewal, renew_at, until, ending };
                self.borrowed.push(loan);
                ResponseOutcome::Borrowed(count)
            }
            _ => ResponseOutcome::Unknown,
        }
    }

    /// Records that a lender needs a loan back. It is returned by [`LoanLedger::advance`] once its
    /// connections are free. Returns false if no such loan is known; the lender is then told so.
    ///
    /// ```
    /// let mut ledger = rudder_decisions::LoanLedger::new(std::time::Duration::ZERO);
    /// assert!(!ledger.record_recall(([10, 0, 0, 1], 1).into(), 7));
    /// ```
    pub fn record_recall(&mut self, lender: SocketAddr, request_id: u64) -> bool {
        let is_loan =
            |loan: &&mut BorrowedLoan| loan.lender == lender && loan.request_id == request_id;
        let Some(loan) = self.borrowed.iter_mut().find(is_loan) else { return false };
        loan.ending.get_or_insert(ReturnReason::Recalled);
        true
    }

    /// Ends all borrowed loans, because loans are no longer used.
    ///
    /// ```
    /// let mut ledger = rudder_decisions::LoanLedger::new(std::time::Duration::ZERO);
    /// ledger.end_all();
    /// assert!(ledger.is_empty());
    /// ```
    pub fn end_all(&mut self) {
        self.pending = None;
        for loan in &mut self.borrowed {
            loan.ending.get_or_insert(ReturnReason::Disabled);
        }
    }

    /// Returns the messages that are due: returns of loans, recalls, and requests. `next_id` is the
    /// id of a request, and `lender` the instance to ask if more connections are needed.
    ///
    /// ```
    /// use rudder_decisions::{
    ///     LoanAction, LoanLedger, LoanResponseTerms, MemberUse, ResponseOutcome,
    /// };
    /// use std::time::Duration;
    /// let mut ledger = LoanLedger::new(Duration::ZERO);
    /// let (lender, now) = (([10, 0, 0, 1], 1).into(), Duration::from_secs(9));
    /// let full = MemberUse { share: 1, in_use: 1, waiting: 3, may_dial: true, ..MemberUse::default() };
    /// let actions = ledger.advance(full, 7, Some(lender), now);
    /// assert!(matches!(actions[..], [LoanAction::Request { request_id: 7, count: 2, .. }]));
    /// let validity = Duration::from_secs(1);
    /// let response = LoanResponseTerms { request_id: 7, renewal: 0, count: 1, validity };
    /// let outcome = ledger.record_response(lender, response, now);
    /// assert_eq!(outcome, ResponseOutcome::Borrowed(1));
    /// assert_eq!(ledger.balance(1, now), 1);
    /// let idle = MemberUse { share: 1, may_dial: true, ..MemberUse::default() };
    /// let actions = ledger.advance(idle, 8, None, now + Duration::from_millis(300));
    /// assert!(matches!(actions[..], [LoanAction::Return { request_id: 7, .. }]));
    /// ```
    pub fn advance(
        &mut self,
        usage: MemberUse,
        next_id: u64,
        lender: Option<SocketAddr>,
        now: Duration,
    ) -> Vec<LoanAction> {
        let mut actions = Vec::new();
        self.remove_expired(now);
        self.end_unneeded(usage, now);
        self.return_ended(usage, &mut actions, now);
        if usage.waiting > 0 {
            self.recall(&mut actions, now);
        }
        if let Some(pending) = self.pending
            && now >= pending.sent_at + REQUEST_TIMEOUT
        {
            self.pending = None;
            actions.push(LoanAction::Unanswered { lender: pending.lender });
        }
        actions.extend(self.next_request(usage, next_id, lender, now));
        actions
    }

    fn remove_expired(&mut self, now: Duration) {
        self.lent.retain(|loan| now < loan.until);
    }

    /// Ends the loans whose time is over, or that callers do not need.
    fn end_unneeded(&mut self, usage: MemberUse, now: Duration) {
        let needs_loans = usage.in_use + usage.waiting > self.own_limit(usage.share, now);
        if needs_loans {
            self.needed_at = now;
        }
        let unused = now >= self.needed_at + UNUSED_TIMEOUT;
        for loan in &mut self.borrowed {
            if now + BORROWER_MARGIN >= loan.until {
                loan.ending.get_or_insert(ReturnReason::Expired);
            } else if unused {
                loan.ending.get_or_insert(ReturnReason::Unused);
            }
        }
    }

    /// Connections that this instance may use without borrowed ones.
    fn own_limit(&self, share: u32, now: Duration) -> u32 {
        let share = if self.is_starting(now) { share.min(1) } else { share };
        share.saturating_sub(self.lent_count(now))
    }

    /// Returns the ended loans whose connections are free.
    fn return_ended(&mut self, usage: MemberUse, actions: &mut Vec<LoanAction>, now: Duration) {
        let limit = self.own_limit(usage.share, now) + self.usable(now);
        let is_free = usage.in_use <= limit;
        self.borrowed.retain(|loan| {
            let Some(reason) = loan.ending else { return true };
            let BorrowedLoan { lender, request_id, .. } = *loan;
            if now >= loan.until {
                actions.push(LoanAction::Overdue { lender });
            } else if is_free {
                actions.push(LoanAction::Return { lender, request_id, reason });
            }
            !is_free && now < loan.until
        });
    }

    fn recall(&mut self, actions: &mut Vec<LoanAction>, now: Duration) {
        for loan in &mut self.lent {
            if loan.recalled_at.is_none_or(|at| now >= at + RECALL_INTERVAL) {
                loan.recalled_at = Some(now);
                let LentLoan { borrower, request_id, .. } = *loan;
                actions.push(LoanAction::Recall { borrower, request_id });
            }
        }
    }

    fn next_request(
        &mut self,
        usage: MemberUse,
        request_id: u64,
        lender: Option<SocketAddr>,
        now: Duration,
    ) -> Option<LoanAction> {
        if self.pending.is_some() || usage.share == 0 {
            return None;
        }
        let renewed =
            self.borrowed.iter_mut().find(|loan| loan.ending.is_none() && now >= loan.renew_at);
        let (lender, request_id, count, renewal) = match renewed {
            Some(loan) => {
                loan.renewal += 1;
                (loan.lender, loan.request_id, loan.count, loan.renewal)
            }
            None => {
                let limit = self.own_limit(usage.share, now) + self.usable(now);
                let borrowed: u32 = self.borrowed.iter().map(|loan| loan.count).sum();
                let count = usage.waiting.min(BORROWED_MAX.saturating_sub(borrowed));
                let is_full = usage.in_use >= limit;
                if count == 0 || !is_full || !usage.may_dial || !self.lent.is_empty() {
                    return None;
                }
                (lender?, request_id, count, 0)
            }
        };
        self.pending = Some(PendingRequest { request_id, lender, count, renewal, sent_at: now });
        Some(LoanAction::Request { lender, request_id, count, renewal })
    }
}

fn signed(count: u32) -> i32 {
    i32::try_from(count).unwrap_or(i32::MAX)
}
