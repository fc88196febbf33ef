//! False alarms against detection time, for fixed and learned bounds.
//!
//! Three observers probe a primary every 250 ms over TCP links that lose packets. A lost packet is
//! sent again after 200, 400, 800 ms and holds up what follows. Now and then the primary itself
//! stalls, for all observers at once. An alarm needs two of the three observers.

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

/// First time after which TCP sends a lost packet again; it doubles.
const RETRANSMIT_MIN: Duration = Duration::from_millis(200);

/// Mean time between two stalls of the primary, and their mean length, in seconds.
const STALL_EVERY_S: f64 = 120.0;
const STALL_MEAN_S: f64 = 0.08;

/// The properties of a link.
#[derive(Clone, Copy)]
struct LinkKind {
    name: &'static str,
    one_way_ms: f64,
    jitter_ms: f64,
    loss: f64,
    /// Mean time between two short cuts, and their mean length, in seconds.
    cut_every_s: f64,
    cut_mean_s: f64,
}

const LINKS: [LinkKind; 3] = [
    LinkKind {
        name: "quiet, no loss",
        one_way_ms: 4.0,
        jitter_ms: 1.0,
        loss: 0.0,
        cut_every_s: 1e9,
        cut_mean_s: 0.0,
    },
    LinkKind {
        name: "1% loss, cuts of 200 ms",
        one_way_ms: 12.0,
        jitter_ms: 5.0,
        loss: 0.01,
        cut_every_s: 300.0,
        cut_mean_s: 0.2,
    },
    LinkKind {
        name: "5% loss, cuts of 400 ms",
        one_way_ms: 20.0,
        jitter_ms: 20.0,
        loss: 0.05,
        cut_every_s: 120.0,
        cut_mean_s: 0.4,
    },
];

/// Times during which something is down, in order.
struct DownTimes(Vec<(f64, f64)>);

impl DownTimes {
    fn draw(every_s: f64, mean_s: f64, rng: &mut StdRng) -> Self {
        let mut times = Vec::new();
        let mut start = exponential(every_s, rng);
        while start < LENGTH.as_secs_f64() {
            let end = start + exponential(mean_s, rng);
            times.push((start, end));
            start = end + exponential(every_s, rng);
        }
        Self(times)
    }

    /// The end of the down time that covers `at_s`, if there is one.
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
        let stalls = DownTimes::draw(STALL_EVERY_S, STALL_MEAN_S, &mut rng);
        let observers: Vec<Vec<Duration>> =
            (0..OBSERVERS).map(|_| answers(link, &stalls, &mut rng)).collect();
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

/// How an observer sets its bound.
#[derive(Clone, Copy)]
enum BoundRule {
    /// The package's detector: the longest gap seen lately.
    Longest(SuspicionBound),
    /// The usual gap plus this many mean deviations.
    Deviations(u32),
}

/// The rule that was tried and not taken: mean plus deviations, 400 to 1600 ms.
struct DeviationDetector {
    factor: f64,
    gap_s: f64,
    deviation_s: f64,
    last_heard: Duration,
}

impl DeviationDetector {
    /// Weight of one gap: about the last thirty count.
    const GAIN: f64 = 1.0 / 32.0;

