//! The list of instances.

use super::fixture::{RecordStore, WriteFate, engine};
use crate::duty::registry::{SeatFinding, follow_list};
use crate::identity::DrainPhase;
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::SeatLedger;
use rudder_core::LogTerm;
use std::sync::Arc;

/// A store whose list of instances is empty, and which counts writes.
fn store() -> Arc<RecordStore> {
    let primary = "a".parse().expect("a name");
    let phase = LeadPhase::Settled { primary, term: LogTerm(1), base: None };
    let record = LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase };
    RecordStore::new(&record, &[WriteFate::Refused])
}

#[tokio::test]
async fn an_instance_that_stops_does_not_enter_the_list_again() {
    // An instance is told to stop and leaves the list. Its next look at the list does not find it
    // there; if it wrote itself in again, it would end a moment later and stay listed.
    let store = store();
    let engine = engine(&store, None);
    engine.set_drain(DrainPhase::Leaving);

    let followed = follow_list(&engine, &mut SeatLedger::default()).await;

    assert_eq!(followed, Ok(SeatFinding::Left));
    assert_eq!(store.write_count(), 0);
}

#[tokio::test]
async fn an_instance_that_was_taken_out_of_the_list_enters_it_again() {
    // An instance was cut off for minutes and taken out of the list. It may not lead before it is
    // listed again, so it must see to that by itself.
    let store = store();
    let engine = engine(&store, None);

    let followed = follow_list(&engine, &mut SeatLedger::default()).await;

    assert!(followed.is_err(), "the store refuses writes");
    assert_eq!(store.write_count(), 1);
}
