//! False alarms and detection time of failure detectors with fixed and learned bounds.
//!
//! Three observers probe a primary every 250 ms over TCP links that lose packets. A lost packet is
//! retransmitted after 200, 400, 800 ms and delays the packets behind it. Occasionally the primary
//! itself stalls, for all observers at the same time. An alarm needs two of the three observers.

use super::arrivals::exponential;
use super::report::{TrialRow, print_rows};
use super::summary::percentile_ms;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_decisions::{SilenceDetector, SuspicionBound};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(250);
const OBSERVERS: usize = 3;
const QUORUM: usize = 2;
const LENGTH: Duration = Duration::from_secs(24 * 3600);

/// Initial TCP retransmission timeout; it doubles with each retransmission.
const RETRANSMIT_MIN: Duration = Duration::from_millis(200);

/// Mean time between two stalls of the primary, and their mean duration, in seconds.
const STALL_INTERVAL_S: f64 = 120.0;
const STALL_MEAN_S: f64 = 0.08;

/// Properties of a link.
#[derive(Clone, Copy)]
struct LinkKind {
    name: &'static str,
    one_way_ms: f64,
    jitter_ms: f64,
    loss: f64,
    /// Mean time between two short outages, and their mean duration, in seconds.
    outage_interval_s: f64,
    outage_mean_s: f64,
}

const LINKS: [LinkKind; 3] = [
    LinkKind {
        name: "quiet, no loss",
        one_way_ms: 4.0,
        jitter_ms: 1.0,
        loss: 0.0,
        outage_interval_s: 1e9,
        outage_mean_s: 0.0,
    },
    LinkKind {
        name: "1% loss, cuts of 200 ms",
        one_way_ms: 12.0,
        jitter_ms: 5.0,
        loss: 0.01,
        outage_interval_s: 300.0,
        outage_mean_s: 0.2,
    },
    LinkKind {
        name: "5% loss, cuts of 400 ms",
        one_way_ms: 20.0,
        jitter_ms: 20.0,
        loss: 0.05,
        outage_interval_s: 120.0,
        outage_mean_s: 0.4,
    },
];

/// Periods of unavailability in seconds, in order.
struct DownTimes(Vec<(f64, f64)>);

impl DownTimes {
    fn draw(interval_s: f64, mean_s: f64, rng: &mut StdRng) -> Self {
        let mut times = Vec::new();
        let mut start = exponential(interval_s, rng);
        while start < LENGTH.as_secs_f64() {
            let end = start + exponential(mean_s, rng);
            times.push((start, end));
            start = end + exponential(interval_s, rng);
        }
        Self(times)
    }

    /// Returns the end of the period that contains `at_s`, if there is one.
    fn end_after(&self, at_s: f64) -> Option<f64> {
        let index = self.0.partition_point(|(_, end)| *end <= at_s);
        self.0.get(index).filter(|(start, _)| *start <= at_s).map(|(_, end)| *end)
    }
}

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    let mut rows = Vec::new();
    for link in LINKS {
        let mut rng = StdRng::seed_from_u64(seed);
        let stalls = DownTimes::draw(STALL_INTERVAL_S, STALL_MEAN_S, &mut rng);
        let observers: Vec<Vec<Duration>> =
            (0..OBSERVERS).map(|_| response_times(link, &stalls, &mut rng)).collect();
        rows.extend(bounds().into_iter().map(|(name, rule)| row(link, &name, rule, &observers)));
    }
    print_rows("failure_detection", &rows);
}

