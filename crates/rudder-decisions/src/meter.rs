//! Measured service time of one member, and the window: the number of statements in flight that
//! keeps its slots busy.
//!
//! Load pattern: old and new hardware side by side, at different distances. Without an estimated
//! service time, equal shares go to unequal members and the queue of the slow one grows without
//! bound. Without the window, a member behind a long link is idle while responses and new
//! statements are in transit.
//!
//! Thresholds: if service times vary as much as an exponential distribution, an average with
//! [`SERVICE_GAIN`] deviates by an eighth, which is close to the fraction within which the router
//! takes two members for equal. The window is not an adaptive limit, one that falls when responses
//! get slow and rises again; `docs/design/slots.md` has the reasons.

use std::time::{Duration, Instant};

/// Weight of a new sample: an average over about the last thirty responses. With the last ten,
/// random variation changes the choice between members often enough to raise the mean wait by up to
/// a tenth.
const SERVICE_GAIN: f64 = 0.03;

/// Weight of the first response, which is more reliable than the initial value.
const FIRST_GAIN: f64 = 0.5;

/// Time without responses after which the estimate starts to decay. A member that gets work
/// responds more often. Without this delay the estimate of a rarely used member would be half
/// initial value.
const DECAY_AFTER: Duration = Duration::from_secs(1);

/// Half-life of the decay toward the initial value while no responses arrive, so that a member that
/// was once slow is tried again.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Statements queued inside the member for each of its slots. Without them a slot whose statement
/// was short is idle until the next one has arrived.
const QUEUED_PER_SLOT: f64 = 0.5;

/// Maximum of the window as a multiple of the slots, for distant members and short statements: more
/// statements in flight would only move the queue into the member, where nothing can be reordered,
/// shed or refused.
const WINDOW_FACTOR_MAX: f64 = 4.0;

/// Minimum service time in seconds, which keeps the division in the window finite.
const SERVICE_MIN_S: f64 = 1e-6;

/// Measurements of one member.
///
/// ```
/// use rudder_decisions::MemberMeter;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut meter = MemberMeter::new(5, Duration::from_millis(10));
/// meter.observe(Duration::from_millis(30), now);
/// assert_eq!(meter.service(now), Duration::from_millis(20));
/// ```
#[derive(Clone, Debug)]
pub struct MemberMeter {
    slots: u32,
    initial_s: f64,
    service_s: f64,
    last_response: Option<Instant>,
}

impl MemberMeter {
    /// Creates a meter of a member with `slots` slots and `initial` as its service time before the
    /// first response.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// assert_eq!(meter.service(Instant::now()), Duration::from_millis(10));
    /// ```
    #[must_use]
    pub fn new(slots: u32, initial: Duration) -> Self {
        let initial_s = initial.as_secs_f64().max(SERVICE_MIN_S);
        Self { slots: slots.max(1), initial_s, service_s: initial_s, last_response: None }
    }

    /// Records one response: the time from sending the statement to its end, without the round trip
    /// of the link. The time includes waiting inside the member, so that a member that is loaded by
    /// other instances appears as slow as it is.
    ///
    /// See the example of [`MemberMeter`].
    pub fn observe(&mut self, latency: Duration, now: Instant) {
        // The decay is applied before the sample, and the sample gets the weight that the old
        // estimate has lost. Otherwise the first fast response of a recovered member would restore
        // its old, slow estimate, or the first slow response of a member that has not recovered
        // would hardly change it; either way the estimate would be wrong for another decay time.
        let retained_fraction = self.retained_fraction(now);
        self.service_s = self.service(now).as_secs_f64();
        let gain = SERVICE_GAIN.max(FIRST_GAIN * (1.0 - retained_fraction));
        self.service_s += gain * (latency.as_secs_f64() - self.service_s);
        self.last_response = Some(now);
    }

    /// Returns the expected time of a statement at the member, from sending to its end without the
    /// link. The value decays to the initial one while no responses arrive.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// meter.observe(Duration::from_millis(90), now);
    /// assert_eq!(meter.service(now), Duration::from_millis(50));
    /// assert_eq!(meter.service(now + Duration::from_secs(1)), Duration::from_millis(50));
    /// assert_eq!(meter.service(now + Duration::from_secs(3)), Duration::from_millis(30));
    /// ```
    #[must_use]
    pub fn service(&self, now: Instant) -> Duration {
        let retained_fraction = self.retained_fraction(now);
        let service_s = self.initial_s + retained_fraction * (self.service_s - self.initial_s);
        Duration::from_secs_f64(service_s)
    }

    /// Returns the number of statements that must be in flight to keep all slots busy: a slot is
    /// idle while a response and the next statement travel over a link with this round trip.
    ///
    /// Callers use it as the limit of the lane, but never above this instance's share of the
    /// connections.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// assert_eq!(meter.window(Duration::from_millis(8), Instant::now()), 12);
    /// ```
    #[must_use]
    pub fn window(&self, link: Duration, now: Instant) -> u32 {
        let service_s = self.service(now).as_secs_f64().max(SERVICE_MIN_S);
        let in_transit =
            (link.as_secs_f64() / service_s).min(WINDOW_FACTOR_MAX - 1.0 - QUEUED_PER_SLOT);
        (f64::from(self.slots) * (1.0 + QUEUED_PER_SLOT + in_transit)).ceil() as u32
    }

    /// Sets a changed number of slots.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let mut meter = rudder_decisions::MemberMeter::new(5, Duration::from_millis(10));
    /// meter.set_slots(2);
    /// assert_eq!(meter.window(Duration::ZERO, Instant::now()), 3);
    /// ```
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the fraction of the estimate that has not decayed.
    fn retained_fraction(&self, now: Instant) -> f64 {
        let Some(last) = self.last_response else {
            return 0.0;
        };
        let idle = now.duration_since(last).saturating_sub(DECAY_AFTER);
        0.5_f64.powf(idle.as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64())
    }
}
