//! Owners that last responded to the claims of this instance, as evidence for their successors.

use rudder_core::{AccountName, InstanceName};
use std::time::Duration;

/// Age up to which a response is evidence: an owner that has been silent for longer may have been
/// replaced, see [`super::role::FULL_AFTER`].
const EVIDENCE_VALIDITY: Duration = super::role::FULL_AFTER;

#[derive(Clone, Debug)]
struct GrantRecord {
    account: AccountName,
    owner: InstanceName,
    at: Duration,
}

/// The owner that last decided a claim of this instance as the owner of each account, sorted by
/// account.
///
/// ```
/// use rudder_decisions::GrantLog;
/// use std::time::Duration;
/// let (account, owner) = ("choirs".parse()?, "entry-1".parse()?);
/// let mut log = GrantLog::default();
/// log.record(&account, &owner, Duration::from_millis(1000));
/// let latest = log.latest(&account, Duration::from_millis(1200));
/// assert_eq!(latest, Some((&owner, Duration::from_millis(200))));
/// assert_eq!(log.latest(&account, Duration::from_millis(9000)), None);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct GrantLog {
    records: Vec<GrantRecord>,
}

impl GrantLog {
    /// Records that an owner decided a claim, as the owner of the account.
    ///
    /// See the example of [`GrantLog`].
    pub fn record(&mut self, account: &AccountName, owner: &InstanceName, now: Duration) {
        let record = GrantRecord { account: account.clone(), owner: owner.clone(), at: now };
        match self.records.binary_search_by(|known| known.account.cmp(account)) {
            Ok(index) => self.records[index] = record,
            Err(index) => self.records.insert(index, record),
        }
    }

    /// Returns the owner that last decided a claim for an account, and how long ago, if that is
    /// recent enough to be evidence.
    ///
    /// See the example of [`GrantLog`].
    #[must_use]
    pub fn latest(
        &self,
        account: &AccountName,
        now: Duration,
    ) -> Option<(&InstanceName, Duration)> {
        let found = self.records.binary_search_by(|known| known.account.cmp(account));
        let record = &self.records[found.ok()?];
        let age = now.saturating_sub(record.at);
        (age < EVIDENCE_VALIDITY).then_some((&record.owner, age))
    }

    /// Removes the accounts for which `keep` returns false.
    ///
    /// ```
    /// let mut log = rudder_decisions::GrantLog::default();
    /// log.retain(|_| false);
    /// ```
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.records.retain(|record| keep(&record.account));
    }
}
