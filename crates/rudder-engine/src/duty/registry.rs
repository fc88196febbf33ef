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
const LIST_READ_INTERVAL: Duration = Duration::from_secs(10);

/// The same while the list changes, as when a fleet starts.
const CHANGING_LIST_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The pause between two looks of a reader for entries of its failure domain that are left over.
const STALE_ENTRY_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// How long an instance that nobody tells of its own entry goes without a look at the list. Below
/// [`LISTED_LIFE`] by some reads that fail.
const UNCONFIRMED_ENTRY_TIMEOUT: Duration = Duration::from_secs(20);

/// The pause before a first read or entry that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The pause between two looks whether a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The pause between writing the entry and the next read. Instances that start at the same moment
/// have written theirs by then, so that each knows its neighbours.
const CONTACT_READ_DELAY: Duration = Duration::from_millis(150);

/// The most time for one call.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

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
pub(super) enum RegistrationCheck {
    /// It stood there without a mark.
    Present,
    /// It did not, and was written.
    Registered,
    /// It did not, and stays away, as this instance stops.
    Stopping,
}

/// When the list was last read, and by which calls.
#[derive(Debug, Default)]
struct ListState {
    read_at: Option<Duration>,
    checked_at: Option<Duration>,
    /// Whether the last read showed another list than the one before.
    changing: bool,
    ledger: EntryLedger,
}

