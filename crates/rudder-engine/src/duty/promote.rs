//! Selection and promotion of the next primary.

use super::change::{
    ChangeError, ChangePlan, ChangeRun, INTENT_VALIDITY, POLL_INTERVAL, Promotion, WrittenRecord,
};
use super::control::{MemberReport, STATUS_TIMEOUT, fetch_status};
use crate::clock::boot_time;
use crate::group::{GroupMember, MemberState};
use crate::interfaces::{PromotionError, PromotionOrder};
use crate::lead::{MemberOrder, order_candidates};
use rudder_core::{LogStamp, LogTerm, MemberName, MemberRole};
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

impl ChangeRun<'_> {
    /// Returns the status reports of the members that may take over and, if replicas receive commits
    /// synchronously, of all other members.
    pub(super) async fn fetch_reports(&self, plan: &ChangePlan) -> Vec<MemberReport> {
        if self.sync_replicas() == 0 {
            return self.fetch_candidates(plan).await;
        }
        let members = self.group.members();
        let sufficient = |reports: &[MemberReport]| self.choose(plan, reports, &[]).is_some();
        self.clients.lock().await.fetch_until(self.engine, &members, sufficient).await
    }

    /// Returns the status reports of the members that may take over.
    pub(super) async fn fetch_candidates(&self, plan: &ChangePlan) -> Vec<MemberReport> {
        let mut members = self.group.members();
        members.retain(|member| self.may_succeed(plan, member));
        self.clients.lock().await.fetch_all(self.engine, &members).await
    }

    /// Returns whether a member may take over, if its log is complete.
    fn may_succeed(&self, plan: &ChangePlan, member: &GroupMember) -> bool {
        let is_ready = member.entry().state == MemberState::Ready;
        is_ready && (plan.unfinished || Some(member.name()) != plan.previous.as_ref())
    }

    fn sync_replicas(&self) -> u32 {
        let Some(settings) = self.engine.settings() else { return 0 };
        let rules = &settings.services;
        let found = rules.binary_search_by(|rule| rule.service.cmp(self.group.service()));
        found.map_or(0, |index| rules[index].sync_replicas)
    }

    /// Promotes a member.
    pub(super) async fn promote(
        &self,
        plan: &ChangePlan,
        mut intent: WrittenRecord,
    ) -> Result<Promotion, ChangeError> {
        let previous = plan.previous.as_ref();
        if plan.planned
            && let Some(member) = previous.and_then(|name| self.group.member(name))
        {
            self.await_catch_up(plan, &member).await;
        }
        let mut current: Option<CurrentOrder> = None;
        let mut rejected: Vec<MemberName> = Vec::new();
        let mut is_withheld = false;
        loop {
            let reports = self.fetch_reports(plan).await;
            // An earlier order may have taken effect.
            let leader = newest_leader(&reports, previous).cloned();
            if let Some(leader) = leader.as_ref().filter(|leader| self.may_settle_on(leader)) {
                return Ok(self.promotion(leader.clone(), intent, current));
            }
            self.check_validity(&intent)?;
            // While an order for another member may still take effect, there is nothing to order.
            let candidate = self.choose(plan, &reports, &rejected).filter(|_| leader.is_none());
            let Some(candidate) = candidate else {
                rejected.clear();
                let waits = leader.is_none() && self.sync_replicas() > 0;
                if waits && !std::mem::replace(&mut is_withheld, true) {
                    self.report_withheld(&reports);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let before = reports.iter().map(|report| report.status.accepted).max();
            let leading = find_leading(&reports, &candidate, before).cloned();
            let mut order = match current.take() {
                // It leads already, so the order changes nothing, but an order for another member
                // may still take effect.
                Some(order)
                    if order.member == candidate && order.was_accepted && leading.is_some() =>
                {
                    current = Some(order);
                    if let Some(leader) = leading.filter(|leader| self.may_settle_on(leader)) {
                        return Ok(self.promotion(leader, intent, current));
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                Some(order) if order.member == candidate => order,
                replaced => {
                    let (order, written) =
                        self.write_order(plan, &intent, replaced, &candidate).await?;
                    intent = written;
                    // Checked right before the order: a holder that was suspended must not promote
                    // a member after another instance has taken over.
                    self.check_validity(&intent)?;
                    order
                }
            };
            let outcome = self.order(&intent, &candidate).await;
            order.is_unanswered |= outcome == Err(PromotionError::Unanswered);
            order.was_accepted |= outcome.is_ok();
            current = Some(order);
            let leader = match outcome {
                // The platform changes nothing if the member is already the primary.
                Ok(()) if leading.is_some() => leading,
                Ok(()) | Err(PromotionError::Unanswered) => {
                    self.await_leader(&candidate, before.unwrap_or_default()).await
                }
                Err(PromotionError::Rejected) => {
                    rejected.push(candidate);
                    None
                }
                Err(PromotionError::TurnedAway(_)) => {
                    tokio::time::sleep(ORDER_RETRY_DELAY).await;
                    None
                }
            };
            match leader {
                Some(leader) if self.may_settle_on(&leader) => {
                    return Ok(self.promotion(leader, intent, current));
                }
                Some(_) => tokio::time::sleep(POLL_INTERVAL).await,
                None => {}
            }
        }
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

    fn pending_orders(&self) -> Vec<MemberOrder> {
        self.group.with_leases(|leases| leases.pending_orders(boot_time()))
    }

    /// Returns whether no order for another member may still take effect.
    fn may_settle_on(&self, leader: &MemberReport) -> bool {
        let now = boot_time();
        self.group.with_leases(|leases| leases.may_settle_on(&leader.member, now))
    }

    /// Returns the promotion of `leader`, with the orders for it that may still be on their way. An
    /// order that was answered is not.
    fn promotion(
        &self,
        leader: MemberReport,
        written: WrittenRecord,
        current: Option<CurrentOrder>,
    ) -> Promotion {
        let mut orders = self.pending_orders();
        if let Some(order) = current.filter(|order| !order.is_unanswered) {
            orders.retain(|pending| pending.member != order.member);
            orders.extend(order.earlier);
        }
        Promotion { leader, written, orders }
    }

    /// Returns the member to promote; none if none may take over, or if the reports do not show
    /// which members hold all acknowledged commits of a service with synchronous replicas.
    ///
    /// Promoting a member that lacks some would lose them, although the service is declared to keep
    /// its acknowledged commits when its primary fails.
    fn choose(
        &self,
        plan: &ChangePlan,
        reports: &[MemberReport],
        rejected: &[MemberName],
    ) -> Option<MemberName> {
        let positions: Vec<_> =
            reports.iter().map(|report| (report.member.clone(), report.status.received)).collect();
        let previous = plan.previous.as_ref();
        let sync_replicas = self.sync_replicas();
        let complete = if sync_replicas > 0 {
            let evidence = self.group.commit_evidence(sync_replicas, previous);
            evidence.complete_position(previous, &positions)?
        } else {
            LogStamp::new(0, 0)
        };
        let (mut ready, mut leaving) = (Vec::new(), Vec::new());
        let is_candidate = |(name, received): &(MemberName, LogStamp)| {
            *received >= complete && !rejected.contains(name)
        };
        for (name, received) in positions.into_iter().filter(is_candidate) {
            let Some(member) = self.group.member(&name) else { continue };
            if self.may_succeed(plan, &member) {
                ready.push((name, received));
            } else if Some(&name) != previous {
                leaving.push((name, received));
            }
        }
        // A replica that is draining is replaced again, but no commit is lost meanwhile.
        let candidates = if ready.is_empty() && sync_replicas > 0 { leaving } else { ready };
        let candidates = order_candidates(candidates, &self.pending_orders());
        candidates.into_iter().next().map(|(member, _)| member)
    }

    fn report_withheld(&self, reports: &[MemberReport]) {
        let service = self.group.service();
        let reported: Vec<&str> = reports.iter().map(|report| report.member.as_str()).collect();
        metrics::counter!("rudder_promotions_withheld", "service" => service.to_string())
            .increment(1);
        log::warn!(
            service:% = service, sync_replicas = self.sync_replicas(), reported:? = reported;
            "no member that may take over is known to hold all acknowledged commits; waiting"
        );
    }

    /// Writes an order into the record, before it is sent. The order that it replaces stays in the
    /// record if it may still take effect.
    async fn write_order(
        &self,
        plan: &ChangePlan,
        intent: &WrittenRecord,
        replaced: Option<CurrentOrder>,
        candidate: &MemberName,
    ) -> Result<(CurrentOrder, WrittenRecord), ChangeError> {
        let mut orders = self.pending_orders();
        if let Some(replaced) = replaced.filter(|order| !order.may_take_effect()) {
            orders.retain(|order| order.member != replaced.member);
            orders.extend(replaced.earlier);
        }
        let earlier = orders.iter().find(|order| order.member == *candidate).cloned();
        orders.retain(|order| order.member != *candidate);
        let epoch = intent.record.epoch.next();
        orders.push(MemberOrder { member: candidate.clone(), epoch });
        orders.sort_by(|left, right| left.member.cmp(&right.member));
        let phase = self.changing(plan);
        let written = self.write(epoch, phase, orders, Some(&intent.version)).await?;
        let member = candidate.clone();
        let order = CurrentOrder { member, earlier, was_accepted: false, is_unanswered: false };
        Ok((order, written))
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
