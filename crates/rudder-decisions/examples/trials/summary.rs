//! What callers got, as figures.

use super::model::{Outcome, Request};
use std::time::Duration;

/// What a set of callers got.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadSummary {
    /// Requests of the set.
    pub(crate) requests: usize,
    /// Answered without failure within the caller's patience.
    pub(crate) served: usize,
    /// Refused.
    pub(crate) refused: usize,
    /// Failed by a member.
    pub(crate) failed: usize,
    /// Mean time from arrival to answer, in ms.
    pub(crate) mean_ms: f64,
    /// Half of the answers came within this, in ms.
    pub(crate) p50_ms: f64,
    /// 99 in 100 answers came within this, in ms.
    pub(crate) p99_ms: f64,
}

impl LoadSummary {
    /// Sums up the requests that `belongs` selects.
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

    /// The part of the requests that was served.
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// A time in milliseconds.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// A percentile of sorted times, in milliseconds.
pub(crate) fn percentile_ms(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().map_or(0.0, millis)
}
