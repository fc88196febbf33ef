//! Recorder of the counters of one test.

use metrics::{
    Counter, CounterFn, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit,
};
use std::sync::{Arc, Mutex};

/// Counters with their labels, as `name{label}`, and their values.
#[derive(Clone, Default)]
pub(super) struct CounterRecorder(Arc<Mutex<Vec<(String, u64)>>>);

impl CounterRecorder {
    /// Returns the value of a counter.
    pub(super) fn value(&self, name: &str) -> u64 {
        let values = self.0.lock().expect("no holder panics");
        values.iter().filter(|(known, _)| known == name).map(|(_, value)| value).sum()
    }
}

struct RecordedCounter {
    recorder: CounterRecorder,
    name: String,
}

impl CounterFn for RecordedCounter {
    fn increment(&self, value: u64) {
        let mut values = self.recorder.0.lock().expect("no holder panics");
        values.push((self.name.clone(), value));
    }

    fn absolute(&self, _value: u64) {}
}

impl Recorder for CounterRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let label = key.labels().next().map_or("", |label| label.value());
        let name = format!("{}{{{label}}}", key.name());
        Counter::from_arc(Arc::new(RecordedCounter { recorder: self.clone(), name }))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
