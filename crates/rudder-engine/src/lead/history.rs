//! Positions that the primary was seen at, from which the floor of a read with a bound follows.

use rudder_core::{FreshSample, LogStamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Samples closer together than this are merged; the floor is then older by at most as much.
const SAMPLE_GAP: Duration = Duration::from_millis(40);

/// Samples kept: enough for the greatest bounds in use (some seconds) at [`SAMPLE_GAP`].
const SAMPLES_MAX: usize = 128;

/// Samples of one service under one version of its record, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionHistory {
    samples: VecDeque<FreshSample>,
}

impl PositionHistory {
    /// Takes in a position that the primary had applied when it answered a question that was
    /// sent at `sample.sent_at`. The lease must have covered that moment.
    pub(crate) fn note(&mut self, sample: FreshSample) {
        let Some(newest) = self.samples.back() else {
            self.samples.push_back(sample);
            return;
        };
        // Of two close samples the older one is kept: it says as much about that moment with a
        // lower position, which more replicas have applied.
        if sample.sent_at < newest.sent_at + SAMPLE_GAP || sample.stamp < newest.stamp {
            return;
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// The least position that holds every commit acknowledged before `now - bound`; none if no
    /// sample is that recent.
    ///
    /// The oldest sample within the bound is taken, as more replicas have applied it.
    pub(crate) fn floor(&self, bound: Duration, now: Duration) -> Option<LogStamp> {
        let oldest = now.saturating_sub(bound);
        let index = self.samples.partition_point(|sample| sample.sent_at < oldest);
        self.samples.get(index).map(|sample| sample.stamp)
    }

    /// How long ago the primary was first seen at `stamp` or farther; zero if it never was.
    pub(crate) fn age_of(&self, stamp: LogStamp, now: Duration) -> Duration {
        self.age_from(now, |sample| sample.stamp < stamp)
    }

    /// For how long the primary has been seen farther than `stamp`; zero if it is not.
    pub(crate) fn lag_of(&self, stamp: LogStamp, now: Duration) -> Duration {
        self.age_from(now, |sample| sample.stamp <= stamp)
    }

    fn age_from(&self, now: Duration, before: impl Fn(&FreshSample) -> bool) -> Duration {
        let first = self.samples.get(self.samples.partition_point(before));
        first.map_or(Duration::ZERO, |sample| now.saturating_sub(sample.sent_at))
    }

    /// When the newest sample was asked for.
    pub(crate) fn newest(&self) -> Option<FreshSample> {
        self.samples.back().copied()
    }

    /// Forgets everything: the log may have been cut back.
    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
