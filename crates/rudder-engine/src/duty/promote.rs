//! Selection and promotion of the next primary.

use super::change::{ChangeError, ChangeRun, INTENT_VALIDITY, POLL_INTERVAL, WrittenRecord};
use super::control::{MemberReport, fetch_status};
use crate::clock::boot_time;
use crate::group::{GroupMember, MemberState};
use crate::interfaces::{PromotionError, PromotionOrder};
use crate::lead::order_candidates;
use rudder_core::{LogTerm, MemberName, MemberRole};
use std::time::Duration;

/// Maximum time a planned change waits for a successor to receive the primary's last commits.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before a promotion order that was not accepted is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Timeout of one promotion order.
const PROMOTION_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time until a promoted member reports the role of primary. A promotion takes up to a
/// second.
const LEADERSHIP_TIMEOUT: Duration = Duration::from_millis(2500);

impl ChangeRun<'_> {
    /// Returns the status reports of the members that may take over.
    pub(super) async fn fetch_candidate_reports(
        &self,
        previous: Option<&MemberName>,
        includes_previous: bool,
    ) -> Vec<MemberReport> {
        let mut members = self.group.members();
        members.retain(|member| {
            let ready = member.entry().state == MemberState::Ready;
            ready && (includes_previous || Some(member.name()) != previous)
        });
        self.clients.lock().await.fetch_all(self.engine, &members).await
    }

    /// Promotes a member. Returns its status report as primary.
    pub(super) async fn promote(
        &self,
        intent: &WrittenRecord,
        previous: Option<&MemberName>,
        planned: bool,
        unfinished: bool,
    ) -> Result<MemberReport, ChangeError> {
        if planned && let Some(member) = previous.and_then(|name| self.group.member(name)) {
            self.await_catch_up(&member).await;
        }
        let mut rejected: Vec<MemberName> = Vec::new();
        loop {
            let mut reports = self.fetch_candidate_reports(previous, unfinished).await;
            // The order of an earlier holder may have taken effect.
            if let Some(leader) = newest_leader(&reports, previous) {
                return Ok(leader.clone());
            }
            reports.retain(|report| !rejected.contains(&report.member));
            let positions = reports
                .iter()
                .map(|report| (report.member.clone(), report.status.received))
                .collect();
            let candidates = order_candidates(positions);
            // Checked right before the order: a holder that was suspended must not promote a member
            // after another instance has taken over.
            if boot_time() >= intent.acknowledged_at + INTENT_VALIDITY {
                return Err(ChangeError::TooLate);
            }
            if self.group.with_leases(|leases| leases.epoch()) != intent.record.epoch {
                return Err(ChangeError::Superseded);
            }
            let Some((candidate, _)) = candidates.first() else {
                rejected.clear();
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let before = reports.iter().map(|report| report.status.accepted).max();
            match self.order(intent, candidate).await {
                // The platform changes nothing if the member is already the primary.
                Ok(()) if let Some(leader) = find_leading(&reports, candidate, before) => {
                    return Ok(leader.clone());
                }
                Ok(()) | Err(PromotionError::Unanswered) => {
                    let before = before.unwrap_or_default();
                    if let Some(leader) = self.await_leader(candidate, before).await {
                        return Ok(leader);
                    }
                }
                Err(PromotionError::Rejected) => rejected.push(candidate.clone()),
                Err(PromotionError::TurnedAway(_)) => tokio::time::sleep(ORDER_RETRY_DELAY).await,
            }
        }
    }

    async fn order(
        &self,
        intent: &WrittenRecord,
        candidate: &MemberName,
    ) -> Result<(), PromotionError> {
        let order = PromotionOrder {
            service: self.group.service().clone(),
            member: candidate.clone(),
            holder: self.engine.identity().name.to_string(),
            token: intent.record.epoch.0,
        };
        let call = self.engine.dependencies().promotion.promote(&order);
        let outcome = tokio::time::timeout(PROMOTION_CALL_TIMEOUT, call).await;
        let outcome = outcome.unwrap_or(Err(PromotionError::Unanswered));
        log::info!(
            service:% = order.service, member:% = candidate, token = order.token,
            outcome:? = outcome; "a promotion was ordered"
        );
        outcome
    }

    /// Waits until the member is the primary of a newer term than `before`.
    async fn await_leader(&self, candidate: &MemberName, before: LogTerm) -> Option<MemberReport> {
        let member = self.group.member(candidate)?;
        let mut client = self.clients.lock().await.take(self.engine, &member);
        let until = boot_time() + LEADERSHIP_TIMEOUT;
        while boot_time() < until {
            match client.fetch().await {
                Ok(report) if leads_since(&report, before) => return Some(report),
                Ok(_) => {}
                Err(error) => {
                    log::info!(
                        member:% = candidate, reason:% = error;
                        "a promoted member did not report its status"
                    );
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Waits until a successor has received all commits of the leaving primary, which takes no more
    /// writes. Promoting a successor before that would lose acknowledged commits.
    async fn await_catch_up(&self, primary: &GroupMember) {
        let Ok(last) = fetch_status(self.engine, primary).await else {
            log::warn!(
                member:% = primary.name();
                "a leaving primary did not report its position; not waiting for a successor"
            );
            return;
        };
        let until = boot_time() + CATCH_UP_TIMEOUT;
        while boot_time() < until {
            let reports = self.fetch_candidate_reports(Some(primary.name()), false).await;
            if reports.iter().any(|report| report.status.received >= last.status.received) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        log::warn!(
            member:% = primary.name(), position:% = last.status.received;
            "no successor has received all commits of a leaving primary; promoting without them"
        );
    }
}

/// Returns the candidate's report if it is the primary of the newest term.
fn find_leading<'a>(
    reports: &'a [MemberReport],
    candidate: &MemberName,
    newest: Option<LogTerm>,
) -> Option<&'a MemberReport> {
    reports.iter().find(|report| {
        report.member == *candidate
            && report.status.role == MemberRole::Primary
            && Some(report.status.accepted) == newest
    })
}

fn leads_since(report: &MemberReport, before: LogTerm) -> bool {
    report.status.role == MemberRole::Primary && report.status.accepted > before
}

/// Returns the report of a member other than the previous primary that is the primary of the newest
/// term.
fn newest_leader<'a>(
    reports: &'a [MemberReport],
    previous: Option<&MemberName>,
) -> Option<&'a MemberReport> {
    let newest = reports.iter().map(|report| report.status.accepted).max()?;
    reports.iter().find(|report| {
        report.status.role == MemberRole::Primary
            && report.status.accepted == newest
            && Some(&report.member) != previous
    })
}
