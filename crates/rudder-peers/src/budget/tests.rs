//! Tests of the token bucket.

use super::{SendClass, TokenBucket};
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn bucket_does_not_exceed_its_rate() {
    let mut bucket = TokenBucket::new(1000, 4000, Duration::ZERO);
    let mut sent = 0;

    for step in 0..100_000_u64 {
        let now = Duration::from_millis(step);
        if bucket.allows(100, SendClass::Heartbeat, now) {
            bucket.take(100);
            sent += 100;
        }
    }

    assert!(sent <= 4000 + 100 * 1000);
    assert!(sent > 100 * 1000);
}

#[test]
fn each_class_leaves_a_reserve_for_more_important_ones() {
    let mut bucket = TokenBucket::new(1000, 1000, Duration::ZERO);

    bucket.take(500);

    assert!(!bucket.allows(1, SendClass::Routine, Duration::ZERO));
    assert!(bucket.allows(200, SendClass::Updates, Duration::ZERO));
    assert!(!bucket.allows(201, SendClass::Updates, Duration::ZERO));
    assert!(bucket.allows(500, SendClass::Heartbeat, Duration::ZERO));
}

#[test]
fn transfer_debt_is_repaid_before_the_next_transfer() {
    let mut bucket = TokenBucket::new(100, 1000, Duration::ZERO);

    assert!(bucket.take_with_debt(5000, Duration::ZERO));
    assert!(!bucket.take_with_debt(1, seconds(40)));
    assert!(bucket.take_with_debt(1, seconds(41)));
}
