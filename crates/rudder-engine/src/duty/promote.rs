//! Promotion of the next primary: orders, and their effect.

use super::change::{ChangeError, ChangeRun, INTENT_VALIDITY, POLL_INTERVAL, Promotion};
use super::change_plan::ChangePlan;
use super::control::{MemberReport, STATUS_TIMEOUT, fetch_status};
use super::record_write::WrittenRecord;
use crate::clock::boot_time;
use crate::group::GroupMember;
use crate::interfaces::{PromotionError, PromotionOrder};
use crate::lead::MemberOrder;
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

/// Order that the present version of the record names.
struct CurrentOrder {
    member: MemberName,
    /// Order for the same member under an earlier version.
    earlier: Option<MemberOrder>,
    /// Whether an order was accepted.
    was_accepted: bool,
    /// Whether an order got no response, so that it may still be on its way.
    is_unanswered: bool,
}

impl CurrentOrder {
    fn may_take_effect(&self) -> bool {
        self.was_accepted || self.is_unanswered
    }
}

/// Orders of one attempt to promote a member.
struct OrderState {
    /// Version of the record as last written.
    written: WrittenRecord,
    /// Order that this version names.
    current: Option<CurrentOrder>,
    /// Members whose promotion was rejected in the present round.
    rejected: Vec<MemberName>,
}

impl OrderState {
    fn record_outcome(&mut self, outcome: &Result<(), PromotionError>) {
        let Some(order) = self.current.as_mut() else { return };
        order.was_accepted |= outcome.is_ok();
        order.is_unanswered |= *outcome == Err(PromotionError::Unanswered);
    }
}

