//! Queues and outstanding grants of the accounts that an instance owns.

use super::bucket::OperationLimit;
use super::claim_queue::{ClaimQueue, ClaimTerms, ClaimVerdict, QueueOutcome};
use super::ledger::{ClaimDecision, LimitBounds, LimitLedger};
use super::reservation::ReservationTally;
use super::role::OwnerRole;
use rudder_core::AccountName;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of grants of an account that can still be returned; the oldest one is dropped.
const GRANTS_MAX: usize = 8192;

/// Limit, role and time under which an owner decides on an account's claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimScope {
    /// Limit of the account.
    pub limit: OperationLimit,
    /// Window and permitted excess of all limits.
    pub bounds: LimitBounds,
    /// Role of this instance for the account.
    pub role: OwnerRole,
    /// Rank of this instance in the order of owners.
    pub rank: usize,
    /// Time of the decision.
    pub now: Duration,
}

/// Outcome of one claim, for its claimant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueNotice<T> {
    /// Claimant, as passed with the claim.
    pub claimant: T,
    /// Priority with which the claim was decided.
    pub priority: u8,
    /// Outcome of the claim.
    pub outcome: QueueOutcome,
}

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    number: u64,
    granted_at: Duration,
    fills: u64,
}

#[derive(Clone, Debug)]
struct AccountQueue<T> {
    account: AccountName,
    queue: ClaimQueue<T>,
    /// Sorted by number.
    grants: VecDeque<OutstandingGrant>,
    /// Times at which grants were returned within the window.
    returned_at: VecDeque<Duration>,
    /// Next time at which queued claims have to be served.
    serve_at: Option<Duration>,
}

/// Queues of the accounts that an instance owns, sorted by account. The tokens are those of the
/// [`LimitLedger`]: queueing only decides which claim takes the next one.
///
/// ```
/// use rudder_decisions::{
///     ClaimScope, ClaimTerms, LimitBounds, LimitLedger, LimitQueues, OperationLimit, OwnerRole,
///     QueueOutcome,
/// };
/// use std::time::Duration;
/// let account = "choirs".parse()?;
/// let ms = Duration::from_millis;
/// let bounds = LimitBounds { window: Duration::from_secs(5), overage_permille: 0, tolerance: 6 };
/// let limit = OperationLimit { milli_per_second: 10_000, burst: 10 };
/// let scope = |now| ClaimScope { limit, bounds, role: OwnerRole::Full, rank: 0, now };
/// let terms = ClaimTerms { priority: Some(0), wait: ms(200), deadline: ms(900), ..Default::default() };
/// let (mut ledger, mut queues) = (LimitLedger::default(), LimitQueues::new(1 << 32));
/// let first = queues.claim(&mut ledger, &account, scope(ms(0)), terms, "first");
/// assert!(matches!(first[0].outcome, QueueOutcome::Granted { .. }));
/// let second = queues.claim(&mut ledger, &account, scope(ms(0)), terms, "second");
/// assert_eq!(second[0].outcome, QueueOutcome::Queued { within: ms(200) });
/// assert_eq!(queues.next_service_at(), Some(ms(100)));
/// let served = queues.serve(&mut ledger, &account, scope(ms(100)));
/// assert_eq!(served[0].claimant, "second");
/// let QueueOutcome::Granted { grant, waited: true } = served[0].outcome else { panic!() };
/// assert!(queues.return_grant(&mut ledger, &account, scope(ms(110)), grant));
/// assert!(!queues.return_grant(&mut ledger, &account, scope(ms(110)), grant), "only once");
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug)]
pub struct LimitQueues<T> {
    queues: Vec<AccountQueue<T>>,
    last_number: u64,
}

impl<T: Clone> LimitQueues<T> {
    /// Creates queues whose grants and reservations are numbered from `first_number`. Each process
    /// of an owner needs a range of its own, as a grant may be returned only to the process that
    /// made it.
    ///
    /// See the example of [`LimitQueues`].
    #[must_use]
    pub fn new(first_number: u64) -> Self {
        Self { queues: Vec::new(), last_number: first_number }
    }

