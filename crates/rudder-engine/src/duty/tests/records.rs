//! How old the word of the records is.

use super::fixture::{RecordStore, WriteFate, engine, first_record};
use crate::clock::boot_time;
use crate::duty::records::{records_age, unrenewed_time};
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
