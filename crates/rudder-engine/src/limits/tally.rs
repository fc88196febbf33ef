//! Numbers of operations that this instance granted and rejected as an owner, by account.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use rudder_core::AccountName;
use rudder_decisions::QueueOutcome;
use std::time::Duration;

/// Interval between two log lines about the same account.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

#[derive(Clone, Debug, PartialEq, Eq)]
struct AccountTally {
    account: AccountName,
    granted: u32,
    rejected: u32,
    since: Duration,
}

/// Outcomes of claims since the last report, sorted by account.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantTally {
    tallies: Vec<AccountTally>,
}

impl GrantTally {
    /// Counts the outcome of a claim.
    pub(super) fn record(&mut self, account: &AccountName, outcome: QueueOutcome, now: Duration) {
        let (granted, rejected) = match outcome {
            QueueOutcome::Granted { .. } => (1, 0),
            QueueOutcome::Rejected(_) => (0, 1),
            QueueOutcome::Queued { .. } | QueueOutcome::NotOwner => return,
        };
        let found = self.tallies.binary_search_by(|known| known.account.cmp(account));
        let index = found.unwrap_or_else(|index| {
            let account = account.clone();
            let tally = AccountTally { account, granted: 0, rejected: 0, since: now };
            self.tallies.insert(index, tally);
            index
        });
        self.tallies[index].granted += granted;
        self.tallies[index].rejected += rejected;
    }

    /// Removes and returns the tallies that are due for a report.
    fn take_due(&mut self, now: Duration) -> Vec<AccountTally> {
        self.tallies.extract_if(.., |tally| now >= tally.since + REPORT_INTERVAL).collect()
    }
}

impl ProxyEngine {
    /// Logs how many operations this instance granted to the accounts that it rejected some of. Where
    /// several instances count for an account, the lines show which of them granted how many.
    pub(super) fn report_grants(&self) {
        let now = boot_time();
        let mut state = self.limits().state();
        for tally in state.tally.take_due(now) {
            if tally.rejected == 0 {
                continue;
            }
            let AccountTally { account, granted, rejected, since } = tally;
            let role = state.ledger.role(&account);
            log::info!(
                account:% = account, granted = granted, rejected = rejected,
                over_ms = now.saturating_sub(since).as_millis(), role:? = role;
                "operations of an account at its limit were counted"
            );
        }
    }
}
