//! Gradual reduction of the load on a member whose statements fail.
//!
//! Load pattern: one endpoint of a group fails its statements but still responds. A member that
//! fails immediately has the shortest response times, so without this module routing by least
//! expected time sends it even more than its share; and removing a member completely because of a
//! few random failures moves its load to the others. A member that is only slow needs no tracker,
//! as least expected time avoids it (`docs/design/read-routing.md`).
//!
//! Thresholds: a member is bad in a step in which a fifth of its statements failed
//! ([`FAILURE_DIVISOR_BAD`]); the rate of a healthy one is near zero, and a twentieth is noise that
//! retries absorb. A member with few statements is bad after [`FAILURE_STREAK_BAD`] consecutive
//! failures. Each bad step halves its weight, down to [`WEIGHT_FLOOR`], which leaves enough
//! requests to detect its recovery; each good step restores a tenth, so ten steps restore the full
//! weight. The best member always keeps its full weight: if all members are bad, distributing the
//! load is the only option left.

use crate::routing::MemberWeight;
use rudder_core::MemberName;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// A member is bad if at least one in this many outcomes of a step is a failure.
const FAILURE_DIVISOR_BAD: u32 = 5;

/// Number of consecutive failures that make a member bad, even if it has few statements.
const FAILURE_STREAK_BAD: u32 = 5;

/// Interval at which weights change, long enough for each instance to see some outcomes of each
/// member.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum weight, in thousandths.
const WEIGHT_FLOOR: u16 = 50;

/// Weight that one good step restores, in thousandths.
const WEIGHT_INCREMENT: u16 = 100;

/// Minimum number of outcomes in a step for its failure rate to be significant.
const OUTCOMES_MIN: u32 = 5;

#[derive(Clone, Debug)]
struct MemberRecord {
    name: MemberName,
    outcomes: u32,
    failures: u32,
    failure_streak: u32,
    weight: u16,
}

/// Tracks the outcomes of the members of one group.
///
/// ```
/// use rudder_decisions::{MemberWeight, OutlierTracker};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let (good, bad) = ("good".parse()?, "bad".parse()?);
/// let mut tracker = OutlierTracker::new(now);
/// for _ in 0..20 {
///     tracker.observe(&good, true);
///     tracker.observe(&bad, false);
/// }
/// tracker.step(now + Duration::from_secs(1));
/// assert_eq!(tracker.weight(&good), MemberWeight::FULL);
/// assert_eq!(tracker.weight(&bad), MemberWeight::new(500));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug)]
pub struct OutlierTracker {
    records: Vec<MemberRecord>,
    last_step: Instant,
}

impl OutlierTracker {
    /// Creates a tracker without members; every member has its full weight.
    ///
    /// ```
    /// let _tracker = rudder_decisions::OutlierTracker::new(std::time::Instant::now());
    /// ```
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { records: Vec::new(), last_step: now }
    }

    /// Records one outcome: whether the member responded. An endpoint's own error about a statement
    /// is a response; a broken connection, a refusal or a timeout is not.
    ///
    /// See the example of [`OutlierTracker`].
    pub fn observe(&mut self, name: &MemberName, responded: bool) {
        let record = self.record_of(name);
        record.outcomes += 1;
        record.failures += u32::from(!responded);
        record.failure_streak = if responded { 0 } else { record.failure_streak.saturating_add(1) };
    }

    /// Updates the weights, at most once a second; callers call it before they read weights.
    ///
    /// See the example of [`OutlierTracker`].
    pub fn step(&mut self, now: Instant) {
        if now.duration_since(self.last_step) < STEP_INTERVAL {
            return;
        }
        self.last_step = now;
        for record in &mut self.records {
            record.weight = match assess(record) {
                Some(true) => (record.weight / 2).max(WEIGHT_FLOOR),
                Some(false) => {
                    (record.weight + WEIGHT_INCREMENT).min(MemberWeight::FULL.permille())
                }
                None => record.weight,
            };
            record.outcomes = 0;
            record.failures = 0;
        }
        self.restore_best();
    }

    /// Returns the weight of a member.
    ///
    /// ```
    /// use rudder_decisions::{MemberWeight, OutlierTracker};
    /// let tracker = OutlierTracker::new(std::time::Instant::now());
    /// assert_eq!(tracker.weight(&"a".parse()?), MemberWeight::FULL);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn weight(&self, name: &MemberName) -> MemberWeight {
        let index = self.records.binary_search_by(|record| record.name.cmp(name));
        index.map_or(MemberWeight::FULL, |index| MemberWeight::new(self.records[index].weight))
    }

    /// Restores the full weight of the best member. Otherwise a fault that affects every member,
    /// such as a bad statement or a broken link of this instance, would reduce all of them to the
    /// floor.
    fn restore_best(&mut self) {
        let rank = |record: &&mut MemberRecord| (record.weight, Reverse(record.failure_streak));
        let best = self.records.iter_mut().max_by_key(rank);
        if let Some(record) = best {
            record.weight = MemberWeight::FULL.permille();
        }
    }

    fn record_of(&mut self, name: &MemberName) -> &mut MemberRecord {
        let index = match self.records.binary_search_by(|record| record.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                self.records.insert(index, MemberRecord::new(name));
                index
            }
        };
        &mut self.records[index]
    }
}

impl MemberRecord {
    fn new(name: &MemberName) -> Self {
        Self {
            name: name.clone(),
            outcomes: 0,
            failures: 0,
            failure_streak: 0,
            weight: MemberWeight::FULL.permille(),
        }
    }
}

/// Returns whether a member is bad, or `None` if it had too few outcomes since the last step.
fn assess(record: &MemberRecord) -> Option<bool> {
    let enough = record.outcomes >= OUTCOMES_MIN;
    let share_bad = enough && record.failures * FAILURE_DIVISOR_BAD >= record.outcomes;
    if share_bad || record.failure_streak >= FAILURE_STREAK_BAD {
        return Some(true);
    }
    // A member with a reduced weight gets few requests. Few outcomes are enough to raise its
    // weight, but none of them may have failed, or the weight would oscillate between the floor and
    // the next step.
    let healthy = record.outcomes > 0 && (enough || record.failures == 0);
    healthy.then_some(false)
}
