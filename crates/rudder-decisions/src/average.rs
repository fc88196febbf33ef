//! Exponentially weighted moving average of durations, used by the service time estimates.

use std::time::Duration;

/// Moving average that starts at its first sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MovingAverage {
    value_s: Option<f64>,
    gain: f64,
}

impl MovingAverage {
    /// Creates an average in which each new sample has the weight `gain`, between 0 and 1.
    pub(crate) fn new(gain: f64) -> Self {
        Self { value_s: None, gain }
    }

    /// Records one sample.
    pub(crate) fn observe(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        self.value_s = Some(match self.value_s {
            Some(value_s) => value_s + self.gain * (sample_s - value_s),
            None => sample_s,
        });
    }

    /// Returns the average, or `None` before the first sample.
    pub(crate) fn value(&self) -> Option<Duration> {
        self.value_s.map(Duration::from_secs_f64)
    }
}
