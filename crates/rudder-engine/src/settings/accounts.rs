//! Client accounts: identification of callers by key, and operation limits.

use displaydoc::Display;
use rudder_core::{AccountName, plain_data};
use rudder_decisions::OperationLimit;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// SHA-256 digest of a caller's key. The key itself is not stored, so that it cannot appear in
/// logs, messages between instances or memory dumps. Comparing digests reveals nothing about the
/// key's characters.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use rudder_engine::KeyDigest;
    /// assert_eq!(KeyDigest::of("secret"), KeyDigest::of("secret"));
    /// assert_ne!(KeyDigest::of("secret"), KeyDigest::of("Secret"));
    /// assert!(!format!("{:?}", KeyDigest::of("secret")).contains("secret"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

plain_data! {
    /// Rate limit for the operations of an account, across all instances.
    #[derive(Copy, Serialize, Deserialize)]
    pub struct AccountLimit {
        /// Operations per second, in thousandths.
        pub milli_per_second: u64,
        /// Burst: number of operations allowed at once beyond the rate.
        pub burst: u32,
    }
}

impl From<AccountLimit> for OperationLimit {
    fn from(limit: AccountLimit) -> Self {
        Self { milli_per_second: limit.milli_per_second, burst: limit.burst }
    }
}

plain_data! {
    /// A client account.
    #[derive(Serialize, Deserialize)]
    pub struct AccountRule {
        /// Name of the account, which is sent to members.
        pub name: AccountName,
        /// Digests of the account's keys.
        pub keys: Vec<KeyDigest>,
        /// Rate limit of the account; `None` if unlimited.
        pub limit: Option<AccountLimit>,
    }
}

/// Reason why a list of accounts is invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum AccountError {
    /// the account {0} is declared twice
    DoubledName(AccountName),
    /// the accounts {0} and {1} have a key in common
    SharedKey(AccountName, AccountName),
}

impl std::error::Error for AccountError {}

plain_data! {
    /// A key and the account that holds it.
    #[derive(Serialize, Deserialize)]
    struct KeyHolder {
        key: KeyDigest,
        /// Index of the account in the sorted list.
        account: u32,
    }
}

plain_data! {
    /// All client accounts.
    #[derive(Default, Serialize, Deserialize)]
    pub struct AccountTable {
        /// Sorted by name.
        accounts: Vec<AccountRule>,
        /// Sorted by key.
        holders: Vec<KeyHolder>,
    }
}

impl AccountTable {
    /// Creates a table from accounts in any order.
    ///
    /// # Errors
    ///
    /// [`AccountError`] if two accounts share a name or a key.
    ///
    /// ```
    /// use rudder_engine::{AccountRule, AccountTable, KeyDigest};
    /// let name = "choirs".parse()?;
    /// let rule = AccountRule { name, keys: vec![KeyDigest::of("secret")], limit: None };
    /// let table = AccountTable::sorted(vec![rule.clone()]).expect("one account");
    /// assert_eq!(table.holder(&KeyDigest::of("secret")), Some(&rule));
    /// assert_eq!(table.holder(&KeyDigest::of("guess")), None);
    /// assert!(AccountTable::sorted(vec![rule.clone(), rule]).is_err());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn sorted(mut accounts: Vec<AccountRule>) -> Result<Self, AccountError> {
        accounts.sort_by(|left, right| left.name.cmp(&right.name));
        if let Some(pair) = accounts.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(AccountError::DoubledName(pair[0].name.clone()));
        }
        let mut holders = Vec::new();
        for (account, rule) in (0..).zip(&accounts) {
            holders.extend(rule.keys.iter().map(|key| KeyHolder { key: *key, account }));
        }
        holders.sort_by_key(|holder| (holder.key, holder.account));
        holders.dedup();
        let table = Self { accounts, holders };
        match table.holders.windows(2).find(|pair| pair[0].key == pair[1].key) {
            Some(pair) => {
                let name = |holder: &KeyHolder| table.rule_of(holder).name.clone();
                Err(AccountError::SharedKey(name(&pair[0]), name(&pair[1])))
            }
            None => Ok(table),
        }
    }

    /// Returns the account that holds a key.
    ///
    /// See the example of [`AccountTable::sorted`].
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&AccountRule> {
        let found = self.holders.binary_search_by(|holder| holder.key.cmp(key)).ok()?;
        Some(self.rule_of(&self.holders[found]))
    }

    /// Returns the limit of an account; `None` if the account is unknown or unlimited.
    pub(crate) fn limit(&self, account: &AccountName) -> Option<AccountLimit> {
        let found = self.accounts.binary_search_by(|rule| rule.name.cmp(account)).ok()?;
        self.accounts[found].limit
    }

    /// Returns whether an account has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        self.accounts.iter().any(|rule| rule.limit.is_some())
    }

    /// Returns whether an account exists.
    pub(crate) fn contains(&self, account: &AccountName) -> bool {
        self.accounts.binary_search_by(|rule| rule.name.cmp(account)).is_ok()
    }

    /// Number of accounts.
    pub(crate) fn len(&self) -> usize {
        self.accounts.len()
    }

    fn rule_of(&self, holder: &KeyHolder) -> &AccountRule {
        &self.accounts[holder.account as usize]
    }
}