fn bounds() -> Vec<(String, BoundRule)> {
    let fixed = [400, 600, 800, 1200, 1600].map(|bound_ms| {
        (format!("fixed {bound_ms} ms"), BoundRule::Longest(limits(bound_ms, 1, 0)))
    });
    let deviations = [4, 8, 12].map(|factor| {
        (format!("mean + {factor} deviations, 400 to 1600 ms"), BoundRule::Deviations(factor))
    });
    let longest = [110, 125, 150].map(|margin| {
        let rule = BoundRule::Longest(limits(400, 4, margin));
        (format!("longest x {margin}%, 400 to 1600 ms"), rule)
    });
    let around = [400, 500, 600, 800].map(|bound_ms| {
        let bound = SuspicionBound::around(Duration::from_millis(bound_ms));
        (format!("around {bound_ms} ms"), BoundRule::Longest(bound))
    });
    fixed.into_iter().chain(deviations).chain(longest).chain(around).collect()
}

fn limits(floor_ms: u64, factor: u32, margin_percent: u32) -> SuspicionBound {
    let floor = Duration::from_millis(floor_ms);
    SuspicionBound { floor, ceiling: floor * factor, margin_percent }
}

/// Rule for the bound of an observer.
#[derive(Clone, Copy)]
enum BoundRule {
    /// Detector of this package: the longest recent gap with a margin.
    Longest(SuspicionBound),
    /// Mean gap plus this many mean deviations.
    Deviations(u32),
}

/// Detector with a bound of the mean gap plus a multiple of the mean deviation, between 400 and
/// 1600 ms. The proxy does not use it.
struct DeviationDetector {
    factor: f64,
    gap_s: f64,
    deviation_s: f64,
    last_response: Duration,
}

impl DeviationDetector {
    /// Weight of one gap: about the last thirty gaps count.
    const GAIN: f64 = 1.0 / 32.0;

    /// Records a response and returns the time at which the next silence becomes suspect.
    fn record_response(&mut self, at: Duration) -> Duration {
        let gap_s = (at - self.last_response).as_secs_f64();
        self.deviation_s += Self::GAIN * ((gap_s - self.gap_s).abs() - self.deviation_s);
        self.gap_s += Self::GAIN * (gap_s - self.gap_s);
        self.last_response = at;
        let bound = Duration::from_secs_f64(self.gap_s + self.factor * self.deviation_s);
        at + bound.clamp(Duration::from_millis(400), Duration::from_millis(1600))
    }
}

/// Draws the times at which one observer receives the responses to its probes.
fn response_times(link: LinkKind, stalls: &DownTimes, rng: &mut StdRng) -> Vec<Duration> {
    let outages = DownTimes::draw(link.outage_interval_s, link.outage_mean_s, rng);
    let offset_s = rng.random_range(0.0..INTERVAL.as_secs_f64());
    let mut responses = Vec::new();
    let (mut last_arrival_s, mut last_return_s) = (0.0_f64, 0.0_f64);
    let mut probe_s = offset_s;
    while probe_s < LENGTH.as_secs_f64() {
        last_arrival_s = last_arrival_s.max(arrival_time_s(link, &outages, probe_s, rng));
        let responded_s = stalls.end_after(last_arrival_s).unwrap_or(last_arrival_s);
        last_return_s = last_return_s.max(arrival_time_s(link, &outages, responded_s, rng));
        responses.push(Duration::from_secs_f64(last_return_s));
        probe_s += INTERVAL.as_secs_f64();
    }
    responses
}

/// Draws the arrival time of a packet sent at `sent_s`, including retransmissions.
fn arrival_time_s(link: LinkKind, outages: &DownTimes, sent_s: f64, rng: &mut StdRng) -> f64 {
    let mut sent_s = sent_s;
    let mut retransmit_s = RETRANSMIT_MIN.as_secs_f64();
    while outages.end_after(sent_s).is_some() || rng.random_range(0.0..1.0) < link.loss {
        sent_s += retransmit_s;
        retransmit_s *= 2.0;
    }
    sent_s + (link.one_way_ms + exponential(link.jitter_ms, rng)) / 1e3
}

