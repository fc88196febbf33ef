//! Registration in the store's list of instances.

use crate::clock::boot_time;
use crate::engine::{ProxyEngine, shorten};
use crate::identity::DrainPhase;
use crate::peers::{EntryDecision, EntryLedger, PeerEntry};
use rudder_core::{DomainName, InstanceName};
use rudder_decisions::InstanceCapacity;
use rudder_store::{ObjectKind, ObjectVersion, StoreError, StoredObject};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between reads of the list by the fleet reader, which passes it on to the others.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between reads while the list changes, for example when a fleet starts.
const CHANGING_LIST_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between a reader's checks for stale entries of its failure domain.
const STALE_ENTRY_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Time without confirmation of its entry after which an instance reads the list itself. Below
/// the validity of a registration (see `peers::entries`) by the time of several failed reads.
const UNCONFIRMED_ENTRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay before a failed read or registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between checks whether a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Delay between the registration and the next read. Instances that start at the same time have
/// registered by then, so that each finds the others.
const CONTACT_READ_DELAY: Duration = Duration::from_millis(150);

/// Timeout of one store call.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Entry of an instance in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    domain: DomainName,
    peer_address: SocketAddr,
    /// Whether another instance has marked the entry because it received nothing from the entry's
    /// instance for a long time. An instance that is running rewrites its entry without the mark.
    #[serde(default)]
    marked: bool,
    /// Identifier of the instance's process; zero in an entry that was marked.
    #[serde(default)]
    process: u64,
    /// Capacity of the machine; absent in entries of older builds, which ignore it. Any value is
    /// parsed, as changes of primary wait for the instance of each entry that is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    capacity: Option<serde_json::Value>,
}

impl EntryRecord {
    fn to_spec(&self) -> Result<serde_json::Value, StoreError> {
        serde_json::to_value(self).map_err(|error| StoreError::Refused(error.to_string()))
    }
}

/// Result of checking this instance's entry in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RegistrationCheck {
    /// The entry was in the list without a mark.
    Present,
    /// The entry was missing or marked, and was written.
    Registered,
    /// The entry was missing or marked, and was not written because this instance is shutting down.
    Stopping,
}

/// State of the periodic reads and checks of the list.
#[derive(Debug, Default)]
struct ListState {
    read_at: Option<Duration>,
    checked_at: Option<Duration>,
    /// Whether the last read showed a list that differs from the previous one.
    changing: bool,
    ledger: EntryLedger,
}

/// Registers this instance, finds other instances and keeps the list correct.
///
/// The fleet reader reads the list; the others receive it from their peers.
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

/// Retries the registration until it succeeds or this instance shuts down.
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

/// Reads other instances from a cached list that may be some seconds old. Returns whether there are
/// any.
///
/// Load pattern: a whole fleet loses power and restarts. Most entries are then as they were before,
/// and a read that may be served from a cache is cheap.
async fn find_contacts(engine: &ProxyEngine) -> bool {
    let list = engine.dependencies().store.list_cached(ObjectKind::InstanceRecord);
    match with_timeout(CALL_TIMEOUT, list).await {
        Ok(objects) => {
            let contacts: Vec<PeerEntry> =
                objects.iter().filter_map(|object| read_entry(engine, object)).collect();
            let own = &engine.identity().name;
            let found = contacts.iter().any(|entry| entry.instance != *own);
            engine.membership().set_contacts(contacts);
            engine.record_contacts_read();
            found
        }
        Err(error) => {
            log::info!(reason:% = error; "the cached list of instances was not read");
            engine.record_contacts_read();
            false
        }
    }
}

/// Reads the cached list again, and the current list if that still shows no other instance.
async fn retry_contacts(engine: &ProxyEngine) {
    if find_contacts(engine).await {
        return;
    }
    if let Err(error) = read_entries(engine).await {
        log::info!(reason:% = error; "the list of instances was not read");
    }
}

/// Reads the list and checks for stale entries, if either is due on this instance.
async fn read_list_if_due(engine: &ProxyEngine, state: &mut ListState) -> Result<(), StoreError> {
    let now = boot_time();
    let is_over = |at: Option<Duration>, gap| at.is_none_or(|at| now >= at + gap);
    let gap = if state.changing { CHANGING_LIST_READ_INTERVAL } else { LIST_READ_INTERVAL };
    let reads = engine.membership().is_fleet_reader() && is_over(state.read_at, gap);
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
        // This instance has only just started to receive heartbeats, so it cannot know yet for how
        // long others have sent none.
        if !first {
            check_stale_entries(engine, &mut state.ledger).await?;
        }
    }
    Ok(())
}

/// Reads the list, and registers this instance again if its entry is missing or marked.
pub(super) async fn ensure_registered(
    engine: &ProxyEngine,
) -> Result<RegistrationCheck, StoreError> {
    let entries = read_entries(engine).await?;
    if entries.iter().any(|entry| is_own(engine, entry) && !entry.marked) {
        return Ok(RegistrationCheck::Present);
    }
    if engine.drain_phase() != DrainPhase::Serving {
        // The entry of an instance that registers while it shuts down would stay for two minutes,
        // and each change of primary would wait for its lease to expire.
        return Ok(RegistrationCheck::Stopping);
    }
    log::info!(
        instance:% = engine.identity().name;
        "this instance is missing from the list of instances, or marked for removal; registering"
    );
    register(engine).await?;
    Ok(RegistrationCheck::Registered)
}

