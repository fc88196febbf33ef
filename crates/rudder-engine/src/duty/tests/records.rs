//! How old the word of the records is.

use super::fixture::{RecordStore, WriteOutcome, engine, first_record};
use crate::clock::boot_time;
use crate::duty::records::{SourceSelector, records_age, time_since_update};
use std::net::SocketAddr;
use std::time::Duration;

/// Far above the time that a test takes between two lines.
const TEST_DURATION_MAX: Duration = Duration::from_secs(30);

#[tokio::test]
async fn missing_record_has_the_age_of_the_latest_read() {
    // A fleet starts and the store refuses calls: every instance reads the records every 0.4 s, as
    // its services have none yet, although its domain's reader has just looked and says so.
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
    engine.observe(&service, &first_record(), Duration::ZERO);

    assert!(engine.record_peer_records_read(boot_time()));

    assert!(records_age(&engine) > TEST_DURATION_MAX);
}

/// Guards against a whole fleet that reads the store after each change of a primary.
#[tokio::test]
async fn announced_record_counts_as_a_recent_update() {
    let engine = engine(&RecordStore::new(&first_record(), &[WriteOutcome::Refused]), None);
    let service = "records".parse().expect("a name");

    engine.observe(&service, &first_record(), Duration::ZERO);

    assert!(time_since_update(&engine) < TEST_DURATION_MAX);
}

fn sources(count: u8) -> Vec<SocketAddr> {
    (0..count).map(|host| SocketAddr::from(([10, 0, 0, host], 7440))).collect()
}

const NOW: Duration = Duration::from_secs(100);

/// Guards against a failure domain that reads the store because its reader has just died.
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

/// Guards against a domain that goes on being told over long links after a moment of silence.
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
