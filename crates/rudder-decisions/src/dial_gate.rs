//! When a connection to a member may be opened, after it could not be reached or had too many.
//!
//! Load pattern: all instances lose power and return together. The members still count their old
//! connections for seconds and refuse all but a few new ones, while hundreds of callers wait at
//! every instance. If each refusal lets the next caller dial, an instance sends hundreds of dials a
//! second that are known to be refused, and the place that does come free goes to whoever happens to
//! knock; if nobody dials until callers come anew, it stays unused.
//!
//! So after a refusal there is a pause, then one dial at a time. The pause grows while refusals go
//! on, so that many instances together cost the member little, and stays short enough that a place
//! is found soon after it came free. A member that cannot be reached is left alone for about the
//! time of a failed attempt, so that callers do not all wait for it.

use std::time::{Duration, Instant};

/// The first pause after a refusal.
const REFUSED_PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest pause after a refusal: a place that came free is found half of it later.
const REFUSED_PAUSE_MAX: Duration = Duration::from_millis(200);

/// How long a member that could not be reached is left alone.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(150);

/// Why a dial did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialFailure {
    /// The member has as many connections as it takes.
    ConnectionLimit,
    /// It could not be reached.
    Unreachable,
}

/// What the dials to a member came to lately.
///
/// ```
/// use rudder_decisions::{DialFailure, DialGate};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut gate = DialGate::default();
/// assert!(gate.try_begin(now));
/// gate.note_failure(DialFailure::ConnectionLimit, now);
/// assert!(!gate.try_begin(now + Duration::from_millis(40)));
/// let later = now + Duration::from_millis(60);
/// assert!(gate.try_begin(later));
/// assert!(!gate.try_begin(later), "one at a time");
/// gate.note_success();
/// assert!(gate.try_begin(later) && gate.try_begin(later));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DialGate {
    refused: Option<RefusedState>,
    unreachable_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct RefusedState {
    retry_at: Instant,
    pause: Duration,
    /// Whether the one dial that tries the member again is under way.
    probing: bool,
}

impl DialGate {
    /// Whether a dial may begin now; one that may counts as begun until its end is noted.
    ///
    /// See the example of [`DialGate`].
    pub fn try_begin(&mut self, now: Instant) -> bool {
        if !self.may_begin(now) {
            return false;
        }
        if let Some(refused) = &mut self.refused {
            refused.probing = true;
        }
        true
    }

    /// Whether a dial might begin now.
    ///
    /// ```
    /// let gate = rudder_decisions::DialGate::default();
    /// assert!(gate.may_begin(std::time::Instant::now()));
    /// ```
    #[must_use]
    pub fn may_begin(&self, now: Instant) -> bool {
        let open = self.refused.is_none_or(|refused| !refused.probing && now >= refused.retry_at);
        open && !self.is_unreachable(now)
    }

    /// Whether the member could not be reached a moment ago.
    ///
    /// ```
    /// use rudder_decisions::{DialFailure, DialGate};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut gate = DialGate::default();
    /// gate.note_failure(DialFailure::Unreachable, now);
    /// assert!(gate.is_unreachable(now + Duration::from_millis(100)));
    /// assert!(!gate.is_unreachable(now + Duration::from_millis(200)));
    /// ```
    #[must_use]
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|retry_at| now < retry_at)
    }

    /// Takes in that a dial succeeded: the member can be reached and has room.
    ///
    /// See the example of [`DialGate`].
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// Takes in that a dial failed; returns how long none may begin.
    ///
    /// See the example of [`DialGate`].
    pub fn note_failure(&mut self, failure: DialFailure, now: Instant) -> Duration {
        match failure {
            DialFailure::ConnectionLimit => self.record_refusal(now),
            DialFailure::Unreachable => {
                self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
                self.note_given_up();
                UNREACHABLE_PAUSE
            }
        }
    }

    /// Takes in that a dial was given up before its end.
    ///
    /// ```
    /// use rudder_decisions::{DialFailure, DialGate};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut gate = DialGate::default();
    /// gate.note_failure(DialFailure::ConnectionLimit, now);
    /// let later = now + Duration::from_millis(60);
    /// assert!(gate.try_begin(later));
    /// gate.note_given_up();
    /// assert!(gate.try_begin(later));
    /// ```
    pub fn note_given_up(&mut self) {
        if let Some(refused) = &mut self.refused {
            refused.probing = false;
        }
    }

    /// A refusal of a dial that began before the last one came says nothing new.
    fn record_refusal(&mut self, now: Instant) -> Duration {
        let pause = match self.refused {
            None => REFUSED_PAUSE_MIN,
            Some(refused) if refused.probing => (refused.pause * 2).min(REFUSED_PAUSE_MAX),
            Some(refused) => refused.pause,
        };
        self.refused = Some(RefusedState { retry_at: now + pause, pause, probing: false });
        pause
    }
}
