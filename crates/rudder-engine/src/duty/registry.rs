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

/// The pause between two reads of the list by the first reader, from whom the others have it.
const FIRST_READER_GAP: Duration = Duration::from_secs(10);

/// The same while the list changes, as when a fleet starts.
const CHANGING_GAP: Duration = Duration::from_millis(500);

/// The pause between two looks of a reader for entries of its failure domain that are left over.
const JUDGE_GAP: Duration = Duration::from_secs(30);

/// How long an instance that nobody tells of its own entry goes without a look at the list. Below
/// [`LISTED_LIFE`] by some reads that fail.
const UNTOLD_TIME: Duration = Duration::from_secs(20);

/// The pause before a first read or entry that failed is tried again.
const AGAIN_PAUSE: Duration = Duration::from_millis(200);

/// The pause between two looks whether a read is due.
const LOOK_GAP: Duration = Duration::from_millis(250);

/// The pause between writing the entry and the next read. Instances that start at the same moment
/// have written theirs by then, so that each knows its neighbours.
const ENTERED_GAP: Duration = Duration::from_millis(150);

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
    /// Tells the instance's process from its earlier and later ones; zero where it was marked.
    #[serde(default)]
    process: u64,
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

/// When the list was last read, and by which calls.
#[derive(Debug, Default)]
struct ListState {
    read_at: Option<Duration>,
    judged_at: Option<Duration>,
    /// Whether the last read showed another list than the one before.
    changing: bool,
    ledger: EntryLedger,
}

/// Enters the list, finds neighbours, and sees to it that the list stays right.
///
/// The list itself is read by the first reader, and handed on from instance to instance.
pub(crate) async fn keep_registered(engine: Arc<ProxyEngine>) {
    let (_, found) = tokio::join!(enter(&engine), find_contacts(&engine));
    if !found {
        tokio::time::sleep(ENTERED_GAP).await;
        meet_newcomers(&engine).await;
    }
    let mut state = ListState::default();
    loop {
        tokio::time::sleep(LOOK_GAP).await;
        if let Err(error) = look_if_due(&engine, &mut state).await {
            log::info!(reason:% = error; "the list of instances was not read or written");
            tokio::time::sleep(AGAIN_PAUSE).await;
        }
    }
}

/// Writes this instance's entry until it stands.
async fn enter(engine: &ProxyEngine) {
    while engine.drain_phase() == DrainPhase::Serving {
        match register(engine).await {
            Ok(()) => {
                log::info!(instance:% = engine.identity().name; "this instance is registered");
                return;
            }
            Err(error) => {
                log::info!(reason:% = error; "the list of instances was not written");
                tokio::time::sleep(AGAIN_PAUSE).await;
            }
        }
    }
}

/// Learns of others by a list that may be some seconds old; returns whether there are any.
///
/// Load pattern: a whole fleet loses power and returns. Most of what the list says then is what it
/// said before, and a call that need not be exact is cheap.
async fn find_contacts(engine: &ProxyEngine) -> bool {
    let list = engine.borders().store.list_cached(ObjectKind::InstanceRecord);
    match limited(CALL_LIMIT, list).await {
        Ok(objects) => {
            let contacts: Vec<PeerEntry> = objects.iter().filter_map(read_entry).collect();
            let own = &engine.identity().name;
            let found = contacts.iter().any(|entry| entry.instance != *own);
            engine.membership().set_contacts(contacts);
            found
        }
        Err(error) => {
            log::info!(reason:% = error; "no neighbours were found");
            false
        }
    }
}

/// Learns of those who have started at the same time, for the first time.
async fn meet_newcomers(engine: &ProxyEngine) {
    if find_contacts(engine).await {
        return;
    }
    if let Err(error) = read_entries(engine).await {
        log::info!(reason:% = error; "the list of instances was not read");
    }
}

/// Reads the list if it is this instance's turn.
async fn look_if_due(engine: &ProxyEngine, state: &mut ListState) -> Result<(), StoreError> {
    let now = boot_time();
    let is_over = |at: Option<Duration>, gap| at.is_none_or(|at| now >= at + gap);
    let gap = if state.changing { CHANGING_GAP } else { FIRST_READER_GAP };
    let reads = engine.membership().is_first_reader() && is_over(state.read_at, gap);
    let untold = engine.is_unlisted_for(UNTOLD_TIME) && is_over(state.read_at, CHANGING_GAP);
    if reads || untold {
        let (before, _) = engine.membership().entries_version();
        state.read_at = Some(now);
        follow_list(engine).await?;
        state.changing = before != engine.membership().entries_version().0;
    }
    if engine.membership().is_reader() && is_over(state.judged_at, JUDGE_GAP) {
        let first = state.judged_at.is_none();
        state.judged_at = Some(now);
        // What an instance has just learnt of tells nothing of how long it has been silent.
        if !first {
            judge_neighbours(engine, &mut state.ledger).await?;
        }
    }
    Ok(())
}

