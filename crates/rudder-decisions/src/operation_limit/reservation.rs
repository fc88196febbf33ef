//! Tokens promised to rejected claims, so that a retry at the given time finds a token.
//!
//! Load pattern: an account sends several times its limit, and every rejected caller retries. If all
//! of them are given the time of the next token, they return together and all but one are rejected
//! again. Each rejected claim therefore gets the time of a token of its own.
//!
//! Callers may return through another session, without the reservation, or not at all. The book
//! measures the share of reservations that are kept and holds only that share of the tokens back, so
//! that promises which nobody keeps do not leave the limit unused.

use super::bucket::TokenSupply;
use rudder_core::AccountName;
use std::time::Duration;

/// Time after its due time at which an unused reservation expires: a round trip to the caller and
/// one to the owner in another region, on a busy machine.
const RESERVATION_GRACE: Duration = Duration::from_millis(150);

/// Maximum number of reservations of an account. Bounds the memory of an owner; more than this
/// number of tokens within a latency target need no reservations, as the next one is never far.
const RESERVATIONS_MAX: usize = 1024;

/// Weight of one reservation in the measured share of kept ones, as a divisor.
const KEPT_DIVISOR: u32 = 16;

/// Share of kept reservations from which tokens count as promised for other instances.
const RELIABLE_PERMILLE: u32 = 800;

/// Standing of a claim's reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationStanding {
    /// The reservation is due.
    Due,
    /// The claim arrived before the reserved time.
    Early {
        /// Reserved time.
        due: Duration,
    },
    /// The reservation has expired or was made by another owner.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    number: u64,
    priority: u8,
    due: Duration,
}

/// Numbers of reservations that were used and that expired, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationTally {
    /// Reservations whose claims arrived.
    pub kept: u64,
    /// Reservations that expired.
    pub missed: u64,
}

/// Reservations of one account, sorted by number.
#[derive(Clone, Debug)]
pub(super) struct ReservationBook {
    reservations: Vec<Reservation>,
    kept_permille: u32,
    tally: ReservationTally,
}

impl Default for ReservationBook {
    fn default() -> Self {
        Self { reservations: Vec::new(), kept_permille: 1000, tally: ReservationTally::default() }
    }
}

impl ReservationBook {
    /// Reserves the token at `due`. Returns false if there are too many reservations.
    pub(super) fn reserve(&mut self, number: u64, priority: u8, due: Duration) -> bool {
        if self.reservations.len() >= RESERVATIONS_MAX {
            return false;
        }
        self.reservations.push(Reservation { number, priority, due });
        true
    }

    /// Returns the standing of a reservation and leaves it in place.
    pub(super) fn standing(&self, number: u64, now: Duration) -> ReservationStanding {
        match self.position(number) {
            Ok(index) if self.reservations[index].due <= now + RESERVATION_GRACE => {
                ReservationStanding::Due
            }
            Ok(index) => ReservationStanding::Early { due: self.reservations[index].due },
            Err(_) => ReservationStanding::Unknown,
        }
    }

    /// Removes a reservation whose claim has arrived.
    pub(super) fn redeem(&mut self, number: u64) {
        if let Ok(index) = self.position(number) {
            self.reservations.remove(index);
            self.record(true);
        }
    }

    /// Removes expired reservations.
    pub(super) fn expire(&mut self, now: Duration) {
        let before = self.reservations.len();
        self.reservations.retain(|known| now <= known.due.saturating_add(RESERVATION_GRACE));
        let missed = before - self.reservations.len();
        (0..missed).for_each(|_| self.record(false));
    }

    /// Returns the reservations that were kept and missed since the last call.
    pub(super) fn take_tally(&mut self) -> ReservationTally {
        std::mem::take(&mut self.tally)
    }

    /// Returns the number of tokens to hold back for reservations that are due and precede claims
    /// of a priority.
    pub(super) fn held(&self, priority: u8, now: Duration) -> u64 {
        (self.promised(priority, now) + 500) / 1000
    }

