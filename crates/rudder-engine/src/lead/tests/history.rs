//! Floors of bounded-staleness reads.

use super::ms;
use crate::lead::PositionHistory;
use rudder_core::{FreshSample, LogStamp};

fn history(samples: &[(u64, u64)]) -> PositionHistory {
    let mut history = PositionHistory::default();
    for (at, position) in samples {
        history.record(FreshSample { sent_at: ms(*at), stamp: LogStamp::new(1, *position) });
    }
    history
}

#[test]
fn the_oldest_sample_within_the_bound_is_the_floor() {
    // With the newest position as floor, most reads would skip replicas that are fresh enough.
    let history = history(&[(0, 1), (500, 5), (1000, 9), (1500, 20)]);

    assert_eq!(history.floor(ms(1000), ms(1800)), Some(LogStamp::new(1, 9)));
    assert_eq!(history.floor(ms(400), ms(1800)), Some(LogStamp::new(1, 20)));
}

#[test]
fn without_a_recent_sample_there_is_no_floor() {
    // Without a sample within the bound, the commits since are unknown. A floor from an older
    // sample would let a read return rows that are older than its bound.
    let history = history(&[(0, 1), (500, 5)]);

    assert_eq!(history.floor(ms(1000), ms(1501)), None);
}

#[test]
fn late_and_close_samples_are_not_recorded() {
    let history = history(&[(100, 10), (110, 12), (50, 8), (200, 9), (300, 14)]);

    assert_eq!(history.floor(ms(1000), ms(1050)), Some(LogStamp::new(1, 10)));
    assert_eq!(history.floor(ms(800), ms(1050)), Some(LogStamp::new(1, 14)));
}
