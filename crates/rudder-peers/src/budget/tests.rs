//! The token bucket.

use super::{SendClass, TokenBucket};
use std::time::Duration;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_bucket_gives_its_rate_and_no_more() {
    let mut bucket = TokenBucket::new(1000, 4000, Duration::ZERO);
    let mut sent = 0;

    for step in 0..100_000_u64 {
        let now = Duration::from_millis(step);
        if bucket.allows(100, SendClass::Liveness, now) {
            bucket.take(100);
            sent += 100;
        }
    }

    assert!(sent <= 4000 + 100 * 1000);
    assert!(sent > 100 * 1000);
}

#[test]
fn each_class_leaves_a_part_to_those_above_it() {
    let mut bucket = TokenBucket::new(1000, 1000, Duration::ZERO);

    bucket.take(500);

    assert!(!bucket.allows(1, SendClass::Routine, Duration::ZERO));
    assert!(bucket.allows(200, SendClass::News, Duration::ZERO));
    assert!(!bucket.allows(201, SendClass::News, Duration::ZERO));
    assert!(bucket.allows(500, SendClass::Liveness, Duration::ZERO));
}

#[test]
fn a_transfer_on_credit_is_paid_off_before_the_next() {
    let mut bucket = TokenBucket::new(100, 1000, Duration::ZERO);

    assert!(bucket.take_on_credit(5000, Duration::ZERO));
    assert!(!bucket.take_on_credit(1, seconds(40)));
    assert!(bucket.take_on_credit(1, seconds(41)));
}
