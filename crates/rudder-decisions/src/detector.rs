//! Failure detector that distinguishes late responses from a failed primary.
//!
//! Load pattern: links with variable delay and packet loss, under a bound on the failover gap. A
//! fixed bound is either shorter than the usual pauses of a lossy link, which then trigger
//! successions, or longer than needed on a good link, which prolongs the failover gap.
//!
//! The bound is the longest recent gap between two responses, times a margin, clamped to a floor
//! and a ceiling. Mean plus some deviations is no better than a fixed bound: a lost packet costs a
//! whole retransmission time, so the relevant gaps are far out in the tail, which mean and
//! deviation hardly describe. Thresholds: `docs/design/failure-detection.md`.

use std::time::{Duration, Instant};

/// Factor on the longest gap, in percent: covers a retransmission that comes later than the
/// previous one.
const MARGIN_PERCENT: u32 = 125;

/// Half-life of the longest gap: long enough to keep pauses that occur a few times an hour, short
/// enough to drop an outage within the hour.
const GAP_HALF_LIFE: Duration = Duration::from_secs(600);

rudder_core::plain_data! {
    /// Limits within which a detector sets its bound.
    #[derive(Copy)]
    pub struct SuspicionBound {
        /// Silence up to this long never makes a member suspect.
        pub floor: Duration,
        /// Silence longer than this always makes a member suspect.
        pub ceiling: Duration,
        /// Factor on the longest recent gap, in percent.
        pub margin_percent: u32,
    }
}

impl SuspicionBound {
    /// Returns limits from the configured `suspect_after` to twice that time.
    ///
    /// ```
    /// use rudder_decisions::SuspicionBound;
    /// use std::time::Duration;
    /// let bound = SuspicionBound::around(Duration::from_millis(800));
    /// assert_eq!(bound.ceiling, Duration::from_millis(1600));
    /// ```
    #[must_use]
    pub fn around(suspect_after: Duration) -> Self {
        let ceiling = suspect_after * 2;
        Self { floor: suspect_after, ceiling, margin_percent: MARGIN_PERCENT }
    }
}

/// Tracks the responses of one member to one observer.
///
/// ```
/// use rudder_decisions::{SilenceDetector, SuspicionBound};
/// use std::time::{Duration, Instant};
/// let start = Instant::now();
/// let bound = SuspicionBound::around(Duration::from_millis(800));
/// let mut detector = SilenceDetector::new(bound, Duration::from_millis(250), start);
/// detector.record_response(start + Duration::from_millis(250));
/// assert!(!detector.is_suspect(start + Duration::from_millis(900)));
/// assert!(detector.is_suspect(start + Duration::from_millis(1900)));
/// ```
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    limits: SuspicionBound,
    longest_gap_s: f64,
    last_response_at: Instant,
}

impl SilenceDetector {
    /// Creates a detector for a member that responds about once per `interval`.
    ///
    /// See the example of [`SilenceDetector`].
    #[must_use]
    pub fn new(limits: SuspicionBound, interval: Duration, now: Instant) -> Self {
        Self { limits, longest_gap_s: interval.as_secs_f64(), last_response_at: now }
    }

    /// Records a response of the member to a probe or to a request.
    ///
    /// See the example of [`SilenceDetector`].
    pub fn record_response(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_response_at);
        let half_lives = gap.as_secs_f64() / GAP_HALF_LIFE.as_secs_f64();
        // A silence longer than the ceiling is an outage, not a property of the link. It counts as
        // the ceiling, so that it does not keep the bound there for longer than other pauses do.
        let gap = gap.min(self.limits.ceiling);
        self.longest_gap_s = (self.longest_gap_s * 0.5_f64.powf(half_lives)).max(gap.as_secs_f64());
        self.last_response_at = self.last_response_at.max(now);
    }

    /// Returns how long the member may currently be silent before it is suspect.
    ///
    /// ```
    /// use rudder_decisions::{SilenceDetector, SuspicionBound};
    /// use std::time::{Duration, Instant};
    /// let bound = SuspicionBound::around(Duration::from_millis(800));
    /// let detector = SilenceDetector::new(bound, Duration::from_millis(250), Instant::now());
    /// assert_eq!(detector.bound(), Duration::from_millis(800));
    /// ```
    #[must_use]
    pub fn bound(&self) -> Duration {
        let margin = f64::from(self.limits.margin_percent) / 100.0;
        let bound = Duration::from_secs_f64(self.longest_gap_s * margin);
        bound.clamp(self.limits.floor, self.limits.ceiling)
    }

    /// Whether the member has been silent for longer than the bound.
    ///
    /// See the example of [`SilenceDetector`].
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        now.duration_since(self.last_response_at) > self.bound()
    }

    /// Returns the time at which the member becomes suspect if it stays silent.
    ///
    /// ```
    /// use rudder_decisions::{SilenceDetector, SuspicionBound};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let bound = SuspicionBound::around(Duration::from_millis(800));
    /// let detector = SilenceDetector::new(bound, Duration::from_millis(250), now);
    /// assert_eq!(detector.suspect_at(), now + Duration::from_millis(800));
    /// ```
    #[must_use]
    pub fn suspect_at(&self) -> Instant {
        self.last_response_at + self.bound()
    }
}
