//! Grants of one instance to the accounts that it owns.

use super::bucket::{OperationBucket, OperationLimit, TokenSupply};
use super::limit_queues::ClaimScope;
use super::role::{DETACHED_BURST_TIME, OwnerRole};
use rudder_core::AccountName;
use std::time::Duration;

/// How long after its last claim an account's earlier owners are probed between claims.
const ACTIVE_TIME: Duration = Duration::from_millis(5000);

/// Twelfths of the allowance above a limit that a new owner may grant at once, by its rank in the
/// order of owners. All owners may start within one window, so their parts add up.
const START_TWELFTHS: [u64; 3] = [2, 4, 2];

/// Twelfths of the allowance that a provisional owner may grant in a window.
const PROVISIONAL_TWELFTHS: u64 = 3;

/// Twelfths of the allowance that an owner that may be cut off may grant in a window, beyond the
/// content of its bucket.
const DETACHED_TWELFTHS: u64 = 1;

/// Twelfths of the allowance that are added to the burst, so that an account just below its limit
/// is not refused because its operations arrive unevenly.
const BURST_TWELFTHS: u64 = 2;

/// Window in which an account's operations are counted, and the permitted excess over the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitBounds {
    /// Length of the window.
    pub window: Duration,
    /// Permitted excess over the limit, in thousandths of the limit.
    pub overage_permille: u32,
    /// Operations in a window that are permitted in addition to `overage_permille`.
    pub tolerance: u32,
}

impl LimitBounds {
    /// Returns how long after its last contact with the fleet an instance may grant as an owner.
    ///
    /// ```
    /// use rudder_decisions::LimitBounds;
    /// assert!(LimitBounds::contact_timeout().as_millis() < 1900);
    /// ```
    #[must_use]
    pub fn contact_timeout() -> Duration {
        Duration::from_millis(1800)
    }

    /// Returns the number of operations in a window that may run beyond a limit.
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

    /// Returns the number of operations that a new owner may grant at once. Only a settled owner
    /// may start with the full burst, because only it knows that no other owner has granted one
    /// within the window.
    fn start_operations(self, role: OwnerRole, rank: usize, limit: OperationLimit) -> u64 {
        match role {
            OwnerRole::Settled => limit.burst.into(),
            _ => self.start_part(rank, limit),
        }
    }

    fn start_part(self, rank: usize, limit: OperationLimit) -> u64 {
        self.allowance(limit) * START_TWELFTHS.get(rank).unwrap_or(&0) / 12
    }

    /// Returns the limit that applies to the grants of an owner in a role. `is_expired` is true if
    /// the owner has been cut off for [`DETACHED_BURST_TIME`].
    fn effective_limit(
        self,
        role: OwnerRole,
        rank: usize,
        limit: OperationLimit,
        is_expired: bool,
    ) -> OperationLimit {
        let allowance = self.allowance(limit);
        let part = |operations: u64| u32::try_from(operations).unwrap_or(u32::MAX);
        let burst = limit.burst.saturating_add(part(allowance * BURST_TWELFTHS / 12));
        let burst = match role {
            OwnerRole::Successor => burst.min(part(self.start_part(rank, limit))),
            OwnerRole::Detached if is_expired => {
                burst.min(part(allowance * DETACHED_TWELFTHS / 12))
            }
            _ => burst,
        };
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX).max(1);
        let rate = |part: u64| (allowance * part / 12).saturating_mul(1_000_000) / window_ms;
        let milli_per_second = match role {
            OwnerRole::Successor | OwnerRole::Full | OwnerRole::Settled => limit.milli_per_second,
            OwnerRole::Provisional => rate(PROVISIONAL_TWELFTHS),
            OwnerRole::Detached => rate(DETACHED_TWELFTHS),
            OwnerRole::Absent => 0,
        };
        OperationLimit { milli_per_second, burst }
    }
}

/// Response to the claim of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The operation may run.
    Granted,
    /// The limit is exhausted for this long.
    Spent(Duration),
    /// This instance is not the owner of the account.
    NotOwner,
}

#[derive(Clone, Debug)]
struct AccountRecord {
    account: AccountName,
    role: OwnerRole,
    bucket: OperationBucket,
    /// Last time at which the bucket started with operations.
    started_at: Duration,
    /// Time at which this instance lost contact with the fleet; `None` while it has contact.
    detached_at: Option<Duration>,
    /// Time of the last claim.
    claimed_at: Duration,
    /// Whether the instance takes over again and has not granted an operation since.
    is_resumed: bool,
}

