//! What one instance grants to the accounts that it counts for.

use super::bucket::{OperationBucket, OperationLimit};
use super::watch::OwnerState;
use rudder_core::AccountName;
use std::time::Duration;

/// How long an earlier owner must be silent before its successor grants from the reserve: longer
/// than a slow machine between regions takes for an answer.
const PROVISIONAL_AFTER: Duration = Duration::from_millis(200);

/// How long before its successor grants in full. An owner that is cut off stops granting
/// [`LimitBounds::joined_life`] after its last sign of the fleet, which is less.
const FULL_AFTER: Duration = Duration::from_millis(1900);

/// Twelfths of the allowance above a limit that an owner may grant when it begins to count, by its place
/// in the order of owners. All of them may begin within a window.
const START_TWELFTHS: [u64; 3] = [2, 4, 2];

/// Twelfths that a successor may grant in a window while it does not count in full.
const PROVISIONAL_TWELFTHS: u64 = 3;

/// Twelfths that an owner may grant in a window, beyond what it holds, while it may be cut off.
const DETACHED_TWELFTHS: u64 = 1;

/// Twelfths that are added to the burst, so that an account just below its limit is not refused for
/// the unevenness of its operations.
const BURST_TWELFTHS: u64 = 2;

/// What of an account's use counts together, and how far it may be above the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitBounds {
    /// The time in which operations are counted.
    pub window: Duration,
    /// The part of the limit that may be used beyond it, in thousandths.
    pub overage_permille: u32,
    /// Operations in a window that may be used beyond that.
    pub tolerance: u32,
}

impl LimitBounds {
    /// For how long after its last sign of the fleet an instance may count for accounts.
    ///
    /// ```
    /// use rudder_decisions::LimitBounds;
    /// assert!(LimitBounds::joined_life().as_millis() < 1900);
    /// ```
    #[must_use]
    pub fn joined_life() -> Duration {
        Duration::from_millis(1800)
    }

    /// Operations in a window that may run beyond a limit.
    ///
    /// ```
    /// use rudder_decisions::{LimitBounds, OperationLimit};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(5);
    /// let bounds = LimitBounds { window, overage_permille: 100, tolerance: 20 };
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 10 };
    /// assert_eq!(bounds.allowance(limit), 26);
    /// ```
    #[must_use]
    pub fn allowance(self, limit: OperationLimit) -> u64 {
        let overage = limit.in_window(self.window).saturating_mul(self.overage_permille.into());
        overage / 1000 + u64::from(self.tolerance)
    }

    /// What a new owner may grant at once. Only one that has long counted, or would have, knows that
    /// no other one has just granted.
    fn start_operations(self, role: OwnerRole, rank: usize, limit: OperationLimit) -> u64 {
        match role {
            OwnerRole::Settled => limit.burst.into(),
            _ => self.allowance(limit) * START_TWELFTHS.get(rank).unwrap_or(&0) / 12,
        }
    }

    /// What an owner may grant in a role.
    fn effective_limit(self, role: OwnerRole, limit: OperationLimit) -> OperationLimit {
        let allowance = self.allowance(limit);
        let added = u32::try_from(allowance * BURST_TWELFTHS / 12).unwrap_or(u32::MAX);
        let burst = limit.burst.saturating_add(added);
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX).max(1);
        let rate = |part: u64| (allowance * part / 12).saturating_mul(1_000_000) / window_ms;
        let milli_per_second = match role {
            OwnerRole::Full | OwnerRole::Settled => limit.milli_per_second,
            OwnerRole::Provisional => rate(PROVISIONAL_TWELFTHS),
            OwnerRole::Detached => rate(DETACHED_TWELFTHS),
            OwnerRole::Absent => 0,
        };
        OperationLimit { milli_per_second, burst }
    }
}

/// Whether an instance counts for an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerRole {
    /// Another one does.
    Absent,
    /// It may be cut off, and another one may count elsewhere: it grants what it holds, and little
    /// more.
    Detached,
    /// An earlier owner has just gone silent: a part of what may run beyond the limit is granted.
    Provisional,
    /// It does.
    Full,
    /// It does, and no other one can have done so for a whole window.
    Settled,
}

/// What an instance knows of its own place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetContact {
    /// It has had no sign of the fleet within [`LimitBounds::joined_life`].
    Lost,
    /// It has.
    Joined,
    /// It has had one all the time for a whole window.
    Settled,
}

