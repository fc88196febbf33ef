//! The list of instances in the store.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::identity::DrainPhase;
use crate::peers::{EntryLedger, EntryVerdict, PeerEntry};
use rudder_core::{DomainName, InstanceName};
use rudder_store::{ObjectKind, ObjectVersion, StoreError, StoredObject};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two reads of the list. Instances learn of each other by their heartbeats as
/// well, so the list only has to be there for the first of them.
const READER_GAP: Duration = Duration::from_secs(4);

/// The same for instances that others do not rely on.
const FOLLOWER_GAP: Duration = Duration::from_secs(30);

/// The pause before a first read or entry that failed is tried again.
const AGAIN_PAUSE: Duration = Duration::from_millis(200);

/// The pause between writing the entry and the next read. Instances that start at the same moment
/// have written theirs by then, so that each knows its neighbours.
const ENTERED_GAP: Duration = Duration::from_millis(150);

/// The pause after the first read that shows the entry. Starts lie within 0.3 s, and an entry takes
/// two round trips between regions, so that all who started together are listed by then.
const SECOND_GAP: Duration = Duration::from_millis(800);

/// The most time for one call.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// What the store keeps of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    domain: DomainName,
    peer_address: SocketAddr,
    /// Whether others have not heard the instance for long, and it is to say whether it lives.
    #[serde(default)]
    marked: bool,
}

impl EntryRecord {
    fn to_spec(&self) -> Result<serde_json::Value, StoreError> {
        serde_json::to_value(self).map_err(|error| StoreError::Refused(error.to_string()))
    }
}

/// What a look at the list found of the own entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryFinding {
    /// It stood there without a mark.
    Stood,
    /// It did not, and was written.
    Entered,
    /// It did not, and stays away, as this instance stops.
    Left,
}

/// Enters the list if need be, and follows it.
///
/// The list is read before the entry is written: an instance that starts again finds its entry
/// there, and leads one read after its start where a write that is refused and a look at what
/// stands there take two round trips to the store more.
pub(crate) async fn keep_registered(engine: Arc<ProxyEngine>) {
    let mut ledger = EntryLedger::default();
    let mut stood = false;
    loop {
        let found = follow_list(&engine, &mut ledger).await;
        let gap = match &found {
            Ok(EntryFinding::Entered) => ENTERED_GAP,
            Ok(_) if !stood => SECOND_GAP,
            Ok(_) if !engine.is_reader() => FOLLOWER_GAP,
            Ok(_) => READER_GAP,
            Err(error) => {
                log::info!(reason:% = error; "the list of instances was not read or written");
                if stood { READER_GAP } else { AGAIN_PAUSE }
            }
        };
        if !stood && matches!(found, Ok(EntryFinding::Stood | EntryFinding::Entered)) {
            log::info!(instance:% = engine.identity().name; "this instance is registered");
        }
        stood = stood || found == Ok(EntryFinding::Stood);
        tokio::time::sleep(gap).await;
    }
}

/// Reads the list, keeps this instance in it, and as a reader takes those out that are gone.
pub(super) async fn follow_list(
    engine: &ProxyEngine,
    ledger: &mut EntryLedger,
) -> Result<EntryFinding, StoreError> {
    let entries = read_entries(engine).await?;
    let own = &engine.identity().name;
    let found = if entries.iter().any(|(entry, _)| is_own(engine, entry) && !entry.marked) {
        EntryFinding::Stood
    } else if engine.drain_phase() == DrainPhase::Serving {
        log::info!(instance:% = own; "this instance is not in the list, or marked there");
        register(engine).await?;
        EntryFinding::Entered
    } else {
        // Guards against an instance that stops and enters the list again, which nobody would take
        // out for two minutes, with a lease's wait in each change of primary.
        EntryFinding::Left
    };
    let names: Vec<InstanceName> =
        entries.iter().map(|(entry, _)| entry.instance.clone()).collect();
    ledger.retain(&names);
    let near =
        |entry: &PeerEntry| entry.domain == engine.identity().domain && entry.instance != *own;
    for (entry, version) in entries.iter().filter(|(entry, _)| engine.is_reader() && near(entry)) {
        let heard_at = engine.membership().heard_at(&entry.instance);
        let now = boot_time();
        match ledger.judge(&entry.instance, &version.0, entry.marked, heard_at, now) {
            EntryVerdict::Keep => {}
            EntryVerdict::Mark => mark(engine, entry, version).await?,
            EntryVerdict::Remove => remove(engine, &entry.instance, version).await?,
        }
    }
    Ok(found)
}

