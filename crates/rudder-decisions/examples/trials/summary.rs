//! Summary of request outcomes.

use super::model::{Outcome, Request};
use std::time::Duration;

/// Counts and response times of a set of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadSummary {
    /// Number of requests.
    pub(crate) requests: usize,
    /// Requests with a successful response before the caller's timeout.
    pub(crate) served: usize,
    /// Refused requests.
    pub(crate) refused: usize,
    /// Requests that failed at a member.
    pub(crate) failed: usize,
    /// Mean time from arrival to response, in ms.
    pub(crate) mean_ms: f64,
    /// Median response time, in ms.
    pub(crate) p50_ms: f64,
    /// 99th percentile of the response time, in ms.
    pub(crate) p99_ms: f64,
}

impl LoadSummary {
    /// Summarizes the requests for which `selects` returns true.
    pub(crate) fn of(
        requests: &[Request],
        outcomes: &[Outcome],
        selects: impl Fn(&Request, &Outcome) -> bool,
    ) -> Self {
        let mut summary = Self::default();
        let mut times = Vec::new();
        for (request, outcome) in requests.iter().zip(outcomes) {
            if !selects(request, outcome) {
                continue;
            }
            summary.requests += 1;
            summary.refused += usize::from(outcome.refused.is_some());
            summary.failed += usize::from(outcome.failed);
            if let Some(responded_at) = outcome.responded_at.filter(|_| !outcome.failed) {
                let time = responded_at.saturating_sub(request.at);
                summary.served += usize::from(time <= request.timeout);
                times.push(time);
            }
        }
        times.sort_unstable();
        summary.mean_ms = millis(times.iter().sum::<Duration>()) / times.len().max(1) as f64;
        summary.p50_ms = percentile_ms(&times, 50);
        summary.p99_ms = percentile_ms(&times, 99);
        summary
    }

    /// Returns the share of requests that were served.
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns a percentile of sorted durations, in milliseconds.
pub(crate) fn percentile_ms(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().map_or(0.0, millis)
}
