//! Age of the known records, and the choice of the peers to request them from.

use super::fixture::{RecordStore, WriteOutcome, engine, first_record};
use crate::clock::boot_time;
use crate::duty::records::{SourceSelector, records_age, time_since_update};
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound on the duration of a test.
const TEST_DURATION_MAX: Duration = Duration::from_secs(30);

#[tokio::test]
async fn missing_record_has_the_age_of_the_latest_read() {
    // A fleet starts while the store rejects calls and services have no record yet. Each instance
    // reads the records every 0.4 s if a read that its domain's reader reports does not count.
    let engine = engine(&RecordStore::new(&first_record(), &[WriteOutcome::Refused]), None);
    engine.group(&"records".parse().expect("a name"));
    let before = records_age(&engine);

    assert!(engine.record_peer_records_read(boot_time()));

    assert_eq!(before, Duration::MAX);
    assert!(records_age(&engine) < TEST_DURATION_MAX);
}

#[tokio::test]
async fn unconfirmed_record_stays_old_after_a_recent_read() {
    let engine = engine(&RecordStore::new(&first_record(), &[WriteOutcome::Refused]), None);
    let service = "records".parse().expect("a name");
    engine.observe_record(&service, &first_record(), Duration::ZERO);

    assert!(engine.record_peer_records_read(boot_time()));

    assert!(records_age(&engine) > TEST_DURATION_MAX);
}

/// Otherwise a whole fleet would read the store after each change of a primary.
#[tokio::test]
async fn announced_record_counts_as_a_recent_update() {
    let engine = engine(&RecordStore::new(&first_record(), &[WriteOutcome::Refused]), None);
    let service = "records".parse().expect("a name");

    engine.observe_record(&service, &first_record(), Duration::ZERO);

    assert!(time_since_update(&engine) < TEST_DURATION_MAX);
}

fn sources(count: u8) -> Vec<SocketAddr> {
    (0..count).map(|host| SocketAddr::from(([10, 0, 0, host], 7440))).collect()
}

const NOW: Duration = Duration::from_secs(100);

/// Otherwise a failure domain whose reader has just failed would read the store.
#[test]
fn timeout_selects_other_sources() {
    let mut state = SourceSelector::default();
    let first = state.receivers(&sources(4), NOW);

    state.record_timeout(NOW);
    let second = state.receivers(&sources(4), NOW);
    state.record_timeout(NOW);
    let third = state.receivers(&sources(4), NOW);

    let all = sources(4);
    assert_eq!(first, [all[0]]);
    assert_eq!(second, [all[1], all[2]]);
    assert_eq!(third, [all[2], all[3]]);
}

/// Otherwise a failure domain would receive records over long links after a single timeout.
#[test]
fn best_source_is_selected_again_after_the_delay() {
    let mut state = SourceSelector::default();
    state.record_timeout(NOW);

    let later = state.receivers(&sources(4), NOW + Duration::from_secs(4));

    assert_eq!(later, [sources(4)[0]]);
}

#[test]
fn no_sources_give_no_receivers() {
    let mut state = SourceSelector::default();
    state.record_timeout(NOW);

    assert!(state.receivers(&[], NOW).is_empty());
    assert_eq!(state.receivers(&sources(1), NOW), sources(1));
}
