//! Registration in the list of instances.

use super::fixture::{RecordStore, WriteOutcome, engine, first_record};
use crate::duty::registry::{RegistrationCheck, ensure_registered};
use crate::identity::DrainPhase;
use std::sync::Arc;

/// Returns a store whose list of instances is empty, and which rejects and counts writes.
fn store() -> Arc<RecordStore> {
    RecordStore::new(&first_record(), &[WriteOutcome::Refused])
}

#[tokio::test]
async fn stopping_instance_does_not_register_again() {
    // A stopping instance removes its entry, and its next read of the list lacks it. If it
    // registered again, it would stop a moment later and its entry would stay.
    let store = store();
    let engine = engine(&store, None);
    engine.set_drain_phase(DrainPhase::Leaving);

    let followed = ensure_registered(&engine).await;

    assert_eq!(followed, Ok(RegistrationCheck::Stopping));
    assert_eq!(store.write_count(), 0);
}

#[tokio::test]
async fn removed_instance_registers_again() {
    // An instance that was partitioned for minutes is removed from the list. It gets no lease until
    // it is listed again, so it must register by itself.
    let store = store();
    let engine = engine(&store, None);

    let followed = ensure_registered(&engine).await;

    assert!(followed.is_err(), "the store refuses writes");
    assert_eq!(store.write_count(), 1);
}

/// Otherwise a delayed removal by the earlier process could remove the entry of the current one.
#[tokio::test]
async fn a_restarted_process_rewrites_its_entry() {
    let store = RecordStore::new(&first_record(), &[WriteOutcome::Done]);
    let earlier = engine(&store, None);
    ensure_registered(&earlier).await.expect("the store takes it");
    let earlier_version = earlier.entry_version();

    let later = engine(&store, None);
    ensure_registered(&later).await.expect("the store takes it");

    assert!(earlier_version.is_some() && later.entry_version().is_some());
    assert_ne!(later.entry_version(), earlier_version);
}
