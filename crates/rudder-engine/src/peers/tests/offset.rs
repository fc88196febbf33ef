//! Points in time that instances exchange.

use crate::peers::RequestOffset;
use std::time::Duration;

const RECEIVED_AT: Duration = Duration::from_millis(1_000);
const REQUEST_SENT_AT: Duration = Duration::from_millis(500_000);

fn received(moment: Duration) -> Option<Duration> {
    RequestOffset::of(moment, RECEIVED_AT).map(|offset| offset.to_moment(REQUEST_SENT_AT))
}

#[test]
fn a_moment_has_the_same_offset_from_the_request_on_both_sides() {
    let before = received(Duration::from_millis(700));
    let after = received(Duration::from_millis(1_900));

    assert_eq!(before, Some(Duration::from_millis(499_700)));
    assert_eq!(after, Some(Duration::from_millis(500_900)));
}

#[test]
fn fractions_of_a_millisecond_round_to_an_earlier_moment() {
    let moment = received(Duration::from_micros(700_900));
    let late = RequestOffset::of(Duration::from_millis(700), Duration::from_micros(1_000_100));

    assert_eq!(moment, Some(Duration::from_millis(499_700)));
    assert_eq!(
        late.map(|offset| offset.to_moment(REQUEST_SENT_AT)),
        Some(Duration::from_millis(499_699))
    );
}

/// A record that the store never confirmed must not grant a lease. On a sender that has just
/// started, a time of zero would appear recent.
#[test]
fn an_unconfirmed_record_has_no_moment() {
    assert_eq!(received(Duration::ZERO), None);
}