/// Reads the list, and keeps this instance in it.
pub(super) async fn follow_list(engine: &ProxyEngine) -> Result<EntryFinding, StoreError> {
    let entries = read_entries(engine).await?;
    if entries.iter().any(|entry| is_own(engine, entry) && !entry.marked) {
        return Ok(EntryFinding::Stood);
    }
    if engine.drain_phase() != DrainPhase::Serving {
        // Guards against an instance that stops and enters the list again, which nobody would take
        // out for two minutes, with a lease's wait in each change of primary.
        return Ok(EntryFinding::Left);
    }
    log::info!(instance:% = engine.identity().name; "this instance is not in the list, or marked there");
    register(engine).await?;
    Ok(EntryFinding::Entered)
}

/// Takes instances of the own failure domain out of the list that are gone. The list that is looked
/// at may be old: each change names the version of the entry that was seen.
async fn judge_neighbours(
    engine: &ProxyEngine,
    ledger: &mut EntryLedger,
) -> Result<(), StoreError> {
    let list = engine.borders().store.list_cached(ObjectKind::InstanceRecord);
    let objects = limited(CALL_LIMIT, list).await?;
    let entries: Vec<(PeerEntry, ObjectVersion)> = objects
        .iter()
        .filter_map(|object| Some((read_entry(object)?, object.version.clone())))
        .collect();
    let own = &engine.identity().name;
    let names: Vec<InstanceName> =
        entries.iter().map(|(entry, _)| entry.instance.clone()).collect();
    ledger.retain(&names);
    let near =
        |entry: &PeerEntry| entry.domain == engine.identity().domain && entry.instance != *own;
    for (entry, version) in entries.iter().filter(|(entry, _)| near(entry)) {
        let heard_at = engine.membership().heard_at(&entry.instance);
        let now = boot_time();
        match ledger.judge(&entry.instance, &version.0, entry.marked, heard_at, now) {
            EntryVerdict::Keep => {}
            EntryVerdict::Mark => mark(engine, entry, version).await?,
            EntryVerdict::Remove => remove(engine, &entry.instance, version).await?,
        }
    }
    Ok(())
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
    let record = EntryRecord {
        domain: entry.domain.clone(),
        peer_address: entry.address,
        marked: true,
        process: 0,
    };
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
    let version = write_entry(engine).await?;
    engine.note_entry_version(version);
    engine.set_listed(Some(sent_at));
    Ok(())
}

/// Writes this instance's entry, also if an earlier process of it has left one there; returns its
/// version.
///
/// Guards against the removal by that process, which may take effect seconds after it was sent: it
/// names the version before, and would take this process out of the list without its knowledge.
async fn write_entry(engine: &ProxyEngine) -> Result<ObjectVersion, StoreError> {
    let identity = engine.identity();
    let entry = EntryRecord {
        domain: identity.domain.clone(),
        peer_address: identity.peer_address,
        marked: false,
        process: engine.process(),
    };
    let spec = entry.to_spec()?;
    let store = &engine.borders().store;
    let name = identity.name.as_str();
    let kind = ObjectKind::InstanceRecord;
    let known = limited(CALL_LIMIT, store.create_or_get(kind, name, spec.clone())).await?;
    if known.spec == spec {
        return Ok(known.version);
    }
    let written = limited(CALL_LIMIT, store.put(kind, name, Some(&known.version), spec)).await?;
    Ok(written.version)
}

/// Reads the list of instances from the store.
pub(super) async fn read_entries(engine: &ProxyEngine) -> Result<Vec<PeerEntry>, StoreError> {
    let sent_at = boot_time();
    let list = engine.borders().store.list(ObjectKind::InstanceRecord);
    let objects = limited(CALL_LIMIT, list).await?;
    let entries: Vec<PeerEntry> = objects.iter().filter_map(read_entry).collect();
    let own = entries.iter().find(|entry| is_own(engine, entry));
    match own {
        Some(own) if !own.marked => engine.set_listed(Some(sent_at)),
        // Leads on what an earlier read showed, until the mark is taken away or time runs out.
        Some(_) => {}
        None => engine.set_listed(None),
    }
    engine.membership().set_entries(entries.clone(), sent_at);
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
    let Some(version) = engine.entry_version() else { return };
    if let Err(error) = remove_own(engine, &version).await {
        // A change of primary then waits for a lease's life instead of for this one's word.
        log::warn!(reason:% = error; "this instance stays in the list of instances");
    }
}

async fn remove_own(engine: &ProxyEngine, version: &ObjectVersion) -> Result<(), StoreError> {
    let store = &engine.borders().store;
    let name = engine.identity().name.as_str();
    let kind = ObjectKind::InstanceRecord;
    let removed = limited(CALL_LIMIT, store.delete(kind, name, version)).await;
    if removed != Err(StoreError::Conflict) {
        return removed;
    }
    // Another instance has marked the entry.
    match limited(CALL_LIMIT, store.get(kind, name)).await? {
        Some(known) => limited(CALL_LIMIT, store.delete(kind, name, &known.version)).await,
        None => Ok(()),
    }
}

/// A call to the store with a bound; what came of a call without an answer is not known.
pub(super) async fn limited<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, call).await.unwrap_or(Err(StoreError::Unresolved))
}