    fn heard(&mut self, at: Duration) -> Duration {
        let gap_s = (at - self.last_heard).as_secs_f64();
        self.deviation_s += Self::GAIN * ((gap_s - self.gap_s).abs() - self.deviation_s);
        self.gap_s += Self::GAIN * (gap_s - self.gap_s);
        self.last_heard = at;
        let bound = Duration::from_secs_f64(self.gap_s + self.factor * self.deviation_s);
        at + bound.clamp(Duration::from_millis(400), Duration::from_millis(1600))
    }
}

/// When one observer hears the answers to its probes.
fn answers(link: LinkKind, stalls: &DownTimes, rng: &mut StdRng) -> Vec<Duration> {
    let cuts = DownTimes::draw(link.cut_every_s, link.cut_mean_s, rng);
    let offset_s = rng.random_range(0.0..INTERVAL.as_secs_f64());
    let mut answers = Vec::new();
    let (mut last_there_s, mut last_back_s) = (0.0_f64, 0.0_f64);
    let mut probe_s = offset_s;
    while probe_s < LENGTH.as_secs_f64() {
        last_there_s = last_there_s.max(travel(link, &cuts, probe_s, rng));
        let answered_s = stalls.end_after(last_there_s).unwrap_or(last_there_s);
        last_back_s = last_back_s.max(travel(link, &cuts, answered_s, rng));
        answers.push(Duration::from_secs_f64(last_back_s));
        probe_s += INTERVAL.as_secs_f64();
    }
    answers
}

/// When a packet sent at `sent_s` arrives, with retransmissions.
fn travel(link: LinkKind, cuts: &DownTimes, sent_s: f64, rng: &mut StdRng) -> f64 {
    let mut sent_s = sent_s;
    let mut retransmit_s = RETRANSMIT_MIN.as_secs_f64();
    while cuts.end_after(sent_s).is_some() || rng.random_range(0.0..1.0) < link.loss {
        sent_s += retransmit_s;
        retransmit_s *= 2.0;
    }
    sent_s + (link.one_way_ms + exponential(link.jitter_ms, rng)) / 1e3
}

fn row(link: LinkKind, name: &str, rule: BoundRule, observers: &[Vec<Duration>]) -> TrialRow {
    let watched: Vec<WatchRecord> = observers.iter().map(|heard| watch(rule, heard)).collect();
    let single: usize = watched.iter().map(|record| record.alarms.len()).sum();
    let hours = LENGTH.as_secs_f64() / 3600.0;
    let gaps = detection_gaps(&watched);
    TrialRow::new(link.name, name)
        .with("one_observer_per_hour", single as f64 / OBSERVERS as f64 / hours)
        .with("two_of_three_per_hour", joint_alarms(&watched) as f64 / hours)
        .with("gap_p50_ms", percentile_ms(&gaps, 50))
        .with("gap_p99_ms", percentile_ms(&gaps, 99))
        .with("gap_max_ms", percentile_ms(&gaps, 100))
}

/// What one observer saw: its wrong suspicions, and when it would have suspected after each answer.
struct WatchRecord {
    alarms: Vec<(Duration, Duration)>,
    heard: Vec<(Duration, Duration)>,
}

fn watch(rule: BoundRule, heard: &[Duration]) -> WatchRecord {
    let mut suspect_after = suspicions(rule);
    let mut record = WatchRecord { alarms: Vec::new(), heard: Vec::new() };
    let mut suspect_at = Duration::MAX;
    for &at in heard {
        if suspect_at < at {
            record.alarms.push((suspect_at, at));
        }
        suspect_at = suspect_after(at);
        record.heard.push((at, suspect_at));
    }
    record
}

/// Tells, for each answer's time, when the next silence becomes suspect.
fn suspicions(rule: BoundRule) -> Box<dyn FnMut(Duration) -> Duration> {
    let interval_s = INTERVAL.as_secs_f64();
    match rule {
        BoundRule::Longest(bound) => {
            let origin = Instant::now();
            let mut detector = SilenceDetector::new(bound, INTERVAL, origin);
            Box::new(move |at| {
                detector.heard(origin + at);
                detector.suspect_at().duration_since(origin)
            })
        }
        BoundRule::Deviations(factor) => {
            let mut detector = DeviationDetector {
                factor: f64::from(factor),
                gap_s: interval_s,
                deviation_s: interval_s / 4.0,
                last_heard: Duration::ZERO,
            };
            Box::new(move |at| detector.heard(at))
        }
    }
}

/// Times at which a quorum of observers suspected the living primary together.
fn joint_alarms(watched: &[WatchRecord]) -> usize {
    let mut edges: Vec<(Duration, i32)> = Vec::new();
    for record in watched {
        edges.extend(record.alarms.iter().flat_map(|(start, end)| [(*start, 1), (*end, -1)]));
    }
    edges.sort_unstable();
    let quorum = i32::try_from(QUORUM).expect("a small quorum");
    let mut suspecting = 0;
    let mut alarms = 0;
    for (_, change) in edges {
        suspecting += change;
        alarms += usize::from(change > 0 && suspecting == quorum);
    }
    alarms
}

/// How long after its death the primary is suspected by a quorum, for a death every ten seconds.
fn detection_gaps(watched: &[WatchRecord]) -> Vec<Duration> {
    let mut gaps = Vec::new();
    let mut death = Duration::from_millis(60_125);
    while death + Duration::from_secs(10) < LENGTH {
        let mut suspected: Vec<Duration> = watched
            .iter()
            .filter_map(|record| {
                // What was answered before the death may still be under way; it is left out.
                let index = record.heard.partition_point(|(at, _)| *at <= death);
                index.checked_sub(1).map(|last| record.heard[last].1.max(death))
            })
            .collect();
        suspected.sort_unstable();
        gaps.push(suspected[QUORUM - 1] - death);
        death += Duration::from_millis(10_007);
    }
    gaps.sort_unstable();
    gaps
}
