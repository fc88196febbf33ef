//! Selection of the member to promote.

use super::change::{ChangePlan, ChangeRun};
use super::control::MemberReport;
use crate::group::{GroupMember, MemberState};
use crate::lead::order_candidates;
use rudder_core::{LogStamp, MemberName};

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

    pub(super) fn sync_replicas(&self) -> u32 {
        let Some(settings) = self.engine.settings() else { return 0 };
        let rules = &settings.services;
        let found = rules.binary_search_by(|rule| rule.service.cmp(self.group.service()));
        found.map_or(0, |index| rules[index].sync_replicas)
    }

    /// Returns the member to promote; none if none may take over, or if the reports do not show
    /// which members hold all acknowledged commits of a service with synchronous replicas.
    ///
    /// Promoting a member that lacks some would lose them, although the service is declared to keep
    /// its acknowledged commits when its primary fails.
    pub(super) fn choose(
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

    /// Reports that a change waits because no member is known to be complete.
    pub(super) fn report_withheld(&self, reports: &[MemberReport]) {
        let service = self.group.service();
        let reported: Vec<&str> = reports.iter().map(|report| report.member.as_str()).collect();
        metrics::counter!("rudder_promotions_withheld", "service" => service.to_string())
            .increment(1);
        log::warn!(
            service:% = service, sync_replicas = self.sync_replicas(), reported:? = reported;
            "no member that may take over is known to hold all acknowledged commits; waiting"
        );
    }
}
