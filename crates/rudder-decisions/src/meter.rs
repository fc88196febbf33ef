//! What this instance learns about one member: its service time, and how many statements it may
//! keep in flight there.
//!
//! Load pattern: old and new hardware side by side, shared by instances that do not know of each
//! other's requests. Without it: equal shares go to unequal members, the slow one's queue grows
//! without end, and instances that add up to more than the member's slots queue inside it, where
//! nothing can be reordered, shed or refused any more.
//!
//! Thresholds: the limit falls when answers take [`LATENCY_TOLERANCE`] times the uncontended time.
//! Service times that vary as much as an exponential distribution move an average of
//! [`FAST_GAIN`]'s length by about a third, so a smaller factor would react to chance. The limit
//! rises by one slot for each limit's worth of answers, so a freed member is used fully after a
//! few round trips, and falls by [`DECREASE_FACTOR`] at most once per such round: a larger step
//! makes instances swing together.

use std::time::{Duration, Instant};

/// Answers above this multiple of the uncontended time mean that work queues at the member.
const LATENCY_TOLERANCE: f64 = 2.0;

/// Weight of one answer in the recent average: about the last ten answers count.
const FAST_GAIN: f64 = 0.1;

/// Weight of one faster average in the uncontended time.
const BASELINE_FALL: f64 = 0.05;

/// Weight of one slower average in the uncontended time: it must not learn a queue as normal, but
/// must follow a lasting change of the work within some thousand answers.
const BASELINE_RISE: f64 = 0.0005;

/// The limit is multiplied by this when work queues at the member.
const DECREASE_FACTOR: f64 = 0.85;

/// After this long without an answer, half of the distance to the first guess is forgotten, so
/// that a member once slow is tried again.
const FORGET_HALF_LIFE: Duration = Duration::from_secs(5);

/// What this instance has learned about one member.
///
/// ```
/// use rudder_decisions::MemberMeter;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut meter = MemberMeter::new(5, Duration::from_millis(10));
/// meter.observe(Duration::from_millis(30), 1, now);
/// assert!(meter.service(now) > Duration::from_millis(10));
/// ```
#[derive(Clone, Debug)]
pub struct MemberMeter {
    slots: u32,
    guess_s: f64,
    recent_s: f64,
    baseline_s: f64,
    limit: f64,
    answers: u64,
    last_answer: Option<Instant>,
    decrease_allowed: u64,
}

impl MemberMeter {
    /// A meter of a member with `slots` slots, whose service time is first taken to be `guess`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// assert_eq!(meter.limit(), 5);
    /// ```
    #[must_use]
    pub fn new(slots: u32, guess: Duration) -> Self {
        let slots = slots.max(1);
        let guess_s = guess.as_secs_f64().max(1e-6);
        Self {
            slots,
            guess_s,
            recent_s: guess_s,
            baseline_s: guess_s,
            limit: f64::from(slots),
            answers: 0,
            last_answer: None,
            decrease_allowed: 0,
        }
    }

    /// Takes in one answer: the time from sending the statement to its end, without the link's
    /// round trip, and how many statements this instance had in flight there, itself included.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let mut meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// meter.observe(Duration::from_millis(10), 1, Instant::now());
    /// assert_eq!(meter.limit(), 5);
    /// ```
    pub fn observe(&mut self, latency: Duration, in_flight: u32, now: Instant) {
        let sample_s = latency.as_secs_f64();
        let gain = if self.answers == 0 { 0.5 } else { FAST_GAIN };
        self.recent_s += gain * (sample_s - self.recent_s);
        self.learn_baseline();
        self.answers += 1;
        self.last_answer = Some(now);
        self.adapt_limit(in_flight);
    }

    /// Takes in a statement that the member failed or did not answer in time.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let mut meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// meter.fail(Instant::now());
    /// assert_eq!(meter.limit(), 4);
    /// ```
    pub fn fail(&mut self, now: Instant) {
        self.last_answer = Some(now);
        self.decrease();
    }

    /// The expected time of a statement at the member, from sending to its end without the link.
    /// Drifts back to the first guess while no answers come.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// meter.observe(Duration::from_millis(90), 1, now);
    /// assert_eq!(meter.service(now), Duration::from_millis(50));
    /// assert_eq!(meter.service(now + Duration::from_secs(5)), Duration::from_millis(30));
    /// ```
    #[must_use]
    pub fn service(&self, now: Instant) -> Duration {
        let idle = self.last_answer.map_or(Duration::ZERO, |last| now.duration_since(last));
        let half_lives = idle.as_secs_f64() / FORGET_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(half_lives);
        let service_s = self.guess_s + kept * (self.recent_s - self.guess_s);
        Duration::from_nanos((service_s * 1e9).round() as u64)
    }

    /// How many statements this instance may keep in flight at the member: 1 to its slots.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert_eq!(rudder_decisions::MemberMeter::new(3, Duration::ZERO).limit(), 3);
    /// ```
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.limit.floor() as u32).clamp(1, self.slots)
    }

    /// Takes over a changed number of slots.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut meter = rudder_decisions::MemberMeter::new(5, Duration::ZERO);
    /// meter.set_slots(2);
    /// assert_eq!(meter.limit(), 2);
    /// ```
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.slots));
    }

    fn learn_baseline(&mut self) {
        let gain = if self.answers == 0 {
            1.0
        } else if self.recent_s < self.baseline_s {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        self.baseline_s += gain * (self.recent_s - self.baseline_s);
    }

    fn adapt_limit(&mut self, in_flight: u32) {
        if self.recent_s > LATENCY_TOLERANCE * self.baseline_s {
            self.decrease();
        } else if in_flight >= self.limit() {
            // Only a limit that is in use may grow: otherwise it rises while nothing tests it, and
            // the next burst meets no limit at all.
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
    }

    fn decrease(&mut self) {
        if self.answers < self.decrease_allowed {
            return;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.decrease_allowed = self.answers + u64::from(self.limit());
    }
}