impl AccountRecord {
    /// Applies a change of the role. Returns whether the instance may grant in the new role.
    fn change_role(&mut self, role: OwnerRole, now: Duration) -> bool {
        match (self.role, role) {
            (_, OwnerRole::Absent) => self.role = role,
            // An instance that is cut off does not take over.
            (OwnerRole::Absent, OwnerRole::Detached) => {}
            (OwnerRole::Detached, OwnerRole::Detached) => {}
            (_, OwnerRole::Detached) => {
                self.role = role;
                self.detached_at = Some(now);
            }
            (before, _) => {
                self.role = role;
                self.is_resumed |= before == OwnerRole::Absent;
                if self.detached_at.take().is_some() {
                    // A successor may have granted a burst while this instance was cut off.
                    self.bucket.reduce(0, now);
                }
            }
        }
        self.role != OwnerRole::Absent
    }
}

/// Token buckets of the accounts that an instance owns, sorted by account.
///
/// ```
/// use rudder_decisions::{ClaimDecision, LimitBounds, LimitLedger, OperationLimit, OwnerRole};
/// use std::time::Duration;
/// let account = "choirs".parse()?;
/// assert!(!LimitLedger::default().grants(&account, OwnerRole::Detached));
/// let bounds = LimitBounds { window: Duration::from_secs(5), overage_permille: 0, tolerance: 6 };
/// let limit = OperationLimit { milli_per_second: 1_000, burst: 10 };
/// let mut ledger = LimitLedger::default();
/// let mut claim = |role, ms| {
///     ledger.claim(&account, limit, bounds, role, 0, Duration::from_millis(ms))
/// };
/// assert_eq!(claim(OwnerRole::Full, 0), ClaimDecision::Granted);
/// assert_eq!(claim(OwnerRole::Full, 0), ClaimDecision::Spent(Duration::from_secs(1)));
/// assert_eq!(claim(OwnerRole::Absent, 0), ClaimDecision::NotOwner);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    records: Vec<AccountRecord>,
}