    /// Returns the tokens, in thousandths, that are promised until a time to reservations that
    /// precede claims of a priority.
    pub(super) fn promised(&self, priority: u8, until: Duration) -> u64 {
        let precedes = |known: &&Reservation| known.priority <= priority && known.due <= until;
        let count = self.reservations.iter().filter(precedes).count();
        u64::from(self.kept_permille) * count as u64
    }

    /// Returns the time of the last token that is promised to claims of this or a higher priority.
    pub(super) fn last_due(&self, priority: u8) -> Option<Duration> {
        let same = self.reservations.iter().filter(|known| known.priority <= priority);
        same.map(|known| known.due).max()
    }

    /// Returns the time until which tokens are promised; `None` if callers keep too few
    /// reservations for others to rely on it.
    pub(super) fn promised_until(&self, priority: u8) -> Option<Duration> {
        if self.kept_permille < RELIABLE_PERMILLE {
            return None;
        }
        self.last_due(priority)
    }

    /// Returns when the next reservation that is due expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        let expiry = |known: &Reservation| known.due.saturating_add(RESERVATION_GRACE);
        self.reservations.iter().map(expiry).min()
    }

    fn position(&self, number: u64) -> Result<usize, usize> {
        self.reservations.binary_search_by_key(&number, |known| known.number)
    }

    fn record(&mut self, kept: bool) {
        let observed = if kept { 1000 } else { 0 };
        let count = if kept { &mut self.tally.kept } else { &mut self.tally.missed };
        *count += 1;
        self.kept_permille = (self.kept_permille * (KEPT_DIVISOR - 1) + observed) / KEPT_DIVISOR;
    }
}

/// Accounts whose tokens are all promised to claims of a priority, as told by their owners.
///
/// An instance rejects such claims itself: the owner would reject them too, and at several times the
/// limit these messages would be most of the traffic of the account.
///
/// ```
/// use rudder_decisions::PromisedTokens;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let account = "choirs".parse()?;
/// let mut promised = PromisedTokens::default();
/// promised.record(&account, 2, ms(1000), ms(0));
/// assert_eq!(promised.try_reject(&account, 1, ms(100), 10_000, ms(0)), None, "a higher priority");
/// assert_eq!(promised.try_reject(&account, 2, ms(100), 10_000, ms(0)), Some(ms(1100)));
/// assert_eq!(promised.try_reject(&account, 2, ms(100), 10_000, ms(0)), Some(ms(1200)));
/// assert_eq!(promised.try_reject(&account, 2, ms(100), 10_000, ms(950)), None, "it could wait");
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct PromisedTokens {
    /// Sorted by account.
    entries: Vec<PromisedEntry>,
}

#[derive(Clone, Debug)]
struct PromisedEntry {
    account: AccountName,
    priority: u8,
    until: Duration,
    rejected: u64,
}

/// Maximum time for which an instance rejects claims without sending them, so that an absurd time
/// from a peer does not stop an account.
const PROMISED_MAX: Duration = Duration::from_millis(1000);

impl PromisedTokens {
    /// Records that an owner has promised all tokens until a time.
    ///
    /// See the example of [`PromisedTokens`].
    pub fn record(&mut self, account: &AccountName, priority: u8, until: Duration, now: Duration) {
        self.entries.retain(|entry| now < entry.until);
        let until = until.min(now.saturating_add(PROMISED_MAX));
        let entry = PromisedEntry { account: account.clone(), priority, until, rejected: 0 };
        match self.entries.binary_search_by(|known| known.account.cmp(account)) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Returns the retry delay of a claim if all tokens are promised that it could wait for. The
    /// delays are spread at the account's rate.
    ///
    /// See the example of [`PromisedTokens`].
    pub fn try_reject(
        &mut self,
        account: &AccountName,
        priority: u8,
        wait: Duration,
        milli_per_second: u64,
        now: Duration,
    ) -> Option<Duration> {
        let found = self.entries.binary_search_by(|known| known.account.cmp(account)).ok()?;
        let entry = &mut self.entries[found];
        if priority < entry.priority || now.saturating_add(wait) >= entry.until {
            return None;
        }
        entry.rejected += 1;
        let spread = TokenSupply::time_to_add(entry.rejected * 1000, milli_per_second);
        Some(entry.until.saturating_sub(now).saturating_add(spread))
    }
}