/// Enters the list, finds neighbours, and sees to it that the list stays right.
///
/// The list itself is read by the first reader, and handed on from instance to instance.
pub(crate) async fn keep_registered(engine: Arc<ProxyEngine>) {
    let (_, found) = tokio::join!(register_until_accepted(&engine), find_contacts(&engine));
    if !found {
        tokio::time::sleep(CONTACT_READ_DELAY).await;
        retry_contacts(&engine).await;
    }
    let mut state = ListState::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Err(error) = read_list_if_due(&engine, &mut state).await {
            log::info!(reason:% = error; "the list of instances was not read or written");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Writes this instance's entry until it stands.
async fn register_until_accepted(engine: &ProxyEngine) {
    while engine.drain_phase() == DrainPhase::Serving {
        match register(engine).await {
            Ok(()) => {
                log::info!(instance:% = engine.identity().name; "this instance is registered");
                return;
            }
            Err(error) => {
                log::info!(reason:% = error; "this instance could not be registered; retrying");
                tokio::time::sleep(RETRY_DELAY).await;
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
    match with_timeout(CALL_TIMEOUT, list).await {
        Ok(objects) => {
            let contacts: Vec<PeerEntry> = objects.iter().filter_map(read_entry).collect();
            let own = &engine.identity().name;
            let found = contacts.iter().any(|entry| entry.instance != *own);
            engine.membership().set_contacts(contacts);
            found
        }
        Err(error) => {
            log::info!(reason:% = error; "the cached list of instances was not read");
            false
        }
    }
}

/// Learns of those who have started at the same time, for the first time.
async fn retry_contacts(engine: &ProxyEngine) {
    if find_contacts(engine).await {
        return;
    }
    if let Err(error) = read_entries(engine).await {
        log::info!(reason:% = error; "the list of instances was not read");
    }
}

/// Reads the list if it is this instance's turn.
async fn read_list_if_due(engine: &ProxyEngine, state: &mut ListState) -> Result<(), StoreError> {
    let now = boot_time();
    let is_over = |at: Option<Duration>, gap| at.is_none_or(|at| now >= at + gap);
    let gap = if state.changing { CHANGING_LIST_READ_INTERVAL } else { LIST_READ_INTERVAL };
    let reads = engine.membership().is_first_reader() && is_over(state.read_at, gap);
    let unconfirmed = engine.is_unregistered_for(UNCONFIRMED_ENTRY_TIMEOUT)
        && is_over(state.read_at, CHANGING_LIST_READ_INTERVAL);
    if reads || unconfirmed {
        let (before, _) = engine.membership().entries_version();
        state.read_at = Some(now);
        ensure_registered(engine).await?;
        state.changing = before != engine.membership().entries_version().0;
    }
    if engine.membership().is_reader() && is_over(state.checked_at, STALE_ENTRY_CHECK_INTERVAL) {
        let first = state.checked_at.is_none();
        state.checked_at = Some(now);
        // What an instance has just learnt of tells nothing of how long it has been silent.
        if !first {
            check_stale_entries(engine, &mut state.ledger).await?;
        }
    }
    Ok(())
}

/// Reads the list, and keeps this instance in it.
pub(super) async fn ensure_registered(
    engine: &ProxyEngine,
) -> Result<RegistrationCheck, StoreError> {
    let entries = read_entries(engine).await?;
    if entries.iter().any(|entry| is_own(engine, entry) && !entry.marked) {
        return Ok(RegistrationCheck::Present);
    }
    if engine.drain_phase() != DrainPhase::Serving {
        // Guards against an instance that stops and enters the list again, which nobody would take
        // out for two minutes, with a lease's wait in each change of primary.
        return Ok(RegistrationCheck::Stopping);
    }
    log::info!(instance:% = engine.identity().name; "this instance is not in the list, or marked there");
    register(engine).await?;
    Ok(RegistrationCheck::Registered)
}

/// Takes instances of the own failure domain out of the list that are gone. The list that is looked
/// at may be old: each change names the version of the entry that was seen.
async fn check_stale_entries(
    engine: &ProxyEngine,
    ledger: &mut EntryLedger,
) -> Result<(), StoreError> {
    let list = engine.borders().store.list_cached(ObjectKind::InstanceRecord);
    let objects = with_timeout(CALL_TIMEOUT, list).await?;
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
            EntryVerdict::Mark => mark_entry(engine, entry, version).await?,
            EntryVerdict::Remove => remove_entry(engine, &entry.instance, version).await?,
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

async fn mark_entry(
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
    log::info!(instance:% = entry.instance; "marking an unresponsive instance in the list of instances");
    with_timeout(CALL_TIMEOUT, put).await.map(|_| ())
}

async fn remove_entry(
    engine: &ProxyEngine,
    instance: &InstanceName,
    version: &ObjectVersion,
) -> Result<(), StoreError> {
    log::info!(instance:% = instance; "an instance that is gone is taken out of the list");
    let store = &engine.borders().store;
    let kind = ObjectKind::InstanceRecord;
    with_timeout(CALL_TIMEOUT, store.delete(kind, instance.as_str(), version)).await
}

async fn register(engine: &ProxyEngine) -> Result<(), StoreError> {
    let sent_at = boot_time();
    let version = write_entry(engine).await?;
    engine.record_entry_version(version);
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
    let known = with_timeout(CALL_TIMEOUT, store.create_or_get(kind, name, spec.clone())).await?;
    if known.spec == spec {
        return Ok(known.version);
    }
    let written =
        with_timeout(CALL_TIMEOUT, store.put(kind, name, Some(&known.version), spec)).await?;
    Ok(written.version)
}

/// Reads the list of instances from the store.
pub(super) async fn read_entries(engine: &ProxyEngine) -> Result<Vec<PeerEntry>, StoreError> {
    let sent_at = boot_time();
    let list = engine.borders().store.list(ObjectKind::InstanceRecord);
    let objects = with_timeout(CALL_TIMEOUT, list).await?;
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
        log::warn!(object:% = object.name; "an entry in the list of instances cannot be parsed");
        return None;
    };
    let (domain, address, marked) = (entry.domain, entry.peer_address, entry.marked);
    Some(PeerEntry { instance, domain, address, marked })
}

/// Removes this instance from the list.
pub(super) async fn deregister(engine: &ProxyEngine) {
    engine.begin_deregistration();
    let Some(version) = engine.entry_version() else { return };
    if let Err(error) = remove_own_entry(engine, &version).await {
        // A change of primary then waits for a lease's life instead of for this one's word.
        log::warn!(reason:% = error; "this instance was not removed from the list of instances");
    }
}

async fn remove_own_entry(engine: &ProxyEngine, version: &ObjectVersion) -> Result<(), StoreError> {
    let store = &engine.borders().store;
    let name = engine.identity().name.as_str();
    let kind = ObjectKind::InstanceRecord;
    let removed = with_timeout(CALL_TIMEOUT, store.delete(kind, name, version)).await;
    if removed != Err(StoreError::Conflict) {
        return removed;
    }
    // Another instance has marked the entry.
    match with_timeout(CALL_TIMEOUT, store.get(kind, name)).await? {
        Some(known) => with_timeout(CALL_TIMEOUT, store.delete(kind, name, &known.version)).await,
        None => Ok(()),
    }
}

/// A call to the store with a bound; what came of a call without an answer is not known.
pub(super) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, call).await.unwrap_or(Err(StoreError::Unresolved))
}