/// Marks and removes entries of unresponsive instances in this failure domain. The list may come
/// from a cache, so each change is conditional on the version of the entry that was read.
async fn check_stale_entries(
    engine: &ProxyEngine,
    ledger: &mut EntryLedger,
) -> Result<(), StoreError> {
    let list = engine.dependencies().store.list_cached(ObjectKind::InstanceRecord);
    let objects = with_timeout(CALL_TIMEOUT, list).await?;
    let entries: Vec<(PeerEntry, ObjectVersion)> = objects
        .iter()
        .filter_map(|object| Some((read_entry(engine, object)?, object.version.clone())))
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
        match ledger.decide(&entry.instance, &version.0, entry.marked, heard_at, now) {
            EntryDecision::Keep => {}
            EntryDecision::Mark => mark_entry(engine, entry, version).await?,
            EntryDecision::Remove => remove_entry(engine, &entry.instance, version).await?,
        }
    }
    Ok(())
}

/// Returns whether an entry is this instance's, with its current address and failure domain.
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
        capacity: entry.capacity.map(|capacity| capacity.0.into()),
    };
    let spec = record.to_spec()?;
    let store = &engine.dependencies().store;
    let kind = ObjectKind::InstanceRecord;
    let put = store.put(kind, entry.instance.as_str(), Some(version), spec);
    log::info!(
        instance:% = entry.instance; "marking an unresponsive instance in the list of instances"
    );
    with_timeout(CALL_TIMEOUT, put).await.map(|_| ())
}

async fn remove_entry(
    engine: &ProxyEngine,
    instance: &InstanceName,
    version: &ObjectVersion,
) -> Result<(), StoreError> {
    log::info!(
        instance:% = instance; "removing an unresponsive instance from the list of instances"
    );
    let store = &engine.dependencies().store;
    let kind = ObjectKind::InstanceRecord;
    with_timeout(CALL_TIMEOUT, store.delete(kind, instance.as_str(), version)).await
}

async fn register(engine: &ProxyEngine) -> Result<(), StoreError> {
    let sent_at = boot_time();
    let version = write_entry(engine).await?;
    engine.record_entry_version(version);
    engine.set_registered(Some(sent_at));
    Ok(())
}

/// Writes this instance's entry, replacing that of an earlier process, and returns its version. A
/// removal that the earlier process sent may take effect seconds later; as it names the old
/// version, it cannot remove the new entry.
async fn write_entry(engine: &ProxyEngine) -> Result<ObjectVersion, StoreError> {
    let identity = engine.identity();
    let entry = EntryRecord {
        domain: identity.domain.clone(),
        peer_address: identity.peer_address,
        marked: false,
        process: engine.process(),
        capacity: identity.capacity.map(|capacity| capacity.0.into()),
    };
    let spec = entry.to_spec()?;
    let store = &engine.dependencies().store;
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
    let list = engine.dependencies().store.list(ObjectKind::InstanceRecord);
    let objects = with_timeout(CALL_TIMEOUT, list).await?;
    let entries: Vec<PeerEntry> =
        objects.iter().filter_map(|object| read_entry(engine, object)).collect();
    let own = entries.iter().find(|entry| is_own(engine, entry));
    match own {
        Some(own) if !own.marked => engine.set_registered(Some(sent_at)),
        // The registration that an earlier read showed stays valid until the mark is cleared or the
        // registration expires.
        Some(_) => {}
        None => engine.set_registered(None),
    }
    engine.membership().set_entries(entries.clone(), sent_at);
    Ok(entries)
}

pub(super) fn read_entry(engine: &ProxyEngine, object: &StoredObject) -> Option<PeerEntry> {
    let instance = object.name.parse::<InstanceName>().map_err(|error| error.to_string());
    let entry = EntryRecord::deserialize(&object.spec).map_err(|error| error.to_string());
    let parsed = instance.and_then(|instance| Ok((instance, entry?)));
    let (instance, entry) =
        engine.report_invalid(ObjectKind::InstanceRecord, &object.name, parsed)?;
    let (domain, address, marked) = (entry.domain, entry.peer_address, entry.marked);
    let capacity = entry.capacity.and_then(|capacity| read_capacity(engine, &instance, &capacity));
    Some(PeerEntry { instance, domain, address, marked, capacity })
}

fn read_capacity(
    engine: &ProxyEngine,
    instance: &InstanceName,
    capacity: &serde_json::Value,
) -> Option<InstanceCapacity> {
    let number = capacity.as_u64().and_then(|number| u32::try_from(number).ok());
    let valid = number.filter(|number| *number > 0).map(InstanceCapacity);
    let field = format!("{instance}/capacity");
    if engine.record_validity(ObjectKind::InstanceRecord, &field, valid.is_some()) {
        log::warn!(
            instance:% = instance, capacity = shorten(&capacity.to_string()).as_str(),
            reason = "capacity_invalid";
            "the capacity in an entry of the list of instances is ignored"
        );
    }
    valid
}

/// Removes this instance from the list.
pub(super) async fn deregister(engine: &ProxyEngine) {
    engine.begin_deregistration();
    let Some(version) = engine.entry_version() else { return };
    if let Err(error) = remove_own_entry(engine, &version).await {
        // The next change of primary waits for this instance's lease to expire, as no stop notice
        // comes.
        log::warn!(reason:% = error; "this instance was not removed from the list of instances");
    }
}

async fn remove_own_entry(engine: &ProxyEngine, version: &ObjectVersion) -> Result<(), StoreError> {
    let store = &engine.dependencies().store;
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

/// Runs a store call with a timeout. The outcome of a call that times out is unknown.
pub(super) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, call).await.unwrap_or(Err(StoreError::OutcomeUnknown))
}
