//! Prediction of whether a replica still lacks a log position that it recently lacked.
//!
//! Load pattern: a replica lags by two seconds, or receives nothing any more, while hundreds of
//! reads arrive, with several staleness bounds and from sessions that have just written. If each of
//! them is sent to the replica, it refuses most of them after a round trip. If it is not used at
//! all after one refusal, it is idle although it could serve some reads, and those go to the
//! primary as well, until the primary is full.
//!
//! A refusal therefore applies to the requested position, and for as long as the replica needs to
//! reach it: if the primary reached a read's floor (the minimum log position that the read has to
//! see) longer ago than the replica's lag, the replica has most likely applied it by now.
//! An observation is valid only for a short time; then one read at a time tries the replica again.

use rudder_core::LogStamp;
use std::time::Duration;

/// Validity of an observation: the replica may have caught up since.
const OBSERVATION_VALIDITY: Duration = Duration::from_millis(250);

/// Time for which a replica certainly still lacks a position: less than any relevant lag, and
/// longer than a burst of reads of one session.
const LACK_CERTAIN_TIME: Duration = Duration::from_millis(50);

/// Last observed progress of a replica. Times are counted from an arbitrary common start.
///
/// ```
/// use rudder_core::LogStamp;
/// use rudder_decisions::ReplicaProgress;
/// use std::time::Duration;
/// let stamp = |position| LogStamp::new(1, position);
/// let ms = Duration::from_millis;
/// let mut progress = ReplicaProgress::default();
/// progress.record(stamp(100), ms(2000), ms(10_000));
/// assert!(!progress.lacks(stamp(100), ms(0), ms(10_100)));
/// // It lags by two seconds; the primary reached 180 half a second ago, and 110 three seconds ago.
/// assert!(progress.lacks(stamp(180), ms(500), ms(10_100)));
/// assert!(!progress.lacks(stamp(110), ms(3000), ms(10_100)));
/// // The last observation is no longer valid.
/// assert!(!progress.lacks(stamp(180), ms(500), ms(10_300)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaProgress {
    observation: Option<ProgressObservation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProgressObservation {
    applied: LogStamp,
    /// How long before the observation the primary had already been ahead of `applied`.
    lag: Duration,
    at: Duration,
}

impl ReplicaProgress {
    /// Records that the replica had applied its log up to `applied`, and that the primary had been
    /// ahead of that position for `lag` by then.
    ///
    /// See the example of [`ReplicaProgress`].
    pub fn record(&mut self, applied: LogStamp, lag: Duration, now: Duration) {
        self.observation = Some(ProgressObservation { applied, lag, at: now });
    }

    /// Records that a read that needs `floor` is being sent to the replica. If the last observation
    /// shows that the replica lacked `floor`, its validity restarts, so that other reads do not try
    /// the replica at the same time.
    ///
    /// ```
    /// use rudder_core::LogStamp;
    /// use rudder_decisions::ReplicaProgress;
    /// use std::time::Duration;
    /// let stamp = |position| LogStamp::new(1, position);
    /// let ms = Duration::from_millis;
    /// let mut progress = ReplicaProgress::default();
    /// progress.record(stamp(100), ms(2000), ms(10_000));
    /// progress.record_attempt(stamp(180), ms(10_300));
    /// assert!(progress.lacks(stamp(180), ms(500), ms(10_310)), "another read tries it already");
    /// ```
    pub fn record_attempt(&mut self, floor: LogStamp, now: Duration) {
        if let Some(observation) = &mut self.observation
            && observation.applied < floor
        {
            observation.at = now;
        }
    }

    /// Whether the replica most likely still lacks `floor`, which the primary reached `age` ago.
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
