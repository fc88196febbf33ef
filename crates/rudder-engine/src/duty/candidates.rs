//! Selection of the member to promote.

use super::change::ChangeRun;
use super::change_plan::ChangePlan;
use super::control::MemberReport;
use crate::clock::boot_time;
use crate::group::{GroupMember, MemberState};
use crate::lead::{CommitHolder, order_candidates};
use crate::sync::lock;
use rudder_core::{LogStamp, MemberName};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a member whose log holds commits that were rolled back may be promoted if no
/// other one responds. Longer than a member that crashed is down.
const RETURN_TIMEOUT: Duration = Duration::from_secs(20);

impl ChangeRun<'_> {
    /// Returns the status reports of the members that may take over and, if replicas receive commits
    /// synchronously, of all other members.
    pub(super) async fn fetch_reports(&self, plan: &ChangePlan) -> Vec<MemberReport> {
        if self.sync_replicas() == 0 {
            return self.fetch_candidates(plan).await;
        }
        let departed = self.departed_members();
        let mut members = self.group.members();
        members.extend(departed.iter().map(|(_, member)| Arc::clone(member)));
        let sufficient = |reports: &[MemberReport]| self.choose(plan, reports, &[]).is_some();
        let reports =
            self.clients.lock().await.fetch_until(self.engine, &members, sufficient).await;
        for (holder, member) in &departed {
            if reports.iter().any(|report| report.member == *member.name()) {
                self.group.record_holder_probe(holder, true);
            }
        }
        reports
    }

    /// Returns the members that have left and may still run. One that is only cut from the store has
    /// received commits that others lack.
    fn departed_members(&self) -> Vec<(CommitHolder, Arc<GroupMember>)> {
        let mut known = lock(&self.departed);
        let mut members = Vec::new();
        for holder in self.group.holders_to_request() {
            let found = known.binary_search_by(|(known, _)| known.cmp(&holder));
            let index = found.unwrap_or_else(|index| {
                let domain = &self.engine.identity().domain;
                let dialer = &self.engine.dependencies().dialer;
                let member = self.group.departed_member(&holder, domain, dialer);
                known.insert(index, (holder, member));
                index
            });
            members.push(known[index].clone());
        }
        members
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

    pub(super) fn sync_replicas(&self) -> u32 {
        self.engine.sync_replicas(self.group.service())
    }

    /// Returns the member to promote; none if none may take over, or if the reports do not show
    /// which members hold all acknowledged commits of a service with synchronous replicas.
    ///
    /// Promoting a member that lacks some would lose them, although the service is declared to keep
    /// its acknowledged commits when its primary fails.
    ///
    /// A member whose log holds commits that an earlier promotion rolled back is promoted only if no
    /// other one returns in [`RETURN_TIMEOUT`]. These commits would be in force again, although
    /// callers have read the state without them.
    pub(super) fn choose(
        &self,
        plan: &ChangePlan,
        reports: &[MemberReport],
        rejected: &[MemberName],
    ) -> Option<MemberName> {
        let kept = |report: &MemberReport| plan.history.kept_position(report.status.received);
        let positions: Vec<_> =
            reports.iter().map(|report| (report.member.clone(), kept(report))).collect();
        let previous = plan.previous.as_ref();
        let sync_replicas = self.sync_replicas();
        let complete = if sync_replicas > 0 {
            let base = plan.history.base();
            let evidence = self.group.commit_evidence(sync_replicas, previous, base);
            evidence.complete_position(previous, &positions)?
        } else {
            LogStamp::new(0, 0)
        };
        let (mut ready, mut leaving, mut rolled_back) = (Vec::new(), Vec::new(), Vec::new());
        for report in reports {
            let candidate = (report.member.clone(), kept(report));
            if candidate.1 < complete || rejected.contains(&candidate.0) {
                continue;
            }
            let Some(member) = self.group.member(&candidate.0) else { continue };
            match (self.may_succeed(plan, &member), plan.was_rolled_back(report)) {
                (true, true) => rolled_back.push(candidate),
                (true, false) => ready.push(candidate),
                (false, false) if Some(&report.member) != previous => leaving.push(candidate),
                (false, _) => {}
            }
        }
        // A replica that is draining is replaced again, but no commit is lost meanwhile.
        let candidates = match () {
            () if !ready.is_empty() => ready,
            () if sync_replicas > 0 && !leaving.is_empty() => leaving,
            () if self.has_waited_for_return() => rolled_back,
            () => Vec::new(),
        };
        let candidates = order_candidates(candidates, &self.pending_orders());
        candidates.into_iter().next().map(|(member, _)| member)
    }

    /// Returns whether the members that are down have had time to return since the change began.
    fn has_waited_for_return(&self) -> bool {
        let changing_since = self.group.with_leases(|leases| leases.changing_since());
        changing_since.is_some_and(|since| boot_time() >= since + RETURN_TIMEOUT)
    }

    /// Reports that a change waits, unless it only waits for members to respond or to be accepted.
    pub(super) fn report_withheld(&self, plan: &ChangePlan, reports: &[MemberReport]) -> bool {
        let service = self.group.service();
        let rolled_back = reports.iter().filter(|report| plan.was_rolled_back(report)).count();
        let reason = match rolled_back {
            0 if self.sync_replicas() > 0 => "commits_missing",
            0 => return false,
            _ => "commits_rolled_back",
        };
        let reported: Vec<String> = reports
            .iter()
            .map(|report| format!("{} {}", report.member, report.status.received))
            .collect();
        metrics::counter!(
            "rudder_promotions_withheld", "service" => service.to_string(), "reason" => reason
        )
        .increment(1);
        log::warn!(
            service:% = service, reason = reason, sync_replicas = self.sync_replicas(),
            reported:? = reported, history:? = plan.history;
            "no member that may take over is known to hold all acknowledged commits, and none that \
             were rolled back; waiting"
        );
        true
    }
}
