//! Waits until a majority of the members confirms a commit, or a primary's term for a read.
//!
//! All waiters of a group share the members' reports: while there is a waiter, each member is
//! probed again soon after it has responded, and every report serves all waiters.

use super::state::GroupState;
use rudder_core::{
    AckDecision, LogStamp, LogTerm, MemberName, MemberStatus, decide_commit, decide_term,
};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::timeout;

/// Outcome of a wait for a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmOutcome {
    /// A majority holds the commit at its own term.
    Acknowledged,
    /// A member has accepted a greater term: the commit may be lost.
    Superseded,
    /// No majority confirmed in time.
    TimedOut,
}

/// Makes the probes of all members continuous until it is dropped.
struct WaiterGuard<'a> {
    group: &'a GroupState,
}

impl<'a> WaiterGuard<'a> {
    fn new(group: &'a GroupState) -> Self {
        for member in &group.members {
            member.waiters.fetch_add(1, Ordering::AcqRel);
            member.probe_requested.notify_one();
        }
        Self { group }
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        for member in &self.group.members {
            member.waiters.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl GroupState {
    /// Waits until a majority holds `commit` at its own term.
    pub(crate) async fn confirm_commit(
        &self,
        commit: LogStamp,
        within: Duration,
    ) -> ConfirmOutcome {
        let members = self.members.len();
        let decide = |reports: &[_]| decide_commit(commit, members, reports);
        let outcome = self.confirm(Duration::ZERO, within, decide).await;
        if outcome == ConfirmOutcome::Acknowledged {
            self.record_acknowledged_term(commit.term);
        }
        outcome
    }

    /// Waits until a majority, probed at or after `since`, has reported no greater term than
    /// `term`. This shows that the data of that term's primary was the newest at `since`.
    pub(crate) async fn confirm_term(
        &self,
        term: LogTerm,
        since: Duration,
        within: Duration,
    ) -> ConfirmOutcome {
        let members = self.members.len();
        self.confirm(since, within, |reports| decide_term(term, members, reports)).await
    }

    async fn confirm(
        &self,
        since: Duration,
        within: Duration,
        decide: impl Fn(&[(MemberName, MemberStatus)]) -> AckDecision,
    ) -> ConfirmOutcome {
        let decide_now = || match decide(&self.reports_since(since)) {
            AckDecision::Acknowledged => Some(ConfirmOutcome::Acknowledged),
            AckDecision::Superseded => Some(ConfirmOutcome::Superseded),
            AckDecision::Waiting => None,
        };
        if let Some(outcome) = decide_now() {
            return outcome;
        }
        let _guard = WaiterGuard::new(self);
        let mut changes = self.reports.subscribe();
        let wait = async {
            loop {
                if let Some(outcome) = decide_now() {
                    return outcome;
                }
                if changes.changed().await.is_err() {
                    return ConfirmOutcome::TimedOut;
                }
            }
        };
        timeout(within, wait).await.unwrap_or(ConfirmOutcome::TimedOut)
    }

    fn reports_since(&self, since: Duration) -> Vec<(MemberName, MemberStatus)> {
        let reports = self.reports.reports().into_iter();
        let fresh = reports.filter(|report| report.requested_at >= since);
        fresh.map(|report| (report.member, report.status)).collect()
    }
}
