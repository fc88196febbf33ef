//! Whether a replica is worth asking for a position that it was last seen without.
//!
//! Load pattern: a replica trails by two seconds, or receives nothing any more, while reads of
//! several bounds and of sessions that have just written come in by the hundred. Asked for each of
//! them, it turns most away after a round trip. Left alone after one refusal, it also stands idle
//! for the reads that it could serve, and the primary is asked for those as well, until it is full.
//!
//! So a refusal counts for the position that was asked for, and for how long it takes the replica
//! to get there: a floor that the primary reached longer ago than the replica trails has arrived by
//! now. What was seen counts for a moment only; then one read at a time tries the replica anew.

use rudder_core::LogStamp;
use std::time::Duration;

/// How long a sighting counts: the replica may have caught up since.
const OBSERVATION_VALIDITY: Duration = Duration::from_millis(250);

/// How long a replica surely lacks what it lacked: less than any lag that matters, and more than a
/// burst of reads of one session takes.
const LACK_CERTAIN_TIME: Duration = Duration::from_millis(50);

/// How far a replica was when it was last heard. Moments are counted from any one start.
///
/// ```
/// use rudder_core::LogStamp;
/// use rudder_decisions::ReplicaProgress;
/// use std::time::Duration;
/// let stamp = |position| LogStamp::new(1, position);
/// let ms = Duration::from_millis;
/// let mut progress = ReplicaProgress::default();
/// progress.note(stamp(100), ms(2000), ms(10_000));
/// assert!(!progress.lacks(stamp(100), ms(0), ms(10_100)));
/// // It trails by two seconds; the primary had this one half a second ago, and that one three.
/// assert!(progress.lacks(stamp(180), ms(500), ms(10_100)));
/// assert!(!progress.lacks(stamp(110), ms(3000), ms(10_100)));
/// // Nobody has heard it for a while.
/// assert!(!progress.lacks(stamp(180), ms(500), ms(10_300)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaProgress {
    observation: Option<ProgressObservation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProgressObservation {
    applied: LogStamp,
    /// How long before the sighting the primary had been farther.
    lag: Duration,
    at: Duration,
}

impl ReplicaProgress {
    /// Takes in that the replica had applied its log up to `applied`, and that the primary had been
    /// farther for `lag` by then.
    ///
    /// See the example of [`ReplicaProgress`].
    pub fn note(&mut self, applied: LogStamp, lag: Duration, now: Duration) {
        self.observation = Some(ProgressObservation { applied, lag, at: now });
    }

    /// Takes in that a read that needs `floor` is being sent to it: until it answers, what was
    /// known of it holds for the other reads.
    ///
    /// ```
    /// use rudder_core::LogStamp;
    /// use rudder_decisions::ReplicaProgress;
    /// use std::time::Duration;
    /// let stamp = |position| LogStamp::new(1, position);
    /// let ms = Duration::from_millis;
    /// let mut progress = ReplicaProgress::default();
    /// progress.note(stamp(100), ms(2000), ms(10_000));
    /// progress.note_tried(stamp(180), ms(10_300));
    /// assert!(progress.lacks(stamp(180), ms(500), ms(10_310)), "another read tries it already");
    /// ```
    pub fn note_tried(&mut self, floor: LogStamp, now: Duration) {
        if let Some(observation) = &mut self.observation
            && observation.applied < floor
        {
            observation.at = now;
        }
    }

    /// Whether it most likely still lacks `floor`, which the primary reached `age` ago.
    ///
    /// See the example of [`ReplicaProgress`].
    #[must_use]
    pub fn lacks(&self, floor: LogStamp, age: Duration, now: Duration) -> bool {
        let Some(observation) = self.observation.filter(|observation| observation.applied < floor)
        else {
            return false;
        };
        let since = now.saturating_sub(observation.at);
        since < LACK_CERTAIN_TIME || (since < OBSERVATION_VALIDITY && age < observation.lag)
    }
}
