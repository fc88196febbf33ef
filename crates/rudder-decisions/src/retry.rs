//! Which requests may be sent again, and how many.
//!
//! Load pattern: a member or a primary fails while everyone is busy. Without a budget each request
//! is sent again while the rest of the group already carries the failed member's load: with three
//! tries the load triples at the worst moment, and stays tripled, because the overload itself
//! makes requests fail. Thresholds: retries are a tenth of the successes ([`CREDIT_PER_SUCCESS`]),
//! so they add at most a tenth to the load; [`CREDIT_MAX`] lets a burst of failures as large as
//! all slots of one group (three members of five) be retried at once.

use crate::work::WorkClass;
use rudder_core::OutcomeClass;

/// Retries earned by one success, in thousandths.
const CREDIT_PER_SUCCESS: u64 = 100;

/// What one retry costs, in thousandths.
const RETRY_COST: u64 = 1000;

/// The most that can be saved up, in thousandths: 15 retries.
const CREDIT_MAX: u64 = 15 * RETRY_COST;

/// The retries that this instance may spend on one service.
///
/// ```
/// use rudder_core::OutcomeClass;
/// use rudder_decisions::{RetryBudget, WorkClass};
/// let mut budget = RetryBudget::new();
/// assert!(budget.try_spend(WorkClass::Read, OutcomeClass::Unknown));
/// assert!(budget.try_spend(WorkClass::Write, OutcomeClass::NotRun));
/// assert!(!budget.try_spend(WorkClass::Write, OutcomeClass::Unknown));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u64,
}

impl RetryBudget {
    /// A full budget.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::RetryBudget::new().remaining(), 15);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self { credit: CREDIT_MAX }
    }

    /// Takes in a request that succeeded at its first try.
    ///
    /// ```
    /// let mut budget = rudder_decisions::RetryBudget::new();
    /// budget.succeed();
    /// assert_eq!(budget.remaining(), 15);
    /// ```
    pub fn succeed(&mut self) {
        self.credit = (self.credit + CREDIT_PER_SUCCESS).min(CREDIT_MAX);
    }

    /// Whether a request may be sent again, and if so, spends one retry.
    ///
    /// A write is sent again only if it provably did not run; sending it again after an unknown
    /// outcome could apply it twice. An endpoint's own error is an answer, not a failure to retry.
    ///
    /// ```
    /// use rudder_core::OutcomeClass;
    /// use rudder_decisions::{RetryBudget, WorkClass};
    /// let mut budget = RetryBudget::new();
    /// assert!(!budget.try_spend(WorkClass::Read, OutcomeClass::Failed));
    /// ```
    pub fn try_spend(&mut self, class: WorkClass, outcome: OutcomeClass) -> bool {
        let safe = match outcome {
            OutcomeClass::NotRun => true,
            OutcomeClass::Unknown => class == WorkClass::Read,
            OutcomeClass::Failed | OutcomeClass::AlreadyRun => false,
        };
        if !safe || self.credit < RETRY_COST {
            return false;
        }
        self.credit -= RETRY_COST;
        true
    }

    /// How many retries may be spent now.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::RetryBudget::default().remaining(), 15);
    /// ```
    #[must_use]
    pub fn remaining(&self) -> u64 {
        self.credit / RETRY_COST
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
