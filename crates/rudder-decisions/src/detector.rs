//! The bound between a late answer and a dead primary.
//!
//! Load pattern: links whose delay varies and which lose packets, under a bound on the failover
//! gap. Without a learned bound a fixed one is either shorter than a lossy link's usual pauses, and
//! they start successions, or longer than needed on a quiet link, and the failover gap is spent on
//! waiting.
//!
//! The bound is the longest gap between two answers seen lately, with a margin, between a floor and
//! a ceiling. Mean plus some deviations is no better than a fixed bound: a lost packet costs a whole
//! retransmission time, so the gaps that matter are far out in the tail, where mean and deviation
//! say little. Thresholds: `docs/design/failure-detection.md`.

use std::time::{Duration, Instant};

/// What the longest gap is multiplied by, in percent: a retransmission later than the last time.
const MARGIN_PERCENT: u32 = 125;

/// The longest gap counts half after this time: long enough to remember pauses that come a few
/// times an hour, short enough to forget an outage within the hour.
const GAP_HALF_LIFE: Duration = Duration::from_secs(600);

rudder_core::plain_data! {
    /// The limits between which a detector may set its bound.
    #[derive(Copy)]
    pub struct SuspicionBound {
        /// Silence shorter than this is never suspect.
        pub floor: Duration,
        /// Silence longer than this always is.
        pub ceiling: Duration,
        /// What the longest gap seen lately is multiplied by, in percent.
        pub margin_percent: u32,
    }
}

impl SuspicionBound {
    /// Limits around the `suspect_after` that operators set: from it to twice it.
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

/// Watches one member's answers from one observer.
///
/// ```
/// use rudder_decisions::{SilenceDetector, SuspicionBound};
/// use std::time::{Duration, Instant};
/// let start = Instant::now();
/// let bound = SuspicionBound::around(Duration::from_millis(800));
/// let mut detector = SilenceDetector::new(bound, Duration::from_millis(250), start);
/// detector.heard(start + Duration::from_millis(250));
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
    /// A detector of a member that answers about every `interval`.
    ///
    /// See the example of [`SilenceDetector`].
    #[must_use]
    pub fn new(limits: SuspicionBound, interval: Duration, now: Instant) -> Self {
        Self { limits, longest_gap_s: interval.as_secs_f64(), last_response_at: now }
    }

    /// Takes in an answer of the member, to a probe or to a request.
    ///
    /// See the example of [`SilenceDetector`].
    pub fn heard(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_response_at);
        let half_lives = gap.as_secs_f64() / GAP_HALF_LIFE.as_secs_f64();
        // A silence longer than the ceiling was an outage, not a property of the link. It counts
        // as the ceiling, so that it cannot hold the bound there for longer than other pauses do.
        let gap = gap.min(self.limits.ceiling);
        self.longest_gap_s = (self.longest_gap_s * 0.5_f64.powf(half_lives)).max(gap.as_secs_f64());
        self.last_response_at = self.last_response_at.max(now);
    }

    /// How long the member may be silent now before it is suspect.
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

    /// Whether the member has been silent for too long.
    ///
    /// See the example of [`SilenceDetector`].
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        now.duration_since(self.last_response_at) > self.bound()
    }

    /// When the member becomes suspect if it stays silent.
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