    /// Decides on a claim. Returns its outcome, and those of queued claims that are decided with it.
    ///
    /// See the example of [`LimitQueues`].
    pub fn claim(
        &mut self,
        ledger: &mut LimitLedger,
        account: &AccountName,
        scope: ClaimScope,
        terms: ClaimTerms,
        claimant: T,
    ) -> Vec<QueueNotice<T>> {
        let mut notices = self.serve(ledger, account, scope);
        let ClaimScope { limit, bounds, role, rank, now } = scope;
        let Some(supply) = ledger.supply(account, scope) else {
            // There is no bucket yet, so no claim waits either.
            let decision = ledger.claim(account, limit, bounds, role, rank, now);
            if decision == ClaimDecision::Granted {
                let fills = ledger.supply(account, scope);
                let fills = fills.map_or(0, |supply| supply.fills);
                let index = self.index_of(account);
                let priority = self.queues[index].queue.record_direct_grant(terms.priority, now);
                let outcome = self.grant(index, fills, bounds.window, now, false);
                notices.push(QueueNotice { claimant, priority, outcome });
                return notices;
            }
            if decision == ClaimDecision::NotOwner {
                let (priority, outcome) =
                    (terms.priority.unwrap_or(u8::MAX), QueueOutcome::NotOwner);
                notices.push(QueueNotice { claimant, priority, outcome });
                return notices;
            }
            notices.extend(self.claim(ledger, account, scope, terms, claimant));
            return notices;
        };
        let index = self.index_of(account);
        let entry = &mut self.queues[index];
        let (returned, verdict) =
            entry.queue.admit(terms, claimant.clone(), supply, &mut self.last_number, now);
        let priority = entry.queue.priority_of(terms.priority);
        let is_queued = returned.is_none();
        let outcome = self.apply_verdict(ledger, account, scope, index, supply.fills, verdict);
        notices.push(QueueNotice { claimant, priority, outcome });
        if is_queued {
            // The new claim may displace others past their wait.
            notices.extend(self.serve(ledger, account, scope));
        }
        notices
    }

    /// Assigns available tokens to queued claims and rejects those that would wait too long. If this
    /// instance is not the owner any more, all of them are rejected.
    ///
    /// See the example of [`LimitQueues`].
    pub fn serve(
        &mut self,
        ledger: &mut LimitLedger,
        account: &AccountName,
        scope: ClaimScope,
    ) -> Vec<QueueNotice<T>> {
        let now = scope.now;
        let Ok(index) = self.position(account) else { return Vec::new() };
        let Some(supply) = ledger.supply(account, scope) else {
            return self.release(account);
        };
        let decided = self.queues[index].queue.serve(supply, &mut self.last_number, now);
        let mut notices = Vec::with_capacity(decided.len());
        for (claimant, priority, verdict) in decided {
            let outcome = self.apply_verdict(ledger, account, scope, index, supply.fills, verdict);
            notices.push(QueueNotice { claimant, priority, outcome });
        }
        let supply = ledger.supply(account, scope);
        let queue = &self.queues[index].queue;
        let next = supply.and_then(|supply| queue.next_service(supply, now));
        self.queues[index].serve_at = next.map(|after| now.saturating_add(after));
        notices
    }

