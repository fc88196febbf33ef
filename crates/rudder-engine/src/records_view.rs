//! Summary of when the records of all services were last known to be in place.
//!
//! Load pattern: each instance of a fleet needs proof several times a second that the records of
//! all primaries are unchanged. With a time for each of a thousand records the proof exceeds a
//! datagram, and composing it for each of some hundred receivers takes longer than their work.
//! Nearly all records are confirmed by the same read of the store, so one time stands for them.

use crate::peers::RecordsDigest;
use rudder_core::FreshSample;
use std::time::Duration;

/// Maximum number of records whose times are given one by one. They are those that changed since
/// the last read of the store.
const EXCEPTIONS_MAX: usize = 64;

/// Times at which a record was known to be in place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordTimes {
    /// Time at which the store had the record.
    pub(crate) confirmed_at: Duration,
    /// Time at which the store, or a majority of instances, knew no later version.
    pub(crate) valid_from: Duration,
}

impl RecordTimes {
    fn earlier(self, other: Self) -> Self {
        Self {
            confirmed_at: self.confirmed_at.min(other.confirmed_at),
            valid_from: self.valid_from.min(other.valid_from),
        }
    }
}

/// Known record of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordState {
    pub(crate) digest: RecordsDigest,
    pub(crate) times: RecordTimes,
    pub(crate) sample: Option<FreshSample>,
}

/// Known records of all services, in the order of the services.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RecordsView {
    /// Versions of the records.
    pub(crate) digest: RecordsDigest,
    pub(crate) count: usize,
    /// Times of all records that are no exceptions.
    pub(crate) common: RecordTimes,
    /// Positions and times of other records, sorted by position.
    pub(crate) exceptions: Vec<(usize, RecordTimes)>,
    /// Positions of the records and samples of their primaries, sorted by position.
    pub(crate) samples: Vec<(usize, FreshSample)>,
}

impl RecordsView {
    /// Summarizes records. If too many of them have times of their own, the earliest times stand
    /// for all.
    pub(crate) fn of(records: &[RecordState]) -> Self {
        let digest =
            records.iter().fold(RecordsDigest::default(), |digest, known| digest.and(known.digest));
        let common = majority_times(records);
        let differs = |(index, known): (usize, &RecordState)| {
            (known.times != common).then_some((index, known.times))
        };
        let exceptions: Vec<_> = records.iter().enumerate().filter_map(differs).collect();
        let (common, exceptions) = if exceptions.len() > EXCEPTIONS_MAX {
            let times = records.iter().map(|known| known.times);
            (times.reduce(RecordTimes::earlier).unwrap_or_default(), Vec::new())
        } else {
            (common, exceptions)
        };
        let sample = |(index, known): (usize, &RecordState)| Some((index, known.sample?));
        let samples = records.iter().enumerate().filter_map(sample).collect();
        Self { digest, count: records.len(), common, exceptions, samples }
    }
}

/// Returns the times that more than half of the records have, if there are such (by the vote of
/// Boyer and Moore).
fn majority_times(records: &[RecordState]) -> RecordTimes {
    let (mut candidate, mut votes) = (RecordTimes::default(), 0_usize);
    for known in records {
        if votes == 0 {
            candidate = known.times;
        }
        votes = if known.times == candidate { votes + 1 } else { votes - 1 };
    }
    candidate
}

#[cfg(test)]
mod tests;
