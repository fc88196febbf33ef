//! Takes work away from a member that fails its statements, by degrees.
//!
//! Load pattern: one endpoint of a group goes bad while it still answers. Without this module a
//! member that fails at once looks like the fastest of all, so routing by least expected time sends
//! it even more than its share; and one that is taken out whole, on chance, throws its load at the
//! others. A member that is merely slow needs no tracker: least expected time avoids it
//! (`docs/design/read-routing.md`).
//!
//! Thresholds: a member is bad in a step in which a fifth of its statements failed
//! ([`FAILURE_DIVISOR_BAD`]); a healthy one is near zero, and a twentieth is noise that retries absorb.
//! A member with few statements is bad after [`FAILURE_STREAK_BAD`] failures in a row. Each bad step halves its weight, down to
//! [`WEIGHT_FLOOR`], which leaves enough requests to notice that it is well again; each good step
//! gives a tenth back, so that ten steps restore it. The best member always keeps its whole weight:
//! when all are bad, spreading is all that is left.

use crate::routing::MemberWeight;
use rudder_core::MemberName;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// One failure in this many outcomes of a step makes a member bad.
const FAILURE_DIVISOR_BAD: u32 = 5;

/// This many failures in a row make a member bad, however few its statements are.
const FAILURE_STREAK_BAD: u32 = 5;

/// How often weights move. Long enough for each instance to see some outcomes of each member.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// The least weight, in thousandths.
const WEIGHT_FLOOR: u16 = 50;

/// What one good step gives back, in thousandths.
const WEIGHT_INCREMENT: u16 = 100;

/// Outcomes needed in a step before its share of failures says something.
const OUTCOMES_MIN: u32 = 5;

#[derive(Clone, Debug)]
struct MemberRecord {
    name: MemberName,
    outcomes: u32,
    failures: u32,
    failure_streak: u32,
    weight: u16,
}

/// Watches the outcomes of one group's members.
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
    /// A tracker that knows no members: all have their whole weight.
    ///
    /// ```
    /// let _tracker = rudder_decisions::OutlierTracker::new(std::time::Instant::now());
    /// ```
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { records: Vec::new(), last_step: now }
    }

    /// Takes in one outcome: whether the member answered. An endpoint's own error about a statement
    /// is an answer; a broken connection, a refusal or silence is not.
    ///
    /// See the example of [`OutlierTracker`].
    pub fn observe(&mut self, name: &MemberName, responded: bool) {
        let record = self.record_of(name);
        record.outcomes += 1;
        record.failures += u32::from(!responded);
        record.failure_streak = if responded { 0 } else { record.failure_streak.saturating_add(1) };
    }

    /// Moves the weights, at most once a second; call it before reading weights.
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

    /// The weight of a member.
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

    /// Gives the best member its whole weight. Without it a fault that hits every member, such as
    /// a bad statement or a cut link of this instance, would turn all of them down to the floor.
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

/// Whether a member is bad, or `None` if too little was seen of it since the last step.
fn assess(record: &MemberRecord) -> Option<bool> {
    let enough = record.outcomes >= OUTCOMES_MIN;
    let share_bad = enough && record.failures * FAILURE_DIVISOR_BAD >= record.outcomes;
    if share_bad || record.failure_streak >= FAILURE_STREAK_BAD {
        return Some(true);
    }
    // A turned-down member gets few requests. They need not be many to let it rise, but none of
    // them may have failed, or it would swing between its floor and the next step up.
    let healthy = record.outcomes > 0 && (enough || record.failures == 0);
    healthy.then_some(false)
}
