//! What this instance learns about one member: its service time, and how many statements must be
//! in flight to keep its slots busy.
//!
//! Load pattern: old and new hardware side by side, at different distances. Without a learned time
//! equal shares go to unequal members and the slow one's queue grows without end; without the
//! window a member behind a long link stands idle while answers and new statements travel.
//!
//! Thresholds: service times that vary as much as an exponential distribution move an average of
//! [`SERVICE_GAIN`]'s length by an eighth, which is near the share by which the router takes two
//! members for equal. A limit that falls when answers grow slow, and rises again, was tried in this
//! module's place and removed: see `docs/design/slots.md`.

use std::time::{Duration, Instant};

/// Weight of one answer: about the last thirty count. With the last ten, chance moved the choice
/// between members often enough to raise the mean wait by up to a tenth.
const SERVICE_GAIN: f64 = 0.03;

/// Weight of the first answer, which is worth more than a guess.
const FIRST_GAIN: f64 = 0.5;

/// A member that gets work is heard more often than this. What is known of it is then kept, as the
/// estimate of a rarely used member would else be half guess.
const DECAY_AFTER: Duration = Duration::from_secs(1);

/// Without answers, half of the distance to the first guess is forgotten in this time, so that a
/// member once slow is tried again.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Statements that stand by inside the member for each of its slots. Without them a slot whose
/// statement was short stands idle until the next one has travelled.
const QUEUED_PER_SLOT: f64 = 0.5;

/// The window is at most this multiple of the slots, however far the member and however short its
/// statements: more in flight would only move the queue into the member, where nothing can be
/// reordered, shed or refused any more.
const WINDOW_FACTOR_MAX: f64 = 4.0;

/// The least service time reckoned with.
const SERVICE_MIN_S: f64 = 1e-6;

/// What this instance has learned about one member.
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
    /// A meter of a member with `slots` slots, whose service time is first taken to be `initial`.
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

    /// Takes in one answer: the time from sending the statement to its end, without the link's
    /// round trip. Waiting inside the member is part of it, so that a member which others load
    /// looks as slow as it is.
    ///
    /// See the example of [`MemberMeter`].
    pub fn observe(&mut self, latency: Duration, now: Instant) {
        // What was forgotten stays forgotten, and its weight goes to this answer. Otherwise the
        // first good answer of a member that has recovered would bring its old, slow estimate back,
        // or the first slow one of a member that has not would hardly count; either way the member
        // would be used wrongly for as long again.
        let retained_fraction = self.retained_fraction(now);
        self.service_s = self.service(now).as_secs_f64();
        let gain = SERVICE_GAIN.max(FIRST_GAIN * (1.0 - retained_fraction));
        self.service_s += gain * (latency.as_secs_f64() - self.service_s);
        self.last_response = Some(now);
    }

    /// The expected time of a statement at the member, from sending to its end without the link.
    /// Drifts back to the first guess while no answers come.
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

    /// How many statements must be in flight to keep all slots busy: while an answer and the next
    /// statement travel over a link with this round trip, a slot stands idle.
    ///
    /// Use it as the lane's limit, but never above this instance's share of the connections.
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

    /// Takes over a changed number of slots.
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

    /// The part of what was learned that still counts.
    fn retained_fraction(&self, now: Instant) -> f64 {
        let Some(last) = self.last_response else {
            return 0.0;
        };
        let idle = now.duration_since(last).saturating_sub(DECAY_AFTER);
        0.5_f64.powf(idle.as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64())
    }
}