/// Whether an entry is this instance's, at its present address.
fn is_own(engine: &ProxyEngine, entry: &PeerEntry) -> bool {
    let identity = engine.identity();
    entry.instance == identity.name
        && entry.address == identity.peer_address
        && entry.domain == identity.domain
}

async fn mark(
    engine: &ProxyEngine,
    entry: &PeerEntry,
    version: &ObjectVersion,
) -> Result<(), StoreError> {
    let record =
        EntryRecord { domain: entry.domain.clone(), peer_address: entry.address, marked: true };
    let spec = record.to_spec()?;
    let store = &engine.borders().store;
    let kind = ObjectKind::InstanceRecord;
    let put = store.put(kind, entry.instance.as_str(), Some(version), spec);
    log::info!(instance:% = entry.instance; "an instance is not heard any more, and is marked");
    limited(CALL_LIMIT, put).await.map(|_| ())
}

async fn remove(
    engine: &ProxyEngine,
    instance: &InstanceName,
    version: &ObjectVersion,
) -> Result<(), StoreError> {
    log::info!(instance:% = instance; "an instance that is gone is taken out of the list");
    let store = &engine.borders().store;
    let kind = ObjectKind::InstanceRecord;
    limited(CALL_LIMIT, store.delete(kind, instance.as_str(), version)).await
}

async fn register(engine: &ProxyEngine) -> Result<(), StoreError> {
    let sent_at = boot_time();
    write_entry(engine).await?;
    engine.set_listed(Some(sent_at));
    Ok(())
}

async fn write_entry(engine: &ProxyEngine) -> Result<(), StoreError> {
    let identity = engine.identity();
    let entry = EntryRecord {
        domain: identity.domain.clone(),
        peer_address: identity.peer_address,
        marked: false,
    };
    let spec = entry.to_spec()?;
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

/// Reads the list of instances from the store, each with the version of its entry.
pub(super) async fn read_entries(
    engine: &ProxyEngine,
) -> Result<Vec<(PeerEntry, ObjectVersion)>, StoreError> {
    let sent_at = boot_time();
    let list = engine.borders().store.list(ObjectKind::InstanceRecord);
    let objects = limited(CALL_LIMIT, list).await?;
    let entries: Vec<(PeerEntry, ObjectVersion)> = objects
        .iter()
        .filter_map(|object| Some((read_entry(object)?, object.version.clone())))
        .collect();
    let own = entries.iter().find(|(entry, _)| is_own(engine, entry));
    match own {
        Some((own, _)) if !own.marked => engine.set_listed(Some(sent_at)),
        // Leads on what an earlier read showed, until the mark is taken away or time runs out.
        Some(_) => {}
        None => engine.set_listed(None),
    }
    engine
        .membership()
        .set_entries(entries.iter().map(|(entry, _)| entry.clone()).collect(), sent_at);
    Ok(entries)
}

fn read_entry(object: &StoredObject) -> Option<PeerEntry> {
    let instance = object.name.parse::<InstanceName>();
    let entry = serde_json::from_value::<EntryRecord>(object.spec.clone());
    let (Ok(instance), Ok(entry)) = (instance, entry) else {
        log::warn!(object:% = object.name; "an instance's entry is unreadable");
        return None;
    };
    let (domain, address, marked) = (entry.domain, entry.peer_address, entry.marked);
    Some(PeerEntry { instance, domain, address, marked })
}

/// Removes this instance from the list.
pub(super) async fn deregister(engine: &ProxyEngine) {
    engine.leave_list();
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
        // A change of primary then waits for a lease's life instead of for this one's word.
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
