//! How old the word of the records is.

use super::fixture::{RecordStore, WriteFate, engine, first_record};
use crate::clock::boot_time;
use crate::duty::records::{SourceState, records_age, unrenewed_time};
use std::net::SocketAddr;
use std::time::Duration;

/// Far above the time that a test takes between two lines.
const MOMENT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn a_service_without_record_is_as_old_as_the_readers_look() {
    // A fleet starts and the store refuses calls: every instance reads the records every 0.4 s, as
    // its services have none yet, although its domain's reader has just looked and says so.
    let engine = engine(&RecordStore::new(&first_record(), &[WriteFate::Refused]), None);
    engine.group(&"records".parse().expect("a name"));
    let before = records_age(&engine);

    assert!(engine.note_records_told(boot_time()));

    assert_eq!(before, Duration::MAX);
    assert!(records_age(&engine) < MOMENT);
}

#[tokio::test]
async fn a_record_that_nobody_confirmed_is_old_however_new_the_look() {
    let engine = engine(&RecordStore::new(&first_record(), &[WriteFate::Refused]), None);
    let service = "records".parse().expect("a name");
    engine.observe(&service, &first_record(), Duration::ZERO);

    assert!(engine.note_records_told(boot_time()));

    assert!(records_age(&engine) > MOMENT);
}

/// Guards against a whole fleet that reads the store after each change of a primary.
#[tokio::test]
async fn a_record_that_was_just_announced_is_waited_for() {
    let engine = engine(&RecordStore::new(&first_record(), &[WriteFate::Refused]), None);
    let service = "records".parse().expect("a name");

    engine.observe(&service, &first_record(), Duration::ZERO);

    assert!(unrenewed_time(&engine) < MOMENT);
}

fn sources(count: u8) -> Vec<SocketAddr> {
    (0..count).map(|host| SocketAddr::from(([10, 0, 0, host], 7440))).collect()
}

const NOW: Duration = Duration::from_secs(100);

/// Guards against a failure domain that reads the store because its reader has just died.
#[test]
fn an_instance_whose_source_is_silent_asks_others() {
    let mut state = SourceState::default();
    let first = state.receivers(&sources(4), NOW);

    state.note_silence(NOW);
    let second = state.receivers(&sources(4), NOW);
    state.note_silence(NOW);
    let third = state.receivers(&sources(4), NOW);

    let all = sources(4);
    assert_eq!(first, [all[0]]);
    assert_eq!(second, [all[1], all[2]]);
    assert_eq!(third, [all[2], all[3]]);
}

/// Guards against a domain that goes on being told over long links after a moment of silence.
#[test]
fn an_instance_returns_to_its_best_source() {
    let mut state = SourceState::default();
    state.note_silence(NOW);

    let later = state.receivers(&sources(4), NOW + Duration::from_secs(4));

    assert_eq!(later, [sources(4)[0]]);
}

#[test]
fn an_instance_that_knows_nobody_asks_nobody() {
    let mut state = SourceState::default();
    state.note_silence(NOW);

    assert!(state.receivers(&[], NOW).is_empty());
    assert_eq!(state.receivers(&sources(1), NOW), sources(1));
}
