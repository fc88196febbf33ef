//! What one instance grants to the accounts that it counts for.

use super::bucket::{OperationBucket, OperationLimit};
use super::watch::OwnerStanding;
use rudder_core::AccountName;
use std::time::Duration;

/// How long an earlier owner must be silent before its successor grants from the reserve: longer
/// than a slow machine between regions takes for an answer.
const RESERVE_AFTER: Duration = Duration::from_millis(200);

/// How long before its successor grants in full. An owner that is cut off stops granting
/// [`LimitBounds::joined_life`] after its last sign of the fleet, which is less.
const FULL_AFTER: Duration = Duration::from_millis(1900);

/// Parts into which the allowance above a limit is divided: one for a successor, one for an owner that
/// returns, and one that is added to the burst, so that an account just below its limit is not
/// refused for the unevenness of its operations.
const ALLOWANCE_PARTS: u64 = 3;

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

    /// Operations in a window that a new owner may grant without knowing what was granted before.
    ///
    /// ```
    /// use rudder_decisions::{LimitBounds, OperationLimit};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(5);
    /// let bounds = LimitBounds { window, overage_permille: 100, tolerance: 21 };
    /// let limit = OperationLimit { milli_per_second: 10_000, burst: 10 };
    /// assert_eq!(bounds.reserve(limit), 9);
    /// ```
    #[must_use]
    pub fn reserve(self, limit: OperationLimit) -> u64 {
        let overage = limit.in_window(self.window).saturating_mul(self.overage_permille.into());
        (overage / 1000 + u64::from(self.tolerance)) / ALLOWANCE_PARTS
    }

    /// The limit with a burst that is greater by the reserve.
    fn lenient(self, limit: OperationLimit) -> OperationLimit {
        let reserve = u32::try_from(self.reserve(limit)).unwrap_or(u32::MAX);
        OperationLimit { burst: limit.burst.saturating_add(reserve), ..limit }
    }

    /// The reserve as a limit of its own.
    fn reserve_limit(self, limit: OperationLimit) -> OperationLimit {
        let reserve = self.reserve(limit);
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX).max(1);
        let milli_per_second = reserve.saturating_mul(1_000_000) / window_ms;
        OperationLimit { milli_per_second, burst: u32::try_from(reserve).unwrap_or(u32::MAX) }
    }
}

/// Whether an instance counts for an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerRole {
    /// Another one does, or this one may be cut off.
    Absent,
    /// An earlier owner has just gone silent: only the reserve is granted.
    Provisional,
    /// It does.
    Full,
}

impl OwnerRole {
    /// The role of an instance, by whether it has had a sign of the fleet within
    /// [`LimitBounds::joined_life`] and what the owners before it do.
    ///
    /// ```
    /// use rudder_decisions::{OwnerRole, OwnerStanding};
    /// use std::time::Duration;
    /// let silent = |ms| OwnerStanding::SilentFor(Duration::from_millis(ms));
    /// assert_eq!(OwnerRole::of(true, &[]), OwnerRole::Full);
    /// assert_eq!(OwnerRole::of(true, &[OwnerStanding::Granting]), OwnerRole::Absent);
    /// assert_eq!(OwnerRole::of(true, &[silent(300)]), OwnerRole::Provisional);
    /// assert_eq!(OwnerRole::of(true, &[silent(3000), OwnerStanding::Vacant]), OwnerRole::Full);
    /// assert_eq!(OwnerRole::of(false, &[]), OwnerRole::Absent);
    /// ```
    #[must_use]
    pub fn of(is_joined: bool, earlier: &[OwnerStanding]) -> Self {
        let role = |standing: &OwnerStanding| match standing {
            OwnerStanding::Granting => Self::Absent,
            OwnerStanding::Vacant => Self::Full,
            OwnerStanding::SilentFor(time) if *time >= FULL_AFTER => Self::Full,
            OwnerStanding::SilentFor(time) if *time >= RESERVE_AFTER => Self::Provisional,
            OwnerStanding::SilentFor(_) => Self::Absent,
        };
        let roles: Vec<Self> = earlier.iter().map(role).collect();
        if !is_joined || roles.contains(&Self::Absent) {
            return Self::Absent;
        }
        if roles.contains(&Self::Provisional) { Self::Provisional } else { Self::Full }
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
struct AccountHolding {
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
/// let bounds = LimitBounds { window: Duration::from_secs(5), overage_permille: 0, tolerance: 3 };
/// let limit = OperationLimit { milli_per_second: 1_000, burst: 10 };
/// let mut ledger = LimitLedger::default();
/// let mut claim = |role, ms| {
///     ledger.claim(&account, limit, bounds, role, Duration::from_millis(ms))
/// };
/// assert_eq!(claim(OwnerRole::Full, 0), ClaimVerdict::Granted);
/// assert_eq!(claim(OwnerRole::Full, 0), ClaimVerdict::Spent(Duration::from_secs(1)));
/// assert_eq!(claim(OwnerRole::Absent, 0), ClaimVerdict::NotOwner);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    holdings: Vec<AccountHolding>,
}

impl LimitLedger {
    /// Judges the claim of one operation.
    ///
    /// See the example of [`LimitLedger`].
    pub fn claim(
        &mut self,
        account: &AccountName,
        limit: OperationLimit,
        bounds: LimitBounds,
        role: OwnerRole,
        now: Duration,
    ) -> ClaimVerdict {
        let found = self.holdings.binary_search_by(|known| known.account.cmp(account));
        let granted = match role {
            OwnerRole::Absent => {
                // Another one may grant from now on, so this bucket tells nothing any more.
                if let Ok(index) = found {
                    self.holdings.remove(index);
                }
                return ClaimVerdict::NotOwner;
            }
            OwnerRole::Provisional => bounds.reserve_limit(limit),
            OwnerRole::Full => bounds.lenient(limit),
        };
        let index = found.unwrap_or_else(|index| {
            let bucket = OperationBucket::new(granted, bounds.reserve(limit), now);
            self.holdings.insert(index, AccountHolding { account: account.clone(), role, bucket });
            index
        });
        let holding = &mut self.holdings[index];
        holding.role = role;
        match holding.bucket.take(granted, now) {
            Ok(()) => ClaimVerdict::Granted,
            Err(after) => ClaimVerdict::Spent(after),
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
        let found = self.holdings.binary_search_by(|known| known.account.cmp(account));
        found.map_or(OwnerRole::Absent, |index| self.holdings[index].role)
    }

    /// Forgets the accounts for which `keeps` does not hold.
    ///
    /// ```
    /// let mut ledger = rudder_decisions::LimitLedger::default();
    /// ledger.retain(|_| false);
    /// ```
    pub fn retain(&mut self, keeps: impl Fn(&AccountName) -> bool) {
        self.holdings.retain(|holding| keeps(&holding.account));
    }
}
