//! Limit on new connections to a member that was unreachable or at its connection limit.
//!
//! Load pattern: all instances lose power and restart together. The members still count the old
//! connections for seconds and refuse all but a few new ones, while hundreds of callers wait at
//! every instance. If each refusal lets the next caller dial, an instance makes hundreds of dials
//! per second that are known to be refused, and a connection that becomes free goes to an arbitrary
//! caller; if no instance dials until new callers arrive, it stays unused.
//!
//! After a refusal there is therefore a pause, then one dial at a time. The pause grows with
//! repeated refusals, so that many instances together cost the member little, and stays short
//! enough that a free connection is found soon. A member that cannot be reached is not dialed for
//! about the duration of a failed attempt, so that not all callers wait for it.
//!
//! Where instances share few connections, the few that such a member accepts go to the callers of
//! the highest priority: other callers dial later after a refusal, and a process that has just
//! started treats each member as if it had refused a connection.

use std::time::{Duration, Instant};

/// Pause after the first refusal.
const REFUSED_PAUSE_MIN: Duration = Duration::from_millis(50);

/// Maximum pause after a refusal: a free connection is found after half of it on average.
const REFUSED_PAUSE_MAX: Duration = Duration::from_millis(200);

/// Additional pause of callers that do not have the highest priority. About the round trip and
/// processing of the dials that go first, and less than half of the time that reads may wait.
const LOW_PRIORITY_PAUSE: Duration = Duration::from_millis(100);

/// Time after the pause for which a member counts as refusing connections if nobody dials it.
/// Longer than several pauses; a member that is not dialed at all must not count for ever.
const REFUSAL_RELEVANCE: Duration = Duration::from_millis(1000);

/// Pause after a member could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(150);

/// Reason why a dial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialFailure {
    /// The member is at its connection limit.
    ConnectionLimit,
    /// The member could not be reached.
    Unreachable,
}

/// Recent results of the dials to a member.
///
/// ```
/// use rudder_decisions::{DialFailure, DialGate};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut gate = DialGate::default();
/// assert!(gate.try_begin(now));
/// gate.record_failure(DialFailure::ConnectionLimit, now);
/// assert!(!gate.try_begin(now + Duration::from_millis(40)));
/// let later = now + Duration::from_millis(60);
/// assert!(gate.try_begin(later));
/// assert!(!gate.try_begin(later), "one at a time");
/// gate.record_success();
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
    /// Whether the single dial that probes the member is in progress.
    probing: bool,
    /// Whether the member has not refused a dial yet.
    expected: bool,
}

impl DialGate {
    /// Whether a dial may begin now; if so, it counts as begun until its result is recorded.
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

    /// Whether a dial could begin now.
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

    /// Whether a caller could begin a dial now. After a refusal, callers that are not of the highest
    /// priority (`is_urgent`) dial later than the others.
    ///
    /// ```
    /// use rudder_decisions::DialGate;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut gate = DialGate::default();
    /// assert!(gate.may_begin_for(false, now));
    /// gate.expect_refusal(now);
    /// assert!(gate.may_begin_for(true, now) && !gate.may_begin_for(false, now));
    /// assert!(gate.may_begin_for(false, now + Duration::from_millis(100)));
    /// ```
    #[must_use]
    pub fn may_begin_for(&self, is_urgent: bool, now: Instant) -> bool {
        let pause = if is_urgent { Duration::ZERO } else { LOW_PRIORITY_PAUSE };
        self.may_begin(now) && self.refused.is_none_or(|refused| now >= refused.retry_at + pause)
    }

    /// Whether the member refused the last dial, and did so recently.
    ///
    /// ```
    /// use rudder_decisions::{DialFailure, DialGate};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut gate = DialGate::default();
    /// gate.expect_refusal(now);
    /// assert!(!gate.is_refusing(now));
    /// gate.record_failure(DialFailure::ConnectionLimit, now);
    /// assert!(gate.is_refusing(now));
    /// assert!(!gate.is_refusing(now + Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn is_refusing(&self, now: Instant) -> bool {
        let refused = self.refused.filter(|refused| !refused.expected);
        refused.is_some_and(|refused| now < refused.retry_at + REFUSAL_RELEVANCE)
    }

    /// Treats the member as if it had refused a connection, because this process has just started
    /// and the member may be full. The first dial may begin at once.
    ///
    /// See the example of [`DialGate::may_begin_for`].
    pub fn expect_refusal(&mut self, now: Instant) {
        let state = RefusedState {
            retry_at: now,
            pause: REFUSED_PAUSE_MIN,
            probing: false,
            expected: true,
        };
        self.refused.get_or_insert(state);
    }

    /// Whether the member was unreachable at the last dial, within the pause after it.
    ///
    /// ```
    /// use rudder_decisions::{DialFailure, DialGate};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut gate = DialGate::default();
    /// gate.record_failure(DialFailure::Unreachable, now);
    /// assert!(gate.is_unreachable(now + Duration::from_millis(100)));
    /// assert!(!gate.is_unreachable(now + Duration::from_millis(200)));
    /// ```
    #[must_use]
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|retry_at| now < retry_at)
    }

    /// Records a successful dial: the member is reachable and accepts connections.
    ///
    /// See the example of [`DialGate`].
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed dial and returns how long no dial may begin.
    ///
    /// See the example of [`DialGate`].
    pub fn record_failure(&mut self, failure: DialFailure, now: Instant) -> Duration {
        match failure {
            DialFailure::ConnectionLimit => self.record_refusal(now),
            DialFailure::Unreachable => {
                self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
                self.record_cancellation();
                UNREACHABLE_PAUSE
            }
        }
    }

    /// Records that a dial was cancelled.
    ///
    /// ```
    /// use rudder_decisions::{DialFailure, DialGate};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut gate = DialGate::default();
    /// gate.record_failure(DialFailure::ConnectionLimit, now);
    /// let later = now + Duration::from_millis(60);
    /// assert!(gate.try_begin(later));
    /// gate.record_cancellation();
    /// assert!(gate.try_begin(later));
    /// ```
    pub fn record_cancellation(&mut self) {
        if let Some(refused) = &mut self.refused {
            refused.probing = false;
        }
    }

    /// Records a refusal. A refusal of a dial that began before the previous refusal does not
    /// lengthen the pause.
    fn record_refusal(&mut self, now: Instant) -> Duration {
        let pause = match self.refused {
            None => REFUSED_PAUSE_MIN,
            Some(refused) if refused.expected => REFUSED_PAUSE_MIN,
            Some(refused) if refused.probing => (refused.pause * 2).min(REFUSED_PAUSE_MAX),
            Some(refused) => refused.pause,
        };
        self.refused =
            Some(RefusedState { retry_at: now + pause, pause, probing: false, expected: false });
        pause
    }
}
