//! How old the word of the records is.

use super::fixture::{RecordStore, WriteFate, engine, first_record};
use crate::clock::boot_time;
use crate::duty::records::oldest_record_age;
use std::time::Duration;

/// Far above the time that a test takes between two lines.
const MOMENT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn a_service_without_record_is_as_old_as_the_readers_look() {
    // A fleet starts and the store refuses calls: every instance reads the records every 0.4 s, as
    // its services have none yet, although its domain's reader has just looked and says so.
    let engine = engine(&RecordStore::new(&first_record(), &[WriteFate::Refused]), None);
    engine.group(&"records".parse().expect("a name"));
    let before = oldest_record_age(&engine);

    engine.note_records_told(boot_time());

    assert_eq!(before, Duration::MAX);
    assert!(oldest_record_age(&engine) < MOMENT);
}

#[tokio::test]
async fn a_record_that_nobody_confirmed_is_old_however_new_the_look() {
    let engine = engine(&RecordStore::new(&first_record(), &[WriteFate::Refused]), None);
    let service = "records".parse().expect("a name");
    engine.observe(&service, &first_record(), Duration::ZERO);

    engine.note_records_told(boot_time());

    assert!(oldest_record_age(&engine) > MOMENT);
}
