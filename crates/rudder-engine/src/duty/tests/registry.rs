//! Registration in the list of instances.

use super::fixture::{RecordStore, WriteOutcome, engine, engine_of, first_record};
use crate::duty::registry::{RegistrationCheck, ensure_registered, read_entry};
use crate::fixtures::identity;
use crate::identity::{DrainPhase, InstanceIdentity};
use rudder_decisions::InstanceCapacity;
use rudder_store::{ObjectKind, ObjectVersion, PlatformStore, StoredObject};
use serde_json::{Value, json};
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

fn entry_object(spec: Value) -> StoredObject {
    StoredObject { name: "other".to_owned(), version: ObjectVersion("1".to_owned()), spec }
}

/// All instances rank the holders of connections by the capacities in the list.
#[tokio::test]
async fn an_entry_states_the_capacity_of_the_machine() {
    let store = RecordStore::new(&first_record(), &[WriteOutcome::Done]);
    let capacity = Some(InstanceCapacity(250));
    let engine = engine_of(&store, None, InstanceIdentity { capacity, ..identity("own") });

    ensure_registered(&engine).await.expect("the store takes it");

    let object = store.get(ObjectKind::InstanceRecord, "own").await.expect("a read");
    assert_eq!(
        read_entry(&engine, &object.expect("an entry")).expect("it is valid").capacity,
        capacity
    );
}

/// An entry that cannot be parsed is not in the list, and changes of primary do not wait for its
/// instance: an older build's entry, or a malformed capacity, must not have that effect.
#[test]
fn entries_without_a_valid_capacity_are_read() {
    let spec = json!({"domain": "north", "peer_address": "127.0.0.1:9", "marked": true});
    let invalid = [json!("large"), json!(-3), json!(0), json!(1e300), json!({}), Value::Null];

    let store = RecordStore::new(&first_record(), &[WriteOutcome::Done]);
    let engine = engine_of(&store, None, identity("own"));

    let older = read_entry(&engine, &entry_object(spec.clone())).expect("it is valid");
    assert!(older.marked && older.capacity.is_none());
    for capacity in invalid {
        let mut spec = spec.clone();
        spec["capacity"] = capacity;
        assert_eq!(read_entry(&engine, &entry_object(spec)).as_ref(), Some(&older));
    }
}
