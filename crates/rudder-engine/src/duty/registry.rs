//! The list of instances in the store.

use crate::engine::ProxyEngine;
use crate::peers::PeerSeat;
use rudder_core::{DomainName, InstanceName};
use rudder_store::{ObjectKind, StoreError, StoredObject};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two reads of the list. Instances learn of each other by their pulses as
/// well, so the list only has to be there for the first of them.
const READER_GAP: Duration = Duration::from_secs(4);

/// The same for instances that others do not rely on.
const FOLLOWER_GAP: Duration = Duration::from_secs(30);

/// The pause before registering is tried again, and between the first reads.
const AGAIN_PAUSE: Duration = Duration::from_millis(200);

/// The most time for one call.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// Reads soon after the start, while others start as well.
const FIRST_READS: u32 = 3;

/// What the store keeps of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeatRecord {
    domain: DomainName,
    peer_address: SocketAddr,
}

/// Registers this instance, then follows the list.
pub(crate) async fn keep_registered(engine: Arc<ProxyEngine>) {
    while let Err(error) = register(&engine).await {
        log::warn!(reason:% = error; "this instance is not registered yet");
        tokio::time::sleep(AGAIN_PAUSE).await;
    }
    engine.set_registered(true);
    log::info!(instance:% = engine.identity().name; "this instance is registered");
    let mut reads = 0_u32;
    loop {
        if let Err(error) = read_seats(&engine).await {
            log::info!(reason:% = error; "the list of instances was not read");
        }
        reads = reads.saturating_add(1);
        let gap = match reads {
            ..FIRST_READS => AGAIN_PAUSE * 2,
            _ if engine.is_reader() => READER_GAP,
            _ => FOLLOWER_GAP,
        };
        tokio::time::sleep(gap).await;
    }
}

async fn register(engine: &ProxyEngine) -> Result<(), StoreError> {
    let identity = engine.identity();
    let seat = SeatRecord { domain: identity.domain.clone(), peer_address: identity.peer_address };
    let spec = serde_json::to_value(&seat).map_err(|e| StoreError::Refused(e.to_string()))?;
    let store = &engine.borders().store;
    let name = identity.name.as_str();
    let kind = ObjectKind::InstanceRecord;
    let created = limited(CALL_LIMIT, store.put(kind, name, None, spec.clone())).await;
    if !matches!(created, Err(StoreError::Conflict | StoreError::Unresolved)) {
        return created.map(|_| ());
    }
    match limited(CALL_LIMIT, store.get(kind, name)).await? {
        Some(known) if known.spec == spec => Ok(()),
        Some(known) => {
            limited(CALL_LIMIT, store.put(kind, name, Some(&known.version), spec)).await.map(|_| ())
        }
        None => Err(StoreError::Unresolved),
    }
}

/// Reads the list of instances from the store.
pub(super) async fn read_seats(engine: &ProxyEngine) -> Result<(), StoreError> {
    let objects =
        limited(CALL_LIMIT, engine.borders().store.list(ObjectKind::InstanceRecord)).await?;
    engine.board().set_seats(objects.iter().filter_map(read_seat).collect());
    Ok(())
}

fn read_seat(object: &StoredObject) -> Option<PeerSeat> {
    let instance = object.name.parse::<InstanceName>();
    let seat = serde_json::from_value::<SeatRecord>(object.spec.clone());
    let (Ok(instance), Ok(seat)) = (instance, seat) else {
        log::warn!(object:% = object.name; "an instance's entry is unreadable");
        return None;
    };
    Some(PeerSeat { instance, domain: seat.domain, address: seat.peer_address })
}

/// Removes this instance from the list.
pub(super) async fn deregister(engine: &ProxyEngine) {
    engine.set_registered(false);
    let store = &engine.borders().store;
    let name = engine.identity().name.as_str();
    let kind = ObjectKind::InstanceRecord;
    let removal = async {
        match limited(CALL_LIMIT, store.get(kind, name)).await? {
            Some(known) => limited(CALL_LIMIT, store.delete(kind, name, &known.version)).await,
            None => Ok(()),
        }
    };
    if let Err(error) = removal.await {
        // A change of primary then waits for a permit's life instead of for this one's word.
        log::warn!(reason:% = error; "this instance stays in the list of instances");
    }
}

/// A call to the store with a bound; what came of a call without an answer is not known.
pub(super) async fn limited<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, call).await.unwrap_or(Err(StoreError::Unresolved))
}
