//! Queue of the claims of one account at its owner.
//!
//! Load pattern: an account sends several times its limit, work of all priorities alike. If tokens
//! go to whichever claim arrives first, urgent work is rejected as often as any other, and every
//! rejected caller retries at once, as it is told the time of a token that others take before it.
//!
//! While the limit binds, a claim waits in the queue if its token comes within the time for which
//! waiting is useful to its caller: a quarter of its latency target, or half of it if nothing can
//! overtake the claim. All others are rejected at once. The waits follow from the latency targets
//! that callers state; an operation that waited longer would hardly complete on time.
//!
//! A rejected claim is given a token of its own if one is left within half of its latency target;
//! the other half is left for the retry's way, its wait in the queue, and the statement itself. Later
//! tokens are not promised: they serve claims that arrive then and can still complete on time.

use super::bucket::TokenSupply;
use super::reservation::{ReservationBook, ReservationStanding, ReservationTally};
use std::time::Duration;

/// The lowest priority gets at least one token of this many while its claims wait.
const FLOOR_TOKENS: u64 = 8;

/// Maximum number of queued claims of an account. Bounds the memory of an owner.
const WAITING_MAX: usize = 1024;

/// Maximum useful wait that a claim may state, so that an absurd value occupies the queue only
/// briefly.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Maximum time to its deadline that a claim may state.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Time constant of the average rate at which tokens go to each priority.
const SHARE_TIME: Duration = Duration::from_secs(1);

/// Time after its last claim at which a priority no longer counts as in use.
const PRIORITY_RETENTION: Duration = Duration::from_secs(5);

/// What a claim states about its operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimTerms {
    /// Priority of the route, 0 being the highest; `None` counts as the lowest.
    pub priority: Option<u8>,
    /// Useful wait while a grant is certain, half of the latency target. If it is not, half of this
    /// applies.
    pub wait: Duration,
    /// Remaining time to the deadline.
    pub deadline: Duration,
    /// Whether the operation was refused before.
    pub refused_before: bool,
    /// Reservation that the operation holds.
    pub reservation: Option<u64>,
}

impl ClaimTerms {
    /// Returns what is unusual about the terms, as a fixed word. The claim is decided all the same:
    /// without a priority as one of the lowest, and with absurd times cut.
    ///
    /// ```
    /// use rudder_decisions::ClaimTerms;
    /// assert_eq!(ClaimTerms::default().irregularity(), Some("no_priority"));
    /// let terms = ClaimTerms { priority: Some(1), ..Default::default() };
    /// assert_eq!(terms.irregularity(), Some("deadline_past"));
    /// ```
    #[must_use]
    pub fn irregularity(&self) -> Option<&'static str> {
        match self {
            Self { priority: None, .. } => Some("no_priority"),
            Self { deadline, .. } if deadline.is_zero() => Some("deadline_past"),
            Self { deadline, .. } if *deadline > DEADLINE_MAX => Some("deadline_absurd"),
            Self { wait, .. } if *wait > WAIT_MAX => Some("wait_absurd"),
            Self { .. } => None,
        }
    }

    /// Returns the terms with absurd values replaced. A claim whose deadline is past does not wait.
    fn bounded(self) -> Self {
        let deadline = self.deadline.min(DEADLINE_MAX);
        Self { wait: self.wait.min(WAIT_MAX).min(deadline), deadline, ..self }
    }
}

/// Outcome of a claim at the owner's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// The operation may run.
    Granted {
        /// Number of the grant, by which it can be returned.
        grant: u64,
        /// Whether the claim waited in the queue.
        waited: bool,
    },
    /// The claim waits; its outcome follows within this time.
    Queued {
        /// Maximum time to the outcome.
        within: Duration,
    },
    /// The operation may not run now.
    Rejected(ClaimRejection),
    /// This instance is not the owner of the account.
    NotOwner,
}

/// Rejection of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRejection {
    /// Delay after which a retry is useful.
    pub retry_after: Duration,
    /// Reservation of the token at that time, if there is one.
    pub reservation: Option<u64>,
    /// Time for which all tokens are promised, if the caller may rely on it.
    pub promised_for: Option<Duration>,
    /// Reason as a fixed word.
    pub reason: &'static str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ClaimStanding {
    Reserved,
    RefusedBefore,
    New,
}

/// Order in which queued claims get tokens.
type ClaimOrder = (u8, ClaimStanding, u64);

