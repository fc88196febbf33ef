//! Subscriptions to the records.

use crate::peers::subscribers::SubscriberList;
use crate::peers::{RecordsDigest, RecordsSubscriber};
use std::time::Duration;

fn subscriber(host: u8, request_id: u64, received_at: Duration) -> RecordsSubscriber {
    RecordsSubscriber {
        address: ([10, 0, 0, host], 7440).into(),
        instance: format!("entry-{host}").parse().expect("a name"),
        request_id,
        received_at,
        digest: RecordsDigest::default(),
    }
}

fn request_ids(list: &mut SubscriberList, now: Duration) -> Vec<u64> {
    list.live(now).into_iter().map(|subscriber| subscriber.request_id).collect()
}

#[test]
fn the_latest_request_of_an_instance_counts() {
    let mut list = SubscriberList::default();
    list.subscribe(subscriber(2, 20, Duration::from_secs(10)));
    list.subscribe(subscriber(1, 10, Duration::from_secs(10)));

    list.subscribe(subscriber(2, 21, Duration::from_secs(11)));

    assert_eq!(request_ids(&mut list, Duration::from_secs(11)), [10, 21]);
}

/// Instances that no longer run must not receive datagrams.
#[test]
fn a_subscription_expires_without_further_requests() {
    let mut list = SubscriberList::default();
    list.subscribe(subscriber(1, 10, Duration::from_secs(10)));

    assert_eq!(request_ids(&mut list, Duration::from_secs(12)), [10]);
    assert!(request_ids(&mut list, Duration::from_secs(13)).is_empty());
}
