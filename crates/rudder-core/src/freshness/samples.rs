//! The freshness samples of one service, from which the age of a member's data is computed.

use super::sample::FreshSample;
use crate::plain_data;
use crate::stamp::LogStamp;
use std::time::Duration;

/// Maximum number of samples kept for one service. Beyond it, the least useful sample is dropped,
/// which is usually an older one.
const SAMPLES_MAX: usize = 64;

plain_data! {
    /// Samples sorted by time; time and stamp both increase strictly from one to the next.
    #[derive(Default)]
    pub struct FreshnessSamples {
        samples: Vec<FreshSample>,
    }
}

impl FreshnessSamples {
    /// Records a confirmed sample. Samples may arrive in any order.
    ///
    /// ```
    /// use rudder_core::{FreshSample, FreshnessSamples, LogStamp};
    /// use std::time::Duration;
    /// let mut samples = FreshnessSamples::default();
    /// samples.record(FreshSample { sent_at: Duration::from_secs(5), stamp: LogStamp::new(1, 9) });
    /// let now = Duration::from_secs(7);
    /// assert_eq!(samples.age_of(LogStamp::new(1, 9), now), Some(Duration::from_secs(2)));
    /// assert_eq!(samples.age_of(LogStamp::new(1, 8), now), None);
    /// ```
    pub fn record(&mut self, sample: FreshSample) {
        let index = self.samples.partition_point(|known| known.sent_at < sample.sent_at);
        // A known sample that is at least as recent, with a stamp no greater, makes this one redundant.
        if self.samples[index..].iter().any(|known| known.stamp <= sample.stamp) {
            return;
        }
        let is_redundant =
            |known: &FreshSample| known.sent_at <= sample.sent_at && known.stamp >= sample.stamp;
        self.samples.retain(|known| !is_redundant(known));
        let index = self.samples.partition_point(|known| known.sent_at < sample.sent_at);
        self.samples.insert(index, sample);
        if self.samples.len() > SAMPLES_MAX {
            self.evict_cheapest_sample();
        }
    }

    /// Records a peer's newest sample, which was `age` old when the peer responded to a request
    /// that was sent to it at `requested_at`.
    ///
    /// ```
    /// use rudder_core::{FreshnessSamples, LogStamp};
    /// use std::time::Duration;
    /// let mut samples = FreshnessSamples::default();
    /// let second = Duration::from_secs(1);
    /// samples.record_peer_sample(10 * second, second, LogStamp::new(1, 9));
    /// assert_eq!(samples.age_of(LogStamp::new(1, 9), 11 * second), Some(2 * second));
    /// ```
    pub fn record_peer_sample(&mut self, requested_at: Duration, age: Duration, stamp: LogStamp) {
        // The age counts from when the request was sent, so the whole round trip is added to it.
        // Counted from the arrival of a slow response, the data would seem fresher than it is.
        let Some(sent_at) = requested_at.checked_sub(age) else { return };
        self.record(FreshSample { sent_at, stamp });
    }

    /// Returns the age, at `now`, of the data of a member that has applied the log up to `applied`.
    ///
    /// `None` means that the age is unknown, which exceeds every bound.
    ///
    /// ```
    /// use rudder_core::{FreshnessSamples, LogStamp};
    /// use std::time::Duration;
    /// assert_eq!(FreshnessSamples::default().age_of(LogStamp::new(1, 1), Duration::ZERO), None);
    /// ```
    #[must_use]
    pub fn age_of(&self, applied: LogStamp, now: Duration) -> Option<Duration> {
        let count = self.samples.partition_point(|sample| sample.stamp <= applied);
        let sample = self.samples[..count].last()?;
        Some(now.saturating_sub(sample.sent_at))
    }

    /// Returns the newest sample, to be sent to peers.
    ///
    /// ```
    /// assert_eq!(rudder_core::FreshnessSamples::default().newest(), None);
    /// ```
    #[must_use]
    pub fn newest(&self) -> Option<FreshSample> {
        self.samples.last().copied()
    }

    /// Drops the sample whose neighbours are closest together relative to their age, so that recent
    /// samples stay dense and old ones become sparse. A dropped sample can only make computed ages
    /// greater.
    fn evict_cheapest_sample(&mut self) {
        let Some(newest) = self.newest() else { return };
        let cost = |window: &[FreshSample]| {
            let gap = window[2].sent_at - window[0].sent_at;
            let age = newest.sent_at - window[0].sent_at;
            gap.as_micros().saturating_mul(1_000_000) / age.as_micros().max(1)
        };
        let costs = self.samples.windows(3).map(cost);
        let lowest_cost = costs.enumerate().min_by_key(|(_, cost)| *cost);
        if let Some((index, _)) = lowest_cost {
            self.samples.remove(index + 1);
        }
    }
}