    /// Removes an account's queue and its outstanding grants, because this instance has stopped
    /// granting. Returns the claims that waited.
    ///
    /// ```
    /// let account = "choirs".parse()?;
    /// assert!(rudder_decisions::LimitQueues::<u8>::new(0).release(&account).is_empty());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn release(&mut self, account: &AccountName) -> Vec<QueueNotice<T>> {
        let Ok(index) = self.position(account) else { return Vec::new() };
        let mut entry = self.queues.remove(index);
        let outcome = QueueOutcome::NotOwner;
        let waiting = entry.queue.drain();
        waiting.map(|(claimant, priority)| QueueNotice { claimant, priority, outcome }).collect()
    }

    /// Returns a grant whose statement did not run. Returns false if the grant is unknown, was
    /// returned before, is older than the window, or if its token cannot be put back.
    ///
    /// See the example of [`LimitQueues`].
    pub fn return_grant(
        &mut self,
        ledger: &mut LimitLedger,
        account: &AccountName,
        scope: ClaimScope,
        grant: u64,
    ) -> bool {
        let ClaimScope { bounds, now, .. } = scope;
        let Ok(index) = self.position(account) else { return false };
        let entry = &mut self.queues[index];
        let Ok(found) = entry.grants.binary_search_by_key(&grant, |known| known.number) else {
            return false;
        };
        let Some(grant) = entry.grants.remove(found) else { return false };
        let in_window = |at: Duration| now < at.saturating_add(bounds.window);
        entry.returned_at.retain(|at| in_window(*at));
        let returned = entry.returned_at.len() as u64;
        let is_put_back =
            in_window(grant.granted_at) && ledger.put_back(account, scope, grant.fills, returned);
        if is_put_back {
            entry.returned_at.push_back(now);
            // The token may serve a queued claim at once.
            if entry.serve_at.is_some() {
                entry.serve_at = Some(now);
            }
        }
        is_put_back
    }

    /// Returns the accounts whose queued claims have to be served now.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert!(rudder_decisions::LimitQueues::<u8>::new(0).due(Duration::ZERO).is_empty());
    /// ```
    #[must_use]
    pub fn due(&self, now: Duration) -> Vec<AccountName> {
        let due = self.queues.iter().filter(|entry| entry.serve_at.is_some_and(|at| at <= now));
        due.map(|entry| entry.account.clone()).collect()
    }

    /// Returns when the next queued claims have to be served.
    ///
    /// See the example of [`LimitQueues`].
    #[must_use]
    pub fn next_service_at(&self) -> Option<Duration> {
        self.queues.iter().filter_map(|entry| entry.serve_at).min()
    }

    /// Returns the reservations that were kept and missed since the last call.
    ///
    /// ```
    /// let mut queues = rudder_decisions::LimitQueues::<u8>::new(0);
    /// assert_eq!(queues.take_tally().kept, 0);
    /// ```
    pub fn take_tally(&mut self) -> ReservationTally {
        let mut tally = ReservationTally::default();
        for entry in &mut self.queues {
            let part = entry.queue.take_tally();
            tally.kept += part.kept;
            tally.missed += part.missed;
        }
        tally
    }

    /// Removes the accounts for which `keep` returns false. Returns their queued claims.
    ///
    /// ```
    /// let mut queues = rudder_decisions::LimitQueues::<u8>::new(0);
    /// assert!(queues.retain(|_| false).is_empty());
    /// ```
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) -> Vec<QueueNotice<T>> {
        let removed: Vec<AccountName> = self
            .queues
            .iter()
            .filter(|entry| !keep(&entry.account))
            .map(|entry| entry.account.clone())
            .collect();
        removed.iter().flat_map(|account| self.release(account)).collect()
    }

    /// Returns the outcome of a decided claim; takes its token if it is granted.
    fn apply_verdict(
        &mut self,
        ledger: &mut LimitLedger,
        account: &AccountName,
        scope: ClaimScope,
        index: usize,
        fills: u64,
        verdict: ClaimVerdict,
    ) -> QueueOutcome {
        let waited = match verdict {
            ClaimVerdict::Granted { waited } => waited,
            ClaimVerdict::Queued { within } => return QueueOutcome::Queued { within },
            ClaimVerdict::Rejected(rejection) => return QueueOutcome::Rejected(rejection),
        };
        let ClaimScope { limit, bounds, role, rank, now } = scope;
        match ledger.claim(account, limit, bounds, role, rank, now) {
            ClaimDecision::Granted => self.grant(index, fills, bounds.window, now, waited),
            // The supply is read at the same time, so this does not happen. Without a token the
            // claim must not be granted in any case.
            ClaimDecision::Spent(_) | ClaimDecision::NotOwner => QueueOutcome::NotOwner,
        }
    }

    fn grant(
        &mut self,
        index: usize,
        fills: u64,
        window: Duration,
        now: Duration,
        waited: bool,
    ) -> QueueOutcome {
        self.last_number += 1;
        let number = self.last_number;
        let grants = &mut self.queues[index].grants;
        let is_old = |known: &OutstandingGrant| known.granted_at.saturating_add(window) <= now;
        while grants.len() >= GRANTS_MAX || grants.front().is_some_and(is_old) {
            grants.pop_front();
        }
        grants.push_back(OutstandingGrant { number, granted_at: now, fills });
        QueueOutcome::Granted { grant: number, waited }
    }

    fn index_of(&mut self, account: &AccountName) -> usize {
        match self.position(account) {
            Ok(index) => index,
            Err(index) => {
                let entry = AccountQueue {
                    account: account.clone(),
                    queue: ClaimQueue::default(),
                    grants: VecDeque::new(),
                    returned_at: VecDeque::new(),
                    serve_at: None,
                };
                self.queues.insert(index, entry);
                index
            }
        }
    }

    fn position(&self, account: &AccountName) -> Result<usize, usize> {
        self.queues.binary_search_by(|known| known.account.cmp(account))
    }
}
