//! The bound between a late answer and a dead primary.
//!
//! Load pattern: links whose delay varies and which lose packets, under a bound on the failover
//! gap. Without a learned bound a fixed one is either shorter than a lossy link's longest pause, and
//! every such pause starts a succession, or so long that the gap is spent on waiting.
//!
//! The bound is the usual gap between two answers plus [`DEVIATION_FACTOR`] times its usual
//! deviation, between a floor and a ceiling. Both averages take in every gap, so a link that
//! pauses often gets a longer bound by itself. Thresholds: see `docs/design/failure-detection.md`
//! for the measured curve of false alarms against the gap.

use std::time::{Duration, Instant};

/// Mean deviations that a gap may exceed the usual gap by.
const DEVIATION_FACTOR: f64 = 6.0;

/// Weight of one more gap in the averages: about the last thirty gaps count.
const GAP_GAIN: f64 = 1.0 / 32.0;

rudder_core::plain_data! {
    /// The limits between which a detector may set its bound.
    #[derive(Copy)]
    pub struct SuspicionBound {
        /// Silence shorter than this is never suspect.
        pub floor: Duration,
        /// Silence longer than this always is.
        pub ceiling: Duration,
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
        Self { floor: suspect_after, ceiling: suspect_after * 2 }
    }
}

/// Watches one member's answers from one observer.
///
/// ```
/// use rudder_decisions::{PulseDetector, SuspicionBound};
/// use std::time::{Duration, Instant};
/// let start = Instant::now();
/// let bound = SuspicionBound::around(Duration::from_millis(800));
/// let mut detector = PulseDetector::new(bound, Duration::from_millis(250), start);
/// detector.heard(start + Duration::from_millis(250));
/// assert!(!detector.is_suspect(start + Duration::from_millis(900)));
/// assert!(detector.is_suspect(start + Duration::from_millis(1900)));
/// ```
#[derive(Clone, Debug)]
pub struct PulseDetector {
    limits: SuspicionBound,
    gap_s: f64,
    deviation_s: f64,
    last_heard: Instant,
}

impl PulseDetector {
    /// A detector of a member that answers about every `interval`.
    ///
    /// See the example of [`PulseDetector`].
    #[must_use]
    pub fn new(limits: SuspicionBound, interval: Duration, now: Instant) -> Self {
        let gap_s = interval.as_secs_f64();
        Self { limits, gap_s, deviation_s: gap_s / 4.0, last_heard: now }
    }

    /// Takes in an answer of the member, to a probe or to a request.
    ///
    /// See the example of [`PulseDetector`].
    pub fn heard(&mut self, now: Instant) {
        let sample_s = now.duration_since(self.last_heard).as_secs_f64();
        self.last_heard = self.last_heard.max(now);
        // A silence that was longer than the ceiling was an outage, not a property of the link.
        // Learned as one, it would let the next real failure go unnoticed for longer.
        let sample_s = sample_s.min(self.limits.ceiling.as_secs_f64());
        self.deviation_s += GAP_GAIN * ((sample_s - self.gap_s).abs() - self.deviation_s);
        self.gap_s += GAP_GAIN * (sample_s - self.gap_s);
    }

    /// How long the member may be silent now before it is suspect.
    ///
    /// ```
    /// use rudder_decisions::{PulseDetector, SuspicionBound};
    /// use std::time::{Duration, Instant};
    /// let bound = SuspicionBound::around(Duration::from_millis(800));
    /// let detector = PulseDetector::new(bound, Duration::from_millis(250), Instant::now());
    /// assert_eq!(detector.bound(), Duration::from_millis(800));
    /// ```
    #[must_use]
    pub fn bound(&self) -> Duration {
        let bound_s = self.gap_s + DEVIATION_FACTOR * self.deviation_s;
        Duration::from_secs_f64(bound_s).clamp(self.limits.floor, self.limits.ceiling)
    }

    /// Whether the member has been silent for too long.
    ///
    /// See the example of [`PulseDetector`].
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        now.duration_since(self.last_heard) > self.bound()
    }

    /// When the member becomes suspect if it stays silent.
    ///
    /// ```
    /// use rudder_decisions::{PulseDetector, SuspicionBound};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let bound = SuspicionBound::around(Duration::from_millis(800));
    /// let detector = PulseDetector::new(bound, Duration::from_millis(250), now);
    /// assert_eq!(detector.suspect_at(), now + Duration::from_millis(800));
    /// ```
    #[must_use]
    pub fn suspect_at(&self) -> Instant {
        self.last_heard + self.bound()
    }
}