fn row(link: LinkKind, name: &str, rule: BoundRule, observers: &[Vec<Duration>]) -> TrialRow {
    let records: Vec<ObserverRecord> =
        observers.iter().map(|responses| observe(rule, responses)).collect();
    let single_alarms: usize = records.iter().map(|record| record.false_alarms.len()).sum();
    let hours = LENGTH.as_secs_f64() / 3600.0;
    let times = detection_times(&records);
    TrialRow::new(link.name, name)
        .with("one_observer_per_hour", single_alarms as f64 / OBSERVERS as f64 / hours)
        .with("two_of_three_per_hour", joint_alarms(&records) as f64 / hours)
        .with("gap_p50_ms", percentile_ms(&times, 50))
        .with("gap_p99_ms", percentile_ms(&times, 99))
        .with("gap_max_ms", percentile_ms(&times, 100))
}

/// Result of one observer.
struct ObserverRecord {
    /// Start and end of each suspicion of the live primary.
    false_alarms: Vec<(Duration, Duration)>,
    /// Time of each response, and the time at which silence after it becomes suspect.
    responses: Vec<(Duration, Duration)>,
}

fn observe(rule: BoundRule, responses: &[Duration]) -> ObserverRecord {
    let mut suspect_after = suspicion_rule(rule);
    let mut record = ObserverRecord { false_alarms: Vec::new(), responses: Vec::new() };
    let mut suspect_at = Duration::MAX;
    for &at in responses {
        if suspect_at < at {
            record.false_alarms.push((suspect_at, at));
        }
        suspect_at = suspect_after(at);
        record.responses.push((at, suspect_at));
    }
    record
}

/// Returns a function from the time of a response to the time at which silence after it becomes
/// suspect.
fn suspicion_rule(rule: BoundRule) -> Box<dyn FnMut(Duration) -> Duration> {
    let interval_s = INTERVAL.as_secs_f64();
    match rule {
        BoundRule::Longest(bound) => {
            let origin = Instant::now();
            let mut detector = SilenceDetector::new(bound, INTERVAL, origin);
            Box::new(move |at| {
                detector.record_response(origin + at);
                detector.suspect_at().duration_since(origin)
            })
        }
        BoundRule::Deviations(factor) => {
            let mut detector = DeviationDetector {
                factor: f64::from(factor),
                gap_s: interval_s,
                deviation_s: interval_s / 4.0,
                last_response: Duration::ZERO,
            };
            Box::new(move |at| detector.record_response(at))
        }
    }
}

/// Counts how often a quorum of observers suspected the live primary at the same time.
fn joint_alarms(records: &[ObserverRecord]) -> usize {
    let mut edges: Vec<(Duration, i32)> = Vec::new();
    for record in records {
        edges.extend(record.false_alarms.iter().flat_map(|(start, end)| [(*start, 1), (*end, -1)]));
    }
    edges.sort_unstable();
    let quorum = i32::try_from(QUORUM).expect("the quorum fits into i32");
    let mut suspecting = 0;
    let mut alarms = 0;
    for (_, change) in edges {
        suspecting += change;
        alarms += usize::from(change > 0 && suspecting == quorum);
    }
    alarms
}

/// Returns the sorted times from a failure of the primary to its suspicion by a quorum, for one
/// failure about every ten seconds.
fn detection_times(records: &[ObserverRecord]) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut failure_at = Duration::from_millis(60_125);
    while failure_at + Duration::from_secs(10) < LENGTH {
        let mut suspected_at: Vec<Duration> = records
            .iter()
            .filter_map(|record| {
                // Responses sent before the failure that arrive after it are left out.
                let index = record.responses.partition_point(|(at, _)| *at <= failure_at);
                index.checked_sub(1).map(|last| record.responses[last].1.max(failure_at))
            })
            .collect();
        suspected_at.sort_unstable();
        times.push(suspected_at[QUORUM - 1] - failure_at);
        failure_at += Duration::from_millis(10_007);
    }
    times.sort_unstable();
    times
}
