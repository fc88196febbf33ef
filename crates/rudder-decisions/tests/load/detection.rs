use rudder_decisions::{SilenceDetector, SuspicionBound};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(250);

fn detector(start: Instant) -> SilenceDetector {
    SilenceDetector::new(SuspicionBound::around(Duration::from_millis(600)), INTERVAL, start)
}

/// Records responses with these gaps and returns how often the member was suspect before a
/// response.
fn count_false_alarms(detector: &mut SilenceDetector, start: Instant, gaps_ms: &[u64]) -> usize {
    let mut now = start;
    let mut alarms = 0;
    for gap_ms in gaps_ms {
        now += Duration::from_millis(*gap_ms);
        alarms += usize::from(detector.is_suspect(now));
        detector.record_response(now);
    }
    alarms
}

// Every 40th response comes after 700 ms, as after two lost packets in a row. A fixed bound of 600
// ms suspects the live member each time, the learned bound only the first time.
#[test]
fn a_recurring_pause_raises_the_bound() {
    let start = Instant::now();
    let gaps: Vec<u64> = (0..400).map(|index| if index % 40 == 39 { 700 } else { 250 }).collect();

    let learned_alarms = count_false_alarms(&mut detector(start), start, &gaps);
    let fixed_alarms = gaps.iter().filter(|gap| **gap > 600).count();

    assert_eq!(learned_alarms, 1);
    assert_eq!(fixed_alarms, 10);
}

// An hour after an outage of one minute the bound must be back at its floor; otherwise the next
// failure would be detected late.
#[test]
fn an_outage_does_not_raise_the_bound_permanently() {
    let start = Instant::now();
    let mut detector = detector(start);
    let mut gaps = vec![250, 60_000];
    gaps.extend(std::iter::repeat_n(250, 4 * 3600));

    count_false_alarms(&mut detector, start, &gaps);

    assert_eq!(detector.bound(), Duration::from_millis(600));
}

#[test]
fn a_silent_member_is_suspect_within_the_ceiling() {
    let start = Instant::now();
    let mut detector = detector(start);

    count_false_alarms(&mut detector, start, &[1100, 900, 1300, 250]);

    let last_response = start + Duration::from_millis(3550);
    assert!(detector.is_suspect(last_response + Duration::from_millis(1201)));
}