impl LimitLedger {
    /// Decides on the claim of one operation, for an instance with `rank` in the order of owners.
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
    ) -> ClaimDecision {
        let scope = ClaimScope { limit, bounds, role, rank, now };
        if self.position(account).is_err() {
            if matches!(role, OwnerRole::Absent | OwnerRole::Detached) {
                return ClaimDecision::NotOwner;
            }
            self.insert(account, scope);
        }
        let Some((index, granted)) = self.apply_role(account, scope) else {
            return ClaimDecision::NotOwner;
        };
        match self.records[index].bucket.take(granted, now) {
            Ok(()) => ClaimDecision::Granted,
            Err(after) => ClaimDecision::Spent(after),
        }
    }

    fn insert(&mut self, account: &AccountName, scope: ClaimScope) {
        let ClaimScope { limit, bounds, role, rank, now } = scope;
        let granted = bounds.effective_limit(role, rank, limit, false);
        let start = bounds.start_operations(role, rank, limit);
        let record = AccountRecord {
            account: account.clone(),
            role,
            bucket: OperationBucket::new(granted, start, now),
            started_at: now,
            detached_at: None,
            claimed_at: now,
            is_resumed: false,
        };
        if let Err(index) = self.position(account) {
            self.records.insert(index, record);
        }
    }

    /// Applies the role of this instance to an account's record. Returns its index and the limit
    /// that applies to grants; `None` if there is no record or if this instance may not grant.
    fn apply_role(
        &mut self,
        account: &AccountName,
        scope: ClaimScope,
    ) -> Option<(usize, OperationLimit)> {
        let ClaimScope { limit, bounds, role, rank, now } = scope;
        let index = self.position(account).ok()?;
        let record = &mut self.records[index];
        record.claimed_at = now;
        if !record.change_role(role, now) {
            return None;
        }
        let is_expired = record.detached_at.is_some_and(|at| now >= at + DETACHED_BURST_TIME);
        let granted = bounds.effective_limit(role, rank, limit, is_expired);
        if record.is_resumed {
            // An owner that takes over again within a window has already granted its start.
            record.is_resumed = false;
            if now >= record.started_at + bounds.window {
                let start = bounds.start_operations(role, rank, limit);
                record.bucket.restart(granted, start, now);
                record.started_at = now;
            } else {
                record.bucket.reduce(bounds.start_part(rank, limit), now);
            }
        }
        Some((index, granted))
    }

    fn position(&self, account: &AccountName) -> Result<usize, usize> {
        self.records.binary_search_by(|known| known.account.cmp(account))
    }

    /// Records that this instance has been without contact with the fleet since `detached_at`. It
    /// has to be called also if no claim arrives meanwhile, as the buckets would otherwise fill up
    /// to the burst that a successor may have granted.
    ///
    /// ```
    /// use rudder_decisions::{ClaimDecision, LimitBounds, LimitLedger, OperationLimit, OwnerRole};
    /// use std::time::Duration;
    /// let account = "choirs".parse()?;
    /// let bounds = LimitBounds { window: Duration::from_secs(5), overage_permille: 0, tolerance: 6 };
    /// let limit = OperationLimit { milli_per_second: 1_000, burst: 10 };
    /// let mut ledger = LimitLedger::default();
    /// let settled = OwnerRole::Settled;
    /// let at = Duration::from_secs;
    /// assert_eq!(
    ///     ledger.claim(&account, limit, bounds, settled, 0, at(0)),
    ///     ClaimDecision::Granted
    /// );
    /// ledger.detach(at(1));
    /// assert_eq!(ledger.role(&account), OwnerRole::Detached);
    /// let decision = ledger.claim(&account, limit, bounds, OwnerRole::Full, 0, at(9));
    /// assert_eq!(decision, ClaimDecision::Spent(at(1)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn detach(&mut self, detached_at: Duration) {
        for record in &mut self.records {
            record.change_role(OwnerRole::Detached, detached_at);
        }
    }

    /// Records that an earlier owner grants an account's operations.
    ///
    /// ```
    /// let account = "choirs".parse()?;
    /// let mut ledger = rudder_decisions::LimitLedger::default();
    /// ledger.step_down(&account);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn step_down(&mut self, account: &AccountName) {
        if let Ok(index) = self.position(account) {
            self.records[index].role = OwnerRole::Absent;
        }
    }

    /// Returns the accounts that this instance counts for and that had a claim recently. It has to
    /// probe the owners before it at the probe interval also between claims: a pause restarts the
    /// measurement of their silence, and a response must make it step down at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// let ledger = rudder_decisions::LimitLedger::default();
    /// assert_eq!(ledger.active_accounts(Duration::ZERO).count(), 0);
    /// ```
    pub fn active_accounts(&self, now: Duration) -> impl Iterator<Item = &AccountName> {
        let is_active = move |record: &&AccountRecord| {
            record.role != OwnerRole::Absent && now < record.claimed_at + ACTIVE_TIME
        };
        self.records.iter().filter(is_active).map(|record| &record.account)
    }

    /// Whether an instance with this role may grant an account's operations.
    ///
    /// See the example of [`LimitLedger`].
    #[must_use]
    pub fn grants(&self, account: &AccountName, role: OwnerRole) -> bool {
        match role {
            OwnerRole::Absent => false,
            OwnerRole::Detached => self.role(account) != OwnerRole::Absent,
            OwnerRole::Provisional
            | OwnerRole::Successor
            | OwnerRole::Full
            | OwnerRole::Settled => true,
        }
    }

    /// Returns the role in which this instance decided on the account's last claim.
    ///
    /// ```
    /// use rudder_decisions::{LimitLedger, OwnerRole};
    /// let account = "choirs".parse()?;
    /// assert_eq!(LimitLedger::default().role(&account), OwnerRole::Absent);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn role(&self, account: &AccountName) -> OwnerRole {
        self.position(account).map_or(OwnerRole::Absent, |index| self.records[index].role)
    }

    /// Returns the content and rate of an account's bucket; `None` if there is none or if another
    /// instance may grant.
    ///
    /// ```
    /// use rudder_decisions::{ClaimScope, LimitBounds, LimitLedger, OperationLimit, OwnerRole};
    /// use std::time::Duration;
    /// let account = "choirs".parse()?;
    /// let limit = OperationLimit { milli_per_second: 1_000, burst: 10 };
    /// let (bounds, role, now) = (LimitBounds::default(), OwnerRole::Full, Duration::ZERO);
    /// let scope = ClaimScope { limit, bounds, role, rank: 0, now };
    /// let mut ledger = LimitLedger::default();
    /// assert!(ledger.supply(&account, scope).is_none());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn supply(&mut self, account: &AccountName, scope: ClaimScope) -> Option<TokenSupply> {
        let (index, granted) = self.apply_role(account, scope)?;
        Some(self.records[index].bucket.supply(granted, scope.now))
    }

    /// Puts a token back into an account's bucket; `returned` others were put back within the
    /// window. See [`OperationBucket::put_back`].
    pub(super) fn put_back(
        &mut self,
        account: &AccountName,
        scope: ClaimScope,
        fills: u64,
        returned: u64,
    ) -> bool {
        let Some((index, granted)) = self.apply_role(account, scope) else { return false };
        returned < granted.returns_max()
            && self.records[index].bucket.put_back(granted, fills, scope.now)
    }

    /// Removes the accounts for which `keep` returns false.
    ///
    /// ```
    /// let mut ledger = rudder_decisions::LimitLedger::default();
    /// ledger.retain(|_| false);
    /// ```
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.records.retain(|record| keep(&record.account));
    }
}
