//! Retry budget: which requests may be sent again, and how many.
//!
//! Load pattern: a member or a primary fails under high load. Without a budget each request is
//! retried while the rest of the group already carries the failed member's load: with three
//! attempts the load triples at the worst moment, and stays tripled, because the overload itself
//! makes requests fail.
//!
//! Thresholds: retries are a tenth of the successes ([`CREDIT_PER_SUCCESS`]), so they add at most a
//! tenth to the load; [`CREDIT_MAX`] allows a burst of failures as large as all slots of one group
//! (three members with five slots each) to be retried at once.

use crate::work::WorkClass;
use rudder_core::OutcomeClass;

/// Credit for one successful request, in thousandths of a retry.
const CREDIT_PER_SUCCESS: u64 = 100;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1000;

/// Maximum credit, in thousandths of a retry: 15 retries.
const CREDIT_MAX: u64 = 15 * RETRY_COST;

/// Retries that this instance may spend on one service.
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
    /// Creates a full budget.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::RetryBudget::new().remaining(), 15);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self { credit: CREDIT_MAX }
    }

    /// Records a request that succeeded at its first attempt.
    ///
    /// ```
    /// let mut budget = rudder_decisions::RetryBudget::new();
    /// budget.record_success();
    /// assert_eq!(budget.remaining(), 15);
    /// ```
    pub fn record_success(&mut self) {
        self.credit = (self.credit + CREDIT_PER_SUCCESS).min(CREDIT_MAX);
    }

    /// Whether a request may be sent again; if so, one retry is spent.
    ///
    /// A write is sent again only if it provably did not run, as sending it again after an unknown
    /// outcome could apply it twice. An endpoint's own error is a response, not a failure to retry.
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

    /// Returns the number of retries that may be spent now.
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