impl OwnerRole {
    /// The role of an instance, by its contact with the fleet and what the owners before it do.
    ///
    /// ```
    /// use rudder_decisions::{FleetContact, OwnerRole, OwnerState};
    /// use std::time::Duration;
    /// let silent = |ms| OwnerState::SilentFor(Duration::from_millis(ms));
    /// assert_eq!(OwnerRole::of(FleetContact::Settled, &[]), OwnerRole::Settled);
    /// let joined = FleetContact::Joined;
    /// assert_eq!(OwnerRole::of(joined, &[]), OwnerRole::Full);
    /// assert_eq!(OwnerRole::of(joined, &[OwnerState::Granting]), OwnerRole::Absent);
    /// assert_eq!(OwnerRole::of(joined, &[silent(300)]), OwnerRole::Provisional);
    /// assert_eq!(OwnerRole::of(joined, &[silent(3000), OwnerState::NotGranting]), OwnerRole::Full);
    /// assert_eq!(OwnerRole::of(FleetContact::Lost, &[]), OwnerRole::Detached);
    /// ```
    #[must_use]
    pub fn of(contact: FleetContact, earlier: &[OwnerState]) -> Self {
        let role = |state: &OwnerState| match state {
            OwnerState::Granting => Self::Absent,
            OwnerState::NotGranting => Self::Full,
            OwnerState::SilentFor(time) if *time >= FULL_AFTER => Self::Full,
            OwnerState::SilentFor(time) if *time >= PROVISIONAL_AFTER => Self::Provisional,
            OwnerState::SilentFor(_) => Self::Absent,
        };
        let roles: Vec<Self> = earlier.iter().map(role).collect();
        if roles.contains(&Self::Absent) {
            return Self::Absent;
        }
        match contact {
            FleetContact::Lost => Self::Detached,
            _ if roles.contains(&Self::Provisional) => Self::Provisional,
            FleetContact::Settled if earlier.is_empty() => Self::Settled,
            FleetContact::Settled | FleetContact::Joined => Self::Full,
        }
    }
}

/// What a claim is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The operation may run.
    Granted,
    /// The limit is used up until this long from now.
    Spent(Duration),
    /// This instance does not count for the account.
    NotOwner,
}

#[derive(Clone, Debug)]
struct AccountRecord {
    account: AccountName,
    role: OwnerRole,
    bucket: OperationBucket,
}

/// The buckets of the accounts that an instance counts for, sorted by account.
///
/// ```
/// use rudder_decisions::{ClaimVerdict, LimitBounds, LimitLedger, OperationLimit, OwnerRole};
/// use std::time::Duration;
/// let account = "choirs".parse()?;
/// assert!(!LimitLedger::default().grants(&account, OwnerRole::Detached));
/// let bounds = LimitBounds { window: Duration::from_secs(5), overage_permille: 0, tolerance: 6 };
/// let limit = OperationLimit { milli_per_second: 1_000, burst: 10 };
/// let mut ledger = LimitLedger::default();
/// let mut claim = |role, ms| {
///     ledger.claim(&account, limit, bounds, role, 0, Duration::from_millis(ms))
/// };
/// assert_eq!(claim(OwnerRole::Full, 0), ClaimVerdict::Granted);
/// assert_eq!(claim(OwnerRole::Full, 0), ClaimVerdict::Spent(Duration::from_secs(1)));
/// assert_eq!(claim(OwnerRole::Absent, 0), ClaimVerdict::NotOwner);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    records: Vec<AccountRecord>,
}

impl LimitLedger {
    /// Judges the claim of one operation, for an instance at `rank` in the order of owners.
    ///
    /// See the example of [`LimitLedger`].
    pub fn claim(
        &mut self,
        account: &AccountName,
        limit: OperationLimit,
        bounds: LimitBounds,
        role: OwnerRole,
        rank: usize,
        now: Duration,
    ) -> ClaimVerdict {
        let found = self.records.binary_search_by(|known| known.account.cmp(account));
        let granted = bounds.effective_limit(role, limit);
        let index = match (found, role) {
            (Ok(index), OwnerRole::Absent) => {
                // Another one may grant from now on, so this bucket tells nothing any more.
                self.records.remove(index);
                return ClaimVerdict::NotOwner;
            }
            (Err(_), OwnerRole::Absent | OwnerRole::Detached) => return ClaimVerdict::NotOwner,
            (Ok(index), _) => index,
            (Err(index), _) => {
                let bucket =
                    OperationBucket::new(granted, bounds.start_operations(role, rank, limit), now);
                let record = AccountRecord { account: account.clone(), role, bucket };
                self.records.insert(index, record);
                index
            }
        };
        let record = &mut self.records[index];
        record.role = role;
        match record.bucket.take(granted, now) {
            Ok(()) => ClaimVerdict::Granted,
            Err(after) => ClaimVerdict::Spent(after),
        }
    }

    /// Whether an instance with this role may grant an account's operations.
    ///
    /// See the example of [`LimitLedger`].
    #[must_use]
    pub fn grants(&self, account: &AccountName, role: OwnerRole) -> bool {
        match role {
            OwnerRole::Absent => false,
            OwnerRole::Detached => self.role(account) != OwnerRole::Absent,
            OwnerRole::Provisional | OwnerRole::Full | OwnerRole::Settled => true,
        }
    }

    /// The role in which the last claim of an account was judged.
    ///
    /// ```
    /// use rudder_decisions::{LimitLedger, OwnerRole};
    /// let account = "choirs".parse()?;
    /// assert_eq!(LimitLedger::default().role(&account), OwnerRole::Absent);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn role(&self, account: &AccountName) -> OwnerRole {
        let found = self.records.binary_search_by(|known| known.account.cmp(account));
        found.map_or(OwnerRole::Absent, |index| self.records[index].role)
    }

    /// Forgets the accounts for which `keep` does not hold.
    ///
    /// ```
    /// let mut ledger = rudder_decisions::LimitLedger::default();
    /// ledger.retain(|_| false);
    /// ```
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.records.retain(|record| keep(&record.account));
    }
}
