//! History of a primary's log positions, which gives the floor of bounded-staleness reads.

use rudder_core::{FreshSample, LogStamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Samples closer together than this are merged. The floor is then older by at most this gap.
const SAMPLE_GAP: Duration = Duration::from_millis(40);

/// Maximum number of samples: covers the largest bounds in use (several seconds) at [`SAMPLE_GAP`].
const SAMPLES_MAX: usize = 128;

/// Samples of one service under one version of its record, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionHistory {
    samples: VecDeque<FreshSample>,
}

impl PositionHistory {
    /// Records a position that the primary had applied when it responded to a request sent at
    /// `sample.sent_at`. The lease must have been valid at that time.
    pub(crate) fn record(&mut self, sample: FreshSample) {
        let Some(newest) = self.samples.back() else {
            self.samples.push_back(sample);
            return;
        };
        // Of two close samples the older one is kept: its position is lower, so more replicas have
        // applied it, and it is valid for nearly the same time.
        if sample.sent_at < newest.sent_at + SAMPLE_GAP || sample.stamp < newest.stamp {
            return;
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the lowest position that contains every commit acknowledged before `now - bound`, or
    /// `None` if no sample is recent enough.
    ///
    /// The oldest sample within the bound is used because more replicas have applied it.
    pub(crate) fn floor(&self, bound: Duration, now: Duration) -> Option<LogStamp> {
        let oldest = now.saturating_sub(bound);
        let index = self.samples.partition_point(|sample| sample.sent_at < oldest);
        self.samples.get(index).map(|sample| sample.stamp)
    }

    /// Returns the time since the primary was first observed at `stamp` or beyond; zero if it never
    /// was.
    pub(crate) fn age_of(&self, stamp: LogStamp, now: Duration) -> Duration {
        self.age_from(now, |sample| sample.stamp < stamp)
    }

    /// Returns how long the primary has been observed beyond `stamp`; zero if it has not.
    pub(crate) fn lag_of(&self, stamp: LogStamp, now: Duration) -> Duration {
        self.age_from(now, |sample| sample.stamp <= stamp)
    }

    fn age_from(&self, now: Duration, before: impl Fn(&FreshSample) -> bool) -> Duration {
        let first = self.samples.get(self.samples.partition_point(before));
        first.map_or(Duration::ZERO, |sample| now.saturating_sub(sample.sent_at))
    }

    /// Returns the newest sample.
    pub(crate) fn newest(&self) -> Option<FreshSample> {
        self.samples.back().copied()
    }

    /// Returns the first sample that was requested at `since` or later.
    pub(crate) fn first_since(&self, since: Duration) -> Option<FreshSample> {
        let index = self.samples.partition_point(|sample| sample.sent_at < since);
        self.samples.get(index).copied()
    }

    /// Removes all samples, as the log may have been truncated.
    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
