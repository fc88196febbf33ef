//! The list of instances.

use super::fixture::{RecordStore, WriteFate, engine, first_record};
use crate::duty::registry::{EntryFinding, follow_list};
use crate::identity::DrainPhase;
use std::sync::Arc;

/// A store whose list of instances is empty, and which counts writes.
fn store() -> Arc<RecordStore> {
    RecordStore::new(&first_record(), &[WriteFate::Refused])
}

#[tokio::test]
async fn an_instance_that_stops_does_not_enter_the_list_again() {
    // An instance is told to stop and leaves the list. Its next look at the list does not find it
    // there; if it wrote itself in again, it would end a moment later and stay listed.
    let store = store();
    let engine = engine(&store, None);
    engine.set_drain(DrainPhase::Leaving);

    let followed = follow_list(&engine).await;

    assert_eq!(followed, Ok(EntryFinding::Left));
    assert_eq!(store.write_count(), 0);
}

#[tokio::test]
async fn an_instance_that_was_taken_out_of_the_list_enters_it_again() {
    // An instance was cut off for minutes and taken out of the list. It may not lead before it is
    // listed again, so it must see to that by itself.
    let store = store();
    let engine = engine(&store, None);

    let followed = follow_list(&engine).await;

    assert!(followed.is_err(), "the store refuses writes");
    assert_eq!(store.write_count(), 1);
}

/// Guards against a removal by an earlier process that takes the present one out of the list.
#[tokio::test]
async fn a_process_that_starts_again_writes_its_entry_anew() {
    let store = RecordStore::new(&first_record(), &[WriteFate::Done]);
    let earlier = engine(&store, None);
    follow_list(&earlier).await.expect("the store takes it");
    let left_behind = earlier.entry_version();

    let later = engine(&store, None);
    follow_list(&later).await.expect("the store takes it");

    assert!(left_behind.is_some() && later.entry_version().is_some());
    assert_ne!(later.entry_version(), left_behind);
}
