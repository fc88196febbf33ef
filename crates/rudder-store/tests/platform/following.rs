//! Tests of following revisions: increasing numbers, stale reads, and platform outages.

use crate::common::{change, domain_file, standin, store, store_with_long_timeout};
use proptest::prelude::*;
use rudder_standins::{PlatformFaults, PlatformOutage};
use rudder_store::{
    BundleError, OfferOutcome, ReadError, RevisionBundle, RevisionFollower, RevisionNumber,
    StoreError, poll_revision, submit_change,
};
use std::time::Duration;

fn region(follower: &RevisionFollower) -> &str {
    &follower.folder().expect("a revision is in force").fleet.domains[0].region
}

/// The platform responds from a stale replica: an instance with revision 2 reads revision 1.
/// Adopting it would revert settings that an operator has replaced.
#[tokio::test]
async fn stale_read_does_not_revert_settings() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();
    submit_change(&store, change(&[domain_file("a", "south")])).await.unwrap();
    let mut follower = RevisionFollower::default();
    let newest = poll_revision(&store, None).await.unwrap().unwrap();
    follower.offer(newest);

    standin.set_faults(PlatformFaults { stale_by: 1, ..PlatformFaults::default() });
    let polled = poll_revision(&store, follower.bundle().map(|held| &**held)).await.unwrap();
    let stale = poll_revision(&store, None).await.unwrap().unwrap();
    let outcome = follower.offer(stale.clone());

    assert_eq!(polled, None);
    assert_eq!(stale.number, RevisionNumber(1));
    assert_eq!(outcome, OfferOutcome::NotNewer);
    assert_eq!((follower.number(), region(&follower)), (RevisionNumber(2), "south"));
}

/// An instance starts while the platform is down and receives the revision in force from a peer.
/// Otherwise it could not serve any caller until the outage ends.
#[tokio::test]
async fn instance_that_starts_in_an_outage_follows_a_peer() {
    let standin = standin().await;
    submit_change(&store_with_long_timeout(&standin), change(&[domain_file("a", "north")]))
        .await
        .unwrap();
    let held = poll_revision(&store_with_long_timeout(&standin), None).await.unwrap().unwrap();
    let outage = PlatformOutage::Hanging;
    standin.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    let mut follower = RevisionFollower::default();

    let polled = poll_revision(&store(&standin, Duration::from_millis(100)), None).await;
    let message = serde_json::to_vec(&held).unwrap();
    let handed: RevisionBundle = serde_json::from_slice(&message).unwrap();
    let outcome = follower.offer(handed);

    assert_eq!(polled, Err(ReadError::Store(StoreError::Unavailable)));
    assert_eq!(outcome, OfferOutcome::Adopted);
    assert_eq!(region(&follower), "north");
}

/// An instance that holds the previous revision reads the changed file only, which keeps the load
/// on the platform low with hundreds of instances.
#[tokio::test]
async fn poll_reads_only_what_changed() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    let files = ["a", "b", "c", "d"].map(|stem| domain_file(stem, "north"));
    submit_change(&store, change(&files)).await.unwrap();
    let held = poll_revision(&store, None).await.unwrap().unwrap();
    submit_change(&store, change(&[domain_file("b", "south")])).await.unwrap();

    let before = standin.calls().reads;
    let newer = poll_revision(&store, Some(&held)).await.unwrap().unwrap();
    let between = standin.calls().reads;
    let unchanged = poll_revision(&store, Some(&newer)).await.unwrap();

    assert_eq!(newer.number, RevisionNumber(2));
    assert_eq!(unchanged, None);
    // The first poll reads the version, the revision and one file; the second only the version.
    assert_eq!((between - before, standin.calls().reads - between), (3, 1));
}

/// A bundle is unusable because it was corrupted or comes from a newer release with unknown
/// settings. The revision in force remains, and a later valid one is still adopted.
#[tokio::test]
async fn unusable_bundle_is_not_adopted() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    submit_change(&store, change(&[domain_file("a", "north")])).await.unwrap();
    let good = poll_revision(&store, None).await.unwrap().unwrap();
    let mut follower = RevisionFollower::default();
    follower.offer(good.clone());
    let mut damaged = good.clone();
    damaged.number = RevisionNumber(2);
    damaged.files[0].file.text.push_str("# damaged\n");

    let outcome = follower.offer(damaged);
    let later = follower.offer(RevisionBundle { number: RevisionNumber(3), ..good });

    assert!(matches!(outcome, OfferOutcome::Unusable(BundleError::Damaged(_))), "{outcome:?}");
    assert_eq!(later, OfferOutcome::Adopted);
    assert_eq!(follower.number(), RevisionNumber(3));
}

proptest! {
    #[test]
    fn number_in_force_is_the_greatest_offered(numbers in prop::collection::vec(1_u64..50, 1..40)) {
        let mut follower = RevisionFollower::default();
        let mut greatest = 0;
        for number in numbers {
            let number_of = RevisionNumber(number);
            let bundle = RevisionBundle { number: number_of, version: None, files: Vec::new() };

            let outcome = follower.offer(bundle);

            prop_assert_eq!(outcome == OfferOutcome::Adopted, number > greatest);
            greatest = greatest.max(number);
            prop_assert_eq!(follower.number(), RevisionNumber(greatest));
        }
    }
}