impl ChangeRun<'_> {
    /// Promotes a member.
    pub(super) async fn promote(
        &self,
        plan: &ChangePlan,
        intent: WrittenRecord,
    ) -> Result<Promotion, ChangeError> {
        if plan.planned
            && let Some(member) = plan.previous.as_ref().and_then(|name| self.group.member(name))
        {
            self.await_catch_up(plan, &member).await;
        }
        let mut state = OrderState { written: intent, current: None, rejected: Vec::new() };
        let mut is_withheld = false;
        loop {
            let reports = self.fetch_reports(plan).await;
            // An earlier order may have taken effect.
            let leader = newest_leader(&reports, plan).cloned();
            if let Some(leader) = leader.as_ref().filter(|leader| self.may_settle_on(leader)) {
                return Ok(self.promotion(leader.clone(), state));
            }
            self.check_validity(&state.written)?;
            // While an order for another member may still take effect, there is nothing to order.
            let chosen = self.choose(plan, &reports, &state.rejected);
            let Some(candidate) = chosen.filter(|_| leader.is_none()) else {
                state.rejected.clear();
                if leader.is_none() && !is_withheld {
                    is_withheld = self.report_withheld(plan, &reports);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            match self.promote_candidate(plan, &mut state, &reports, &candidate).await? {
                Some(leader) if self.may_settle_on(&leader) => {
                    return Ok(self.promotion(leader, state));
                }
                Some(_) => tokio::time::sleep(POLL_INTERVAL).await,
                None => {}
            }
        }
    }

    /// Orders the promotion of a member. Returns its status report once it leads; none if it does
    /// not in time.
    async fn promote_candidate(
        &self,
        plan: &ChangePlan,
        state: &mut OrderState,
        reports: &[MemberReport],
        candidate: &MemberName,
    ) -> Result<Option<MemberReport>, ChangeError> {
        let newest = reports.iter().map(|report| report.status.accepted).max();
        let before = newest.max(plan.history.term);
        let leading = find_leading(reports, candidate, plan).cloned();
        match state.current.as_ref().filter(|order| order.member == *candidate) {
            // The order is not repeated for a member that leads already.
            Some(order) if order.was_accepted && leading.is_some() => return Ok(leading),
            Some(_) => {}
            None => {
                self.write_order(plan, state, candidate).await?;
                // Checked right before the order: a holder that was suspended must not promote a
                // member after another instance has taken over.
                self.check_validity(&state.written)?;
            }
        }
        let outcome = self.send_order(&state.written, candidate).await;
        state.record_outcome(&outcome);
        let leader = match outcome {
            // The platform changes nothing if the member is already the primary.
            Ok(()) if leading.is_some() => leading,
            Ok(()) | Err(PromotionError::Unanswered) => {
                self.await_leader(candidate, before.unwrap_or_default()).await
            }
            Err(PromotionError::Rejected) => {
                state.rejected.push(candidate.clone());
                None
            }
            Err(PromotionError::TurnedAway(_)) => {
                tokio::time::sleep(ORDER_RETRY_DELAY).await;
                None
            }
        };
        Ok(leader)
    }

    /// Fails if the written version no longer entitles this instance to order a promotion.
    fn check_validity(&self, written: &WrittenRecord) -> Result<(), ChangeError> {
        if boot_time() >= written.sent_at + INTENT_VALIDITY {
            return Err(ChangeError::TooLate);
        }
        if self.group.with_leases(|leases| leases.epoch()) != written.record.epoch {
            return Err(ChangeError::Superseded);
        }
        Ok(())
    }

    pub(super) fn pending_orders(&self) -> Vec<MemberOrder> {
        self.group.with_leases(|leases| leases.pending_orders(boot_time()))
    }

    /// Returns whether no order for another member may still take effect.
    fn may_settle_on(&self, leader: &MemberReport) -> bool {
        let now = boot_time();
        self.group.with_leases(|leases| leases.may_settle_on(&leader.member, now))
    }

    /// Returns the promotion of `leader`, with the orders for it that may still be on their way. An
    /// order that was answered is not.
    fn promotion(&self, leader: MemberReport, state: OrderState) -> Promotion {
        let mut orders = self.pending_orders();
        if let Some(order) = state.current.filter(|order| !order.is_unanswered) {
            orders.retain(|pending| pending.member != order.member);
            orders.extend(order.earlier);
        }
        Promotion { leader, written: state.written, orders }
    }

    /// Writes an order into the record, before it is sent. The order that it replaces stays in the
    /// record if it may still take effect.
    async fn write_order(
        &self,
        plan: &ChangePlan,
        state: &mut OrderState,
        candidate: &MemberName,
    ) -> Result<(), ChangeError> {
        let mut orders = self.pending_orders();
        if let Some(replaced) = state.current.take().filter(|order| !order.may_take_effect()) {
            orders.retain(|order| order.member != replaced.member);
            orders.extend(replaced.earlier);
        }
        let earlier = orders.iter().find(|order| order.member == *candidate).cloned();
        orders.retain(|order| order.member != *candidate);
        let epoch = state.written.record.epoch.next();
        orders.push(MemberOrder { member: candidate.clone(), epoch });
        orders.sort_by(|left, right| left.member.cmp(&right.member));
        let (phase, history) = (self.changing(plan), plan.history.clone());
        let version = Some(&state.written.version);
        state.written = self.write(epoch, phase, orders, history, version).await?;
        let member = candidate.clone();
        state.current =
            Some(CurrentOrder { member, earlier, was_accepted: false, is_unanswered: false });
        Ok(())
    }

    async fn send_order(
        &self,
        written: &WrittenRecord,
        candidate: &MemberName,
    ) -> Result<(), PromotionError> {
        let order = PromotionOrder {
            service: self.group.service().clone(),
            member: candidate.clone(),
            holder: self.engine.identity().name.to_string(),
            token: written.record.epoch.0,
            valid_until: written.sent_at + INTENT_VALIDITY,
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
            match client.fetch(STATUS_TIMEOUT).await {
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
    async fn await_catch_up(&self, plan: &ChangePlan, primary: &GroupMember) {
        let Ok(last) = fetch_status(self.engine, primary).await else {
            log::warn!(
                member:% = primary.name();
                "a leaving primary did not report its position; not waiting for a successor"
            );
            return;
        };
        let until = boot_time() + CATCH_UP_TIMEOUT;
        while boot_time() < until {
            let reports = self.fetch_reports(plan).await;
            let is_successor = |report: &&MemberReport| report.member != *primary.name();
            let mut successors = reports.iter().filter(is_successor);
            if successors.any(|report| report.status.received >= last.status.received) {
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
    plan: &ChangePlan,
) -> Option<&'a MemberReport> {
    let leader = newest_primary(reports).filter(|report| report.member == *candidate)?;
    let is_previous = plan.previous.as_ref() == Some(candidate)
        && plan.history.term == Some(leader.status.accepted);
    (is_previous || plan.history.is_newer(leader.status.accepted)).then_some(leader)
}

fn leads_since(report: &MemberReport, before: LogTerm) -> bool {
    report.status.role == MemberRole::Primary && report.status.accepted > before
}

/// Returns the report of a member other than the previous primary that was promoted since.
fn newest_leader<'a>(reports: &'a [MemberReport], plan: &ChangePlan) -> Option<&'a MemberReport> {
    newest_primary(reports).filter(|report| {
        Some(&report.member) != plan.previous.as_ref()
            && plan.history.is_newer(report.status.accepted)
    })
}

/// Returns the report of the primary of the newest term.
fn newest_primary(reports: &[MemberReport]) -> Option<&MemberReport> {
    let newest = reports.iter().map(|report| report.status.accepted).max()?;
    reports.iter().find(|report| {
        report.status.role == MemberRole::Primary && report.status.accepted == newest
    })
}