#[derive(Clone, Debug)]
struct WaitingClaim<T> {
    order: ClaimOrder,
    terms: ClaimTerms,
    wait_until: Duration,
    deadline: Duration,
    claimant: T,
}

/// Average rate at which tokens went to a priority.
#[derive(Clone, Copy, Debug)]
struct PriorityShare {
    priority: u8,
    per_second: f64,
    granted_at: Duration,
    claimed_at: Duration,
}

/// Decision on a queued claim, without the number of the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimVerdict {
    Granted { waited: bool },
    Queued { within: Duration },
    Rejected(ClaimRejection),
}

/// Waiting claims and reservations of one account.
#[derive(Clone, Debug)]
pub(super) struct ClaimQueue<T> {
    /// Sorted by order.
    waiting: Vec<WaitingClaim<T>>,
    book: ReservationBook,
    /// Sorted by priority.
    shares: Vec<PriorityShare>,
    /// Tokens granted to higher priorities since the lowest one got its last, at most one less than
    /// [`FLOOR_TOKENS`].
    floor_credit: u64,
    last_sequence: u64,
}

impl<T> Default for ClaimQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            book: ReservationBook::default(),
            shares: Vec::new(),
            floor_credit: 0,
            last_sequence: 0,
        }
    }
}

impl<T> ClaimQueue<T> {
    /// Decides on a claim that has just arrived. `last_number` is the source of numbers for
    /// reservations. `serve` has to be called before.
    ///
    /// Returns the verdict; a queued claim keeps its claimant in the queue, all others return it.
    pub(super) fn admit(
        &mut self,
        terms: ClaimTerms,
        claimant: T,
        supply: TokenSupply,
        last_number: &mut u64,
        now: Duration,
    ) -> (Option<T>, ClaimVerdict) {
        let terms = terms.bounded();
        let priority = self.observe_priority(terms.priority, now);
        let standing = match terms.reservation.map(|number| self.book.standing(number, now)) {
            Some(ReservationStanding::Due) => {
                self.redeem(terms.reservation);
                ClaimStanding::Reserved
            }
            Some(ReservationStanding::Early { .. } | ReservationStanding::Unknown) => {
                ClaimStanding::RefusedBefore
            }
            None if terms.refused_before => ClaimStanding::RefusedBefore,
            None => ClaimStanding::New,
        };
        self.last_sequence += 1;
        let order = (priority, standing, self.last_sequence);
        let index = self.waiting.partition_point(|known| known.order < order);
        let floor_due = self.is_floor_due(priority);
        if index == 0 && supply.available > self.held(order, floor_due, now) {
            self.redeem(terms.reservation);
            self.record_grant(priority, now);
            return (Some(claimant), ClaimVerdict::Granted { waited: false });
        }
        let expected = self.expected(index, order, supply, terms.wait, now);
        let wait = if self.is_certain(order) { terms.wait } else { terms.wait / 2 };
        if wait.is_zero() || expected > wait || self.waiting.len() >= WAITING_MAX {
            let rejection = self.reject(terms, priority, expected, supply, last_number, now);
            return (Some(claimant), ClaimVerdict::Rejected(rejection));
        }
        self.redeem(terms.reservation);
        let wait_until = now.saturating_add(wait);
        let deadline = now.saturating_add(terms.deadline);
        let waiting = WaitingClaim { order, terms, wait_until, deadline, claimant };
        self.waiting.insert(index, waiting);
        (None, ClaimVerdict::Queued { within: wait })
    }

    /// Assigns the available tokens to queued claims, and rejects those whose tokens come too late.
    /// Returns the decided claims.
    pub(super) fn serve(
        &mut self,
        mut supply: TokenSupply,
        last_number: &mut u64,
        now: Duration,
    ) -> Vec<(T, u8, ClaimVerdict)> {
        self.book.expire(now);
        let mut decided = Vec::new();
        while let Some(index) = self.next_index() {
            let order = self.waiting[index].order;
            if supply.available <= self.held(order, self.is_floor_due(order.0), now) {
                break;
            }
            supply.available -= 1;
            let claim = self.waiting.remove(index);
            self.record_grant(order.0, now);
            decided.push((claim.claimant, order.0, ClaimVerdict::Granted { waited: true }));
        }
        let mut index = 0;
        while index < self.waiting.len() {
            let claim = &self.waiting[index];
            let remaining = claim.wait_until.saturating_sub(now);
            let expected = self.expected(index, claim.order, supply, remaining, now);
            if !remaining.is_zero() && expected <= remaining {
                index += 1;
                continue;
            }
            let claim = self.waiting.remove(index);
            let deadline = claim.deadline.saturating_sub(now);
            let terms = ClaimTerms { deadline, reservation: None, ..claim.terms };
            let priority = claim.order.0;
            let mut rejection = self.reject(terms, priority, expected, supply, last_number, now);
            rejection.reason = "displaced";
            decided.push((claim.claimant, priority, ClaimVerdict::Rejected(rejection)));
        }
        decided
    }

