//! The latest report of each member.

use super::view::{GroupView, MemberReport};
use rudder_core::{FreshSample, GroupCondition};
use rudder_core::{
    LogTerm, MemberName, MemberStatus, ServiceName, TimedReport, assess_group, confirm_sample,
};
use std::time::Duration;
use tokio::time::Instant;

/// The latest reports of a group's members, sorted by name.
pub(super) struct ReportTable {
    reports: Vec<MemberReport>,
    origin: Instant,
}

impl ReportTable {
    pub(super) fn new(mut members: Vec<MemberName>, origin: Instant) -> Self {
        members.sort_unstable();
        let blank = |member| MemberReport { member, requested_at: origin, status: None };
        Self { reports: members.into_iter().map(blank).collect(), origin }
    }

    /// Records a response, or a failure if there is no status. A response to an older request than
    /// the recorded one is ignored.
    pub(super) fn record(
        &mut self,
        member: &MemberName,
        requested_at: Instant,
        status: Option<MemberStatus>,
    ) {
        let order = |report: &MemberReport| report.member.cmp(member);
        let Ok(index) = self.reports.binary_search_by(order) else { return };
        let report = &mut self.reports[index];
        if requested_at >= report.requested_at {
            report.requested_at = requested_at;
            report.status = status;
        }
    }

    /// Returns the members without a successful response to a request sent at or after `since`.
    pub(super) fn members_without_report_since(&self, since: Instant) -> Vec<MemberName> {
        let is_old =
            |report: &&MemberReport| report.status.is_none() || report.requested_at < since;
        self.reports.iter().filter(is_old).map(|report| report.member.clone()).collect()
    }

    /// Returns the responses to requests that were sent at or after `since`.
    pub(super) fn requested_since(&self, since: Instant) -> Vec<(MemberName, MemberStatus)> {
        let is_fresh = |report: &&MemberReport| report.requested_at >= since;
        let fresh = self.reports.iter().filter(is_fresh);
        fresh.filter_map(|report| Some((report.member.clone(), report.status?))).collect()
    }

    /// Returns when the latest request to `member` was sent.
    pub(super) fn requested_at(&self, member: &MemberName) -> Option<Instant> {
        let index = self.reports.binary_search_by(|report| report.member.cmp(member)).ok()?;
        Some(self.reports[index].requested_at)
    }

    /// Returns the greatest term that any member accepted.
    pub(super) fn greatest_accepted_term(&self) -> LogTerm {
        let terms = self.reports.iter().filter_map(|report| Some(report.status?.accepted));
        terms.max().unwrap_or_default()
    }

    pub(super) fn condition(&self, since: Instant) -> GroupCondition {
        assess_group(self.reports.len(), &self.requested_since(since))
    }

    pub(super) fn view(&self, service: &ServiceName, term: LogTerm, since: Instant) -> GroupView {
        let (term, primary) =
            match self.condition(since) {
                GroupCondition::HasPrimary {
                    primary, term: primary_term, confirmed: true, ..
                } if primary_term >= term => (primary_term, Some(primary)),
                _ => (term, None),
            };
        let sample = primary.as_ref().and_then(|_| self.sample(since));
        GroupView {
            service: service.clone(),
            term,
            primary,
            confirmed_at: sample.map(|sample| self.origin + sample.sent_at),
            confirmed_stamp: sample.map(|sample| sample.stamp),
            switching: false,
            members: self.reports.clone(),
        }
    }

    fn sample(&self, since: Instant) -> Option<FreshSample> {
        let timed = |report: &MemberReport| {
            let requested_at: Duration = report.requested_at.duration_since(self.origin);
            let member = report.member.clone();
            Some(TimedReport { member, requested_at, status: report.status? })
        };
        let fresh = self.reports.iter().filter(|report| report.requested_at >= since);
        let reports: Vec<_> = fresh.filter_map(timed).collect();
        confirm_sample(self.reports.len(), &reports)
    }
}
