//! The latest report of each member, and the conclusions from all of them.

use rudder_core::{
    FreshnessSamples, LogTerm, MemberName, MemberRole, MemberStatus, TimedReport, confirm_sample,
};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Latest reports of a group's members, with the freshness samples built from them.
pub(crate) struct MemberReports {
    origin: Instant,
    members: usize,
    inner: Mutex<ReportState>,
    changes: watch::Sender<u64>,
}

#[derive(Default)]
struct ReportState {
    /// Sorted by member name; one report each.
    reports: Vec<TimedReport>,
    samples: FreshnessSamples,
}

impl MemberReports {
    /// Creates an empty table for a group of `members` members.
    pub(crate) fn new(origin: Instant, members: usize) -> Self {
        let (changes, _) = watch::channel(0);
        Self { origin, members, inner: Mutex::default(), changes }
    }

    /// Returns the time since this instance's origin.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Converts an instant to the time since this instance's origin.
    pub(crate) fn since_origin(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.origin)
    }

    /// Converts a time since this instance's origin to an instant.
    pub(crate) fn instant_at(&self, time: Duration) -> Instant {
        self.origin + time
    }

    /// Records a member's report. One that was requested earlier than the recorded one is dropped,
    /// since it is less recent.
    pub(crate) fn record(&self, member: &MemberName, requested_at: Duration, status: MemberStatus) {
        {
            let mut inner = self.lock();
            let report = TimedReport { member: member.clone(), requested_at, status };
            match inner.reports.binary_search_by(|known| known.member.cmp(member)) {
                Ok(index) if inner.reports[index].requested_at > requested_at => return,
                Ok(index) => inner.reports[index] = report,
                Err(index) => inner.reports.insert(index, report),
            }
            if let Some(sample) = confirm_sample(self.members, &inner.reports) {
                inner.samples.record(sample);
            }
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each report.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the reports, sorted by member name.
    pub(crate) fn reports(&self) -> Vec<TimedReport> {
        self.lock().reports.clone()
    }

    /// Returns the latest status of one member.
    pub(crate) fn status_of(&self, member: &MemberName) -> Option<MemberStatus> {
        let inner = self.lock();
        let index = inner.reports.binary_search_by(|known| known.member.cmp(member)).ok()?;
        Some(inner.reports[index].status)
    }

    /// Returns the member that reported the primary role at the greatest term.
    pub(crate) fn primary(&self) -> Option<(MemberName, LogTerm)> {
        let inner = self.lock();
        let is_primary = |report: &&TimedReport| report.status.role == MemberRole::Primary;
        let primary =
            inner.reports.iter().filter(is_primary).max_by_key(|report| report.status.accepted)?;
        Some((primary.member.clone(), primary.status.accepted))
    }

    /// Whether no member has reported yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().reports.is_empty()
    }

    /// Runs a query on the freshness samples.
    pub(crate) fn with_samples<T>(&self, query: impl FnOnce(&FreshnessSamples) -> T) -> T {
        query(&self.lock().samples)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ReportState> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}
