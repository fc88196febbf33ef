//! An exponentially weighted moving average over seconds, shared by the learned estimates.

use std::time::Duration;

/// A moving average that starts at its first sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MovingAverage {
    value_s: Option<f64>,
    gain: f64,
}

impl MovingAverage {
    /// An average in which each new sample counts for `gain`, between 0 and 1.
    pub(crate) fn new(gain: f64) -> Self {
        Self { value_s: None, gain }
    }

    /// Takes in one sample.
    pub(crate) fn observe(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        self.value_s = Some(match self.value_s {
            Some(value_s) => value_s + self.gain * (sample_s - value_s),
            None => sample_s,
        });
    }

    /// The average, or `None` before the first sample.
    pub(crate) fn value(&self) -> Option<Duration> {
        self.value_s.map(Duration::from_secs_f64)
    }
}
