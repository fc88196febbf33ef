//! Chooses the member that takes over, and has it promoted.

use super::change::{ChangeError, ChangeRun, HOLD_TIME, LOOK_GAP, WrittenRecord};
use super::control::{MemberReport, ask_status};
use crate::border::{PromotionError, PromotionOrder};
use crate::clock::boot_time;
use crate::group::{GroupMember, MemberState};
use crate::lead::order_candidates;
use rudder_core::{LogTerm, MemberName, MemberRole};
use std::time::Duration;

/// How long a planned change waits for its successor to receive the primary's last commits.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(800);

/// The pause before a promotion is ordered again that was not accepted.
const ORDER_PAUSE: Duration = Duration::from_millis(80);

/// The most time for an order to promote.
const ORDER_LIMIT: Duration = Duration::from_millis(600);

/// How long a promoted member may take to lead: promoting takes up to a second.
const LEAD_LIMIT: Duration = Duration::from_millis(2500);

impl ChangeRun<'_> {
    /// The members that may take over, with what they say of themselves.
    pub(super) async fn ask_candidates(
        &self,
        previous: Option<&MemberName>,
        previous_too: bool,
    ) -> Vec<MemberReport> {
        let mut members = self.group.members();
        members.retain(|member| {
            let ready = member.entry().state == MemberState::Ready;
            ready && (previous_too || Some(member.name()) != previous)
        });
        self.desk.lock().await.ask_all(self.engine, &members).await
    }

    /// Promotes a member; returns its name, term and position as a primary.
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
            let mut reports = self.ask_candidates(previous, unfinished).await;
            // An earlier holder's order may have come into effect.
            if let Some(leader) = newest_leader(&reports, previous) {
                return Ok(leader.clone());
            }
            reports.retain(|report| !rejected.contains(&report.member));
            let positions = reports
                .iter()
                .map(|report| (report.member.clone(), report.status.received))
                .collect();
            let candidates = order_candidates(positions);
            // Checked right before the order: a holder that was suspended must not promote after
            // another one took over.
            if boot_time() >= intent.done_at + HOLD_TIME {
                return Err(ChangeError::TooLate);
            }
            if self.group.with_leases(|leases| leases.epoch()) != intent.record.epoch {
                return Err(ChangeError::Overtaken);
            }
            let Some((candidate, _)) = candidates.first() else {
                rejected.clear();
                tokio::time::sleep(LOOK_GAP).await;
                continue;
            };
            let before = reports.iter().map(|report| report.status.accepted).max();
            match self.order(intent, candidate).await {
                // For a member that leads already the platform changes nothing.
                Ok(()) if let Some(leader) = leading(&reports, candidate, before) => {
                    return Ok(leader.clone());
                }
                Ok(()) | Err(PromotionError::Unanswered) => {
                    let before = before.unwrap_or_default();
                    if let Some(leader) = self.await_leader(candidate, before).await {
                        return Ok(leader);
                    }
                }
                Err(PromotionError::Rejected) => rejected.push(candidate.clone()),
                Err(PromotionError::TurnedAway(_)) => tokio::time::sleep(ORDER_PAUSE).await,
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
        let call = self.engine.borders().promotion.promote(&order);
        let outcome = tokio::time::timeout(ORDER_LIMIT, call).await;
        let outcome = outcome.unwrap_or(Err(PromotionError::Unanswered));
        log::info!(
            service:% = order.service, member:% = candidate, token = order.token,
            outcome:? = outcome; "a promotion was ordered"
        );
        outcome
    }

    /// Waits until the member leads a newer term than `before`.
    async fn await_leader(&self, candidate: &MemberName, before: LogTerm) -> Option<MemberReport> {
        let member = self.group.member(candidate)?;
        let mut watch = self.desk.lock().await.take(self.engine, &member);
        let until = boot_time() + LEAD_LIMIT;
        while boot_time() < until {
            match watch.ask().await {
                Ok(report) if leads_since(&report, before) => return Some(report),
                Ok(_) => {}
                Err(error) => {
                    log::info!(member:% = candidate, reason:% = error; "a promoted member is silent");
                }
            }
            tokio::time::sleep(LOOK_GAP).await;
        }
        None
    }

    /// Waits until a successor has received all that the leaving primary committed.
    ///
    /// Nobody writes there any more, so its position is final; promoting before a successor has
    /// got there would lose acknowledged commits.
    async fn await_catch_up(&self, primary: &GroupMember) {
        let Ok(last) = ask_status(self.engine, primary).await else {
            log::warn!(member:% = primary.name(); "a leaving primary gives no position");
            return;
        };
        let until = boot_time() + CATCH_UP_LIMIT;
        while boot_time() < until {
            let reports = self.ask_candidates(Some(primary.name()), false).await;
            if reports.iter().any(|report| report.status.received >= last.status.received) {
                return;
            }
            tokio::time::sleep(LOOK_GAP).await;
        }
        log::warn!(
            member:% = primary.name(), position:% = last.status.received;
            "no successor has received all commits of a leaving primary"
        );
    }
}

/// The report of a candidate that leads the newest term.
fn leading<'a>(
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

/// A member other than the previous primary that leads the newest term.
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
