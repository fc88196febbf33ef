//! Classes and sizes of work, and the estimate of a statement's size from its fingerprint.
//!
//! Load pattern: long statements among short ones (a batch of reports among page requests). Without
//! a distinction a few reports occupy every slot of a member, and each short statement waits for
//! the longest of them.
//!
//! Thresholds: work counts as long from [`LONG_FACTOR`] times the typical time. Smaller differences
//! come from hardware (old members run at 0.4 of the speed of new ones). Each run is compared with
//! the typical time at that moment: all statements take longer in an overload, and if they counted
//! as long for that reason, the limit on long work would make the overload worse.

use crate::average::MovingAverage;
use std::fmt;
use std::time::Duration;

/// Multiple of the typical service time from which work counts as long.
const LONG_FACTOR: f64 = 8.0;

/// Minimum service time of long work, however short the typical statement is.
const LONG_MIN: Duration = Duration::from_millis(40);

/// Weight of a new sample in a fingerprint's estimate: an average over about the last ten runs.
const FINGERPRINT_GAIN: f64 = 0.2;

/// Weight of a new sample in the typical time: an average over about the last twenty runs, so that
/// it follows an overload as fast as the runs that are compared with it.
const TYPICAL_GAIN: f64 = 0.05;

/// Lower bound of a run's time in seconds; its logarithm has to be finite.
const RUN_TIME_MIN_S: f64 = 1e-6;

/// Maximum number of fingerprints kept; the least recently used one is evicted.
const FINGERPRINTS_MAX: usize = 2048;

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// Reads only.
    Read,
    /// May change data, or runs inside a transaction that may.
    Write,
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Write => "write",
        })
    }
}

/// Whether a statement is expected to hold its slot much longer than the typical one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkSize {
    /// Of the typical size, or unknown.
    #[default]
    Short,
    /// Much longer than the typical statement.
    Long,
}

impl fmt::Display for WorkSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Long => "long",
        })
    }
}

/// Estimates for one fingerprint.
#[derive(Clone, Debug)]
struct FingerprintRecord {
    fingerprint: u64,
    service: MovingAverage,
    /// Mean of the logarithm of each run's time relative to the typical time before that run.
    relative_ln: Option<f64>,
    last_use: u64,
}

/// Estimates the duration of statements by the fingerprint of their text without constants.
///
/// ```
/// use rudder_decisions::{WorkEstimate, WorkSize};
/// use std::time::Duration;
/// let mut estimate = WorkEstimate::new();
/// for _ in 0..50 {
///     estimate.observe(1, Duration::from_millis(10));
/// }
/// estimate.observe(2, Duration::from_secs(2));
/// assert_eq!(estimate.size(1), WorkSize::Short);
/// assert_eq!(estimate.size(2), WorkSize::Long);
/// ```
#[derive(Clone, Debug)]
pub struct WorkEstimate {
    records: Vec<FingerprintRecord>,
    typical_ln_s: Option<f64>,
    use_count: u64,
}

impl WorkEstimate {
    /// Creates an estimate without samples, which takes all work for short.
    ///
    /// ```
    /// use rudder_decisions::{WorkEstimate, WorkSize};
    /// assert_eq!(WorkEstimate::new().size(7), WorkSize::Short);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self { records: Vec::new(), typical_ln_s: None, use_count: 0 }
    }

    /// Records the time for which one run of `fingerprint` held its slot.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut estimate = rudder_decisions::WorkEstimate::new();
    /// estimate.observe(7, Duration::from_millis(3));
    /// assert_eq!(estimate.expected(7), Some(Duration::from_millis(3)));
    /// ```
    pub fn observe(&mut self, fingerprint: u64, held: Duration) {
        self.use_count += 1;
        let last_use = self.use_count;
        let held_ln_s = held.as_secs_f64().max(RUN_TIME_MIN_S).ln();
        let relative_ln = held_ln_s - self.typical_ln_s.unwrap_or(held_ln_s);
        let index = self.record_index(fingerprint);
        let record = &mut self.records[index];
        record.service.observe(held);
        record.relative_ln =
            Some(updated_average(record.relative_ln, relative_ln, FINGERPRINT_GAIN));
        record.last_use = last_use;
        // The typical time is a geometric mean: a few very long runs would raise an arithmetic mean
        // until no statement counted as long.
        self.typical_ln_s = Some(updated_average(self.typical_ln_s, held_ln_s, TYPICAL_GAIN));
    }

    /// Returns the expected time for which `fingerprint` holds its slot, or `None` if it is
    /// unknown.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::WorkEstimate::new().expected(7), None);
    /// ```
    #[must_use]
    pub fn expected(&self, fingerprint: u64) -> Option<Duration> {
        let index = self.position(fingerprint).ok()?;
        self.records[index].service.value()
    }

    /// Returns the time of a typical statement, or `None` before the first run.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::WorkEstimate::new().typical(), None);
    /// ```
    #[must_use]
    pub fn typical(&self) -> Option<Duration> {
        self.typical_ln_s.map(|typical| Duration::from_secs_f64(typical.exp()))
    }

    /// Returns the size of `fingerprint`; short if it is unknown.
    ///
    /// ```
    /// use rudder_decisions::WorkSize;
    /// assert_eq!(rudder_decisions::WorkEstimate::default().size(7), WorkSize::Short);
    /// ```
    #[must_use]
    pub fn size(&self, fingerprint: u64) -> WorkSize {
        let Ok(index) = self.position(fingerprint) else {
            return WorkSize::Short;
        };
        let record = &self.records[index];
        let relative = record.relative_ln.is_some_and(|relative| relative >= LONG_FACTOR.ln());
        let absolute = record.service.value().is_some_and(|service| service >= LONG_MIN);
        if relative && absolute { WorkSize::Long } else { WorkSize::Short }
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.records.binary_search_by_key(&fingerprint, |record| record.fingerprint)
    }

    fn record_index(&mut self, fingerprint: u64) -> usize {
        if let Ok(index) = self.position(fingerprint) {
            return index;
        }
        if self.records.len() >= FINGERPRINTS_MAX {
            self.evict_least_recent();
        }
        let index = self.records.partition_point(|record| record.fingerprint < fingerprint);
        let service = MovingAverage::new(FINGERPRINT_GAIN);
        let record = FingerprintRecord { fingerprint, service, relative_ln: None, last_use: 0 };
        self.records.insert(index, record);
        index
    }

    fn evict_least_recent(&mut self) {
        let ages = self.records.iter().enumerate().map(|(index, record)| (record.last_use, index));
        if let Some((_, index)) = ages.min() {
            self.records.remove(index);
        }
    }
}

impl Default for WorkEstimate {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns an exponential moving average after one more sample.
fn updated_average(average: Option<f64>, sample: f64, gain: f64) -> f64 {
    average.map_or(sample, |average| average + gain * (sample - average))
}