    /// Returns the time until `serve` has to be called again; `None` if no claim waits.
    pub(super) fn next_service(&self, supply: TokenSupply, now: Duration) -> Option<Duration> {
        let index = self.next_index()?;
        let order = self.waiting[index].order;
        let wait_end = self.waiting.iter().map(|claim| claim.wait_until.saturating_sub(now)).min();
        let expiry = self.book.next_expiry().map(|at| at.saturating_sub(now) + MILLISECOND);
        let held = self.held(order, self.is_floor_due(order.0), now);
        let token = supply.next_after.saturating_add(TokenSupply::time_to_add(
            held.saturating_sub(supply.available) * 1000,
            supply.milli_per_second,
        ));
        [wait_end, expiry, Some(token)].into_iter().flatten().min()
    }

    /// Returns the claimants of all queued claims and empties the queue.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = (T, u8)> + '_ {
        self.waiting.drain(..).map(|claim| (claim.claimant, claim.order.0))
    }

    /// Records a grant that was made without a queue, and returns its priority.
    pub(super) fn record_direct_grant(&mut self, stated: Option<u8>, now: Duration) -> u8 {
        let priority = self.observe_priority(stated, now);
        self.record_grant(priority, now);
        priority
    }

    /// Returns the reservations that were kept and missed since the last call.
    pub(super) fn take_tally(&mut self) -> ReservationTally {
        self.book.take_tally()
    }

    /// Returns the priority that a claim without one is given.
    pub(super) fn priority_of(&self, stated: Option<u8>) -> u8 {
        stated.unwrap_or_else(|| self.lowest().unwrap_or(u8::MAX))
    }

    fn observe_priority(&mut self, stated: Option<u8>, now: Duration) -> u8 {
        self.shares.retain(|share| now < share.claimed_at.saturating_add(PRIORITY_RETENTION));
        let priority = self.priority_of(stated);
        let index = match self.shares.binary_search_by_key(&priority, |share| share.priority) {
            Ok(index) => index,
            Err(index) => {
                let share =
                    PriorityShare { priority, per_second: 0.0, granted_at: now, claimed_at: now };
                self.shares.insert(index, share);
                index
            }
        };
        self.shares[index].claimed_at = now;
        priority
    }

    fn lowest(&self) -> Option<u8> {
        self.shares.last().map(|share| share.priority)
    }

    fn is_lowest(&self, priority: u8) -> bool {
        self.shares.len() > 1 && self.lowest() == Some(priority)
    }

    /// Whether the next token is the one of the floor for claims of a priority.
    fn is_floor_due(&self, priority: u8) -> bool {
        self.is_lowest(priority) && self.floor_credit + 1 >= FLOOR_TOKENS
    }

    /// Whether later claims cannot displace this one past its wait: those of the highest priority in
    /// use, and those with a reservation.
    fn is_certain(&self, order: ClaimOrder) -> bool {
        let highest = self.shares.first().is_none_or(|share| share.priority >= order.0);
        highest || order.1 == ClaimStanding::Reserved
    }

    /// Returns the number of tokens to hold back for due reservations that precede a claim.
    fn held(&self, order: ClaimOrder, floor_due: bool, now: Duration) -> u64 {
        match order.1 {
            _ if floor_due => 0,
            // Due reservations of the same priority are served as they arrive.
            ClaimStanding::Reserved => {
                order.0.checked_sub(1).map_or(0, |higher| self.book.held(higher, now))
            }
            ClaimStanding::RefusedBefore | ClaimStanding::New => self.book.held(order.0, now),
        }
    }

    /// Returns the index of the claim that gets the next token.
    fn next_index(&self) -> Option<usize> {
        let last = self.waiting.last()?.order.0;
        if self.is_floor_due(last) {
            return Some(self.waiting.partition_point(|claim| claim.order.0 < last));
        }
        Some(0)
    }

    /// Returns the time until a claim at this place in the queue gets a token, given the claims and
    /// due reservations that precede it.
    fn expected(
        &self,
        index: usize,
        order: ClaimOrder,
        supply: TokenSupply,
        wait: Duration,
        now: Duration,
    ) -> Duration {
        let (priority, standing, _) = order;
        let promised = match standing {
            ClaimStanding::Reserved => 0,
            _ => self.book.promised(priority, now.saturating_add(wait)),
        };
        let ahead = index as u64 * 1000 + promised;
        let by_rank = time_to_token(supply, ahead, self.remaining_rate(priority, supply, now));
        if !self.is_lowest(priority) {
            return by_rank;
        }
        let first = self.waiting.partition_point(|claim| claim.order.0 < priority);
        let rank = index.saturating_sub(first) as u64;
        let until_floor =
            ((rank + 1) * FLOOR_TOKENS).saturating_sub(self.floor_credit + 1).min(1 << 30);
        by_rank.min(time_to_token(supply, until_floor * 1000, supply.milli_per_second))
    }

    /// Returns the part of the rate that higher priorities leave to this one, at least the floor.
    fn remaining_rate(&self, priority: u8, supply: TokenSupply, now: Duration) -> u64 {
        let higher = self.shares.iter().take_while(|share| share.priority < priority);
        let taken: f64 = higher.map(|share| share.rate_at(now)).sum();
        let taken = (taken * 1000.0) as u64;
        supply.milli_per_second.saturating_sub(taken).max(supply.milli_per_second / FLOOR_TOKENS)
    }

    fn redeem(&mut self, reservation: Option<u64>) {
        if let Some(number) = reservation {
            self.book.redeem(number);
        }
    }

    fn record_grant(&mut self, priority: u8, now: Duration) {
        if self.is_lowest(priority) {
            self.floor_credit = 0;
        } else {
            self.floor_credit = (self.floor_credit + 1).min(FLOOR_TOKENS - 1);
        }
        if let Some(share) = self.shares.iter_mut().find(|share| share.priority == priority) {
            share.per_second = share.rate_at(now) + 1.0 / SHARE_TIME.as_secs_f64();
            share.granted_at = now;
        }
    }

    /// Returns the rejection of a claim, with a token of its own if one is left that is useful to it.
    fn reject(
        &mut self,
        terms: ClaimTerms,
        priority: u8,
        expected: Duration,
        supply: TokenSupply,
        last_number: &mut u64,
        now: Duration,
    ) -> ClaimRejection {
        if let Some(number) = terms.reservation
            && let ReservationStanding::Early { due } = self.book.standing(number, now)
        {
            let retry_after = due.saturating_sub(now);
            let reservation = Some(number);
            let reason = "early";
            return ClaimRejection { retry_after, reservation, promised_for: None, reason };
        }
        let rate = self.remaining_rate(priority, supply, now);
        let last = self.book.last_due(priority).unwrap_or(now).max(now);
        let free = last.saturating_sub(now).saturating_add(TokenSupply::time_to_add(1000, rate));
        let retry_after = free.max(expected);
        // The wait is half of the latency target. The other half is left for the retry's way, its
        // wait in the queue and the statement.
        let useful = terms.wait.min(terms.deadline);
        if retry_after <= useful {
            let number = *last_number + 1;
            if self.book.reserve(number, priority, now.saturating_add(retry_after)) {
                *last_number = number;
                let reservation = Some(number);
                let reason = "reserved";
                return ClaimRejection { retry_after, reservation, promised_for: None, reason };
            }
        }
        let promised_until = self.book.promised_until(priority);
        let promised_for = promised_until.map(|until| until.saturating_sub(now));
        let retry_after = retry_after.max(terms.deadline);
        let reason = "promised";
        ClaimRejection { retry_after, reservation: None, promised_for, reason }
    }
}

/// Added to the expiry of a reservation, which is inclusive.
const MILLISECOND: Duration = Duration::from_millis(1);

impl PriorityShare {
    fn rate_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.granted_at).as_secs_f64();
        self.per_second * (-age / SHARE_TIME.as_secs_f64()).exp()
    }
}

/// Returns the time until a token is left after `ahead` thousandths of operations were granted.
fn time_to_token(supply: TokenSupply, ahead: u64, milli_per_second: u64) -> Duration {
    let missing = ahead.saturating_sub(supply.available.saturating_mul(1000));
    if supply.available > 0 && ahead < supply.available.saturating_mul(1000) {
        return Duration::ZERO;
    }
    supply.next_after.saturating_add(TokenSupply::time_to_add(missing, milli_per_second))
}
