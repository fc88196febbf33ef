//! Follows which processes may hold acknowledged commits of services with synchronous replicas.
//!
//! A replica that is no longer in the membership has ended, or is only cut from the store and still
//! receives commits. The watchers of its service probe it, and release it once it has ended and
//! enough other replicas have received all that it may hold. The fleet reader keeps the processes in
//! the record, so that they are known after a restart of all instances.

use super::control::fetch_status;
use super::records::read_stored_record;
use super::registry::{CALL_TIMEOUT, with_timeout};
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, ServiceGroup};
use crate::identity::DrainPhase;
use crate::interfaces::LinkError;
use crate::lead::StoredRecord;
use crate::statement::StatementError;
use rudder_core::{LogStamp, MemberName, ServiceName};
use rudder_store::{ObjectKind, ObjectVersion, StoreError};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Interval between checks of all services.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of services that are checked at a time: the members of a rack may leave at once.
const CHECKS_MAX: usize = 16;

/// Record of a service as last read from the store or written to it.
#[derive(Clone, Debug)]
pub(super) struct StoredCopy {
    service: ServiceName,
    stored: StoredRecord,
    version: ObjectVersion,
}

/// Checks all services at regular intervals.
pub(crate) async fn keep_holders(engine: Arc<ProxyEngine>) {
    // Sorted by service.
    let mut copies: Vec<StoredCopy> = Vec::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_reader = engine.membership().is_reader();
        if !is_reader || engine.drain_phase() != DrainPhase::Serving {
            copies.clear();
            continue;
        }
        let mut checks = JoinSet::new();
        for group in engine.groups().iter().filter(|group| is_followed(&engine, group)) {
            while checks.len() >= CHECKS_MAX {
                keep_copy(&mut copies, checks.join_next().await);
            }
            let found = copies.binary_search_by(|copy| copy.service.cmp(group.service()));
            let copy = found.ok().map(|index| copies.remove(index));
            let (engine, group) = (Arc::clone(&engine), Arc::clone(group));
            checks.spawn(async move { check_holders(&engine, &group, copy).await });
        }
        while let Some(checked) = checks.join_next().await {
            keep_copy(&mut copies, Some(checked));
        }
    }
}

fn keep_copy(
    copies: &mut Vec<StoredCopy>,
    checked: Option<Result<Option<StoredCopy>, tokio::task::JoinError>>,
) {
    match checked {
        Some(Ok(Some(copy))) => {
            let index = copies.partition_point(|known| known.service < copy.service);
            copies.insert(index, copy);
        }
        Some(Ok(None)) | None => {}
        Some(Err(error)) => log::error!(reason:% = error; "a check of departed members failed"),
    }
}

/// Whether this instance follows the departed members of a group: as one of its watchers, or as the
/// fleet reader. While the primary is being changed, the change itself does.
fn is_followed(engine: &ProxyEngine, group: &ServiceGroup) -> bool {
    let membership = engine.membership();
    let follows =
        membership.watches(engine.watch_plan(), group.service()) || membership.is_fleet_reader();
    follows
        && engine.sync_replicas(group.service()) > 0
        && group
            .with_leases(|leases| leases.record().is_some_and(|record| record.primary().is_some()))
}

/// Probes departed members and releases those that no longer matter. On the fleet reader, updates
/// the record, and returns its copy for the next check.
pub(super) async fn check_holders(
    engine: &Arc<ProxyEngine>,
    group: &Arc<ServiceGroup>,
    copy: Option<StoredCopy>,
) -> Option<StoredCopy> {
    let copy = match engine.membership().is_fleet_reader() {
        true => match current_copy(engine, group, copy).await {
            Ok(copy) => copy,
            Err(error) => {
                log::info!(
                    service:% = group.service(), reason:% = error;
                    "the record of a service was not read"
                );
                None
            }
        },
        false => None,
    };
    if let Some(copy) = &copy {
        group.adopt_holders(&copy.stored.history);
    }
    probe_departed(engine, group).await;
    release_ended(engine, group).await;
    update_record(engine, group, copy?).await
}

/// Returns the record in the present version, read again if `copy` is an older one; none if the
/// store's is another one.
async fn current_copy(
    engine: &ProxyEngine,
    group: &ServiceGroup,
    copy: Option<StoredCopy>,
) -> Result<Option<StoredCopy>, StoreError> {
    let epoch = group.with_leases(|leases| leases.epoch());
    let copy = match copy.filter(|copy| copy.stored.record.epoch == epoch) {
        Some(copy) => return Ok(Some(copy)),
        None => read_copy(engine, group).await?,
    };
    Ok(copy.filter(|copy| copy.stored.record.epoch == epoch))
}

async fn read_copy(
    engine: &ProxyEngine,
    group: &ServiceGroup,
) -> Result<Option<StoredCopy>, StoreError> {
    let service = group.service();
    let get = engine.dependencies().store.get(ObjectKind::PrimaryRecord, service.as_str());
    let object = with_timeout(CALL_TIMEOUT, get).await?;
    Ok(object.and_then(|object| {
        let stored = read_stored_record(engine, &object)?;
        Some(StoredCopy { service: service.clone(), stored, version: object.version })
    }))
}

async fn probe_departed(engine: &Arc<ProxyEngine>, group: &Arc<ServiceGroup>) {
    let mut probes = JoinSet::new();
    for holder in group.holders_to_probe() {
        let dialer = &engine.dependencies().dialer;
        let member = group.departed_member(&holder, &engine.identity().domain, dialer);
        let engine = Arc::clone(engine);
        probes.spawn(async move { (holder, responds(&engine, &member).await) });
    }
    while let Some(probed) = probes.join_next().await {
        match probed {
            Ok((holder, responds)) => group.record_holder_probe(&holder, responds),
            Err(error) => log::error!(reason:% = error; "a probe of a departed member failed"),
        }
    }
}

/// Returns whether the member's process runs. One that refuses a connection for another reason than
/// that it is another member does.
async fn responds(engine: &ProxyEngine, member: &GroupMember) -> bool {
    match fetch_status(engine, member).await {
        Ok(_) | Err(LinkError::Protocol(_)) => true,
        Err(LinkError::Refused(error)) => error != StatementError::Misrouted,
        Err(LinkError::Unreachable(_) | LinkError::Broken(_) | LinkError::Silent) => false,
    }
}

/// Releases the ended processes whose commits enough other replicas have received.
async fn release_ended(engine: &Arc<ProxyEngine>, group: &Arc<ServiceGroup>) {
    let ended = group.ended_holders();
    if ended.is_empty() {
        return;
    }
    if ended.iter().any(|(_, later)| later.is_none()) {
        group.request_position();
    }
    let received = received_positions(engine, group).await;
    let sync_replicas = engine.sync_replicas(group.service()) as usize;
    for (holder, later) in ended {
        let count = received.iter().filter(|(_, received)| Some(*received) >= later).count();
        if later.is_some() && count >= sync_replicas {
            log::info!(
                service:% = group.service(), member:% = holder.member,
                started_at_ms = holder.started_at_ms, position:? = later;
                "a member that has left holds no acknowledged commits that others lack"
            );
            group.release_holder(&holder);
        }
    }
}

/// Returns the positions that the replicas in the membership have received.
async fn received_positions(
    engine: &Arc<ProxyEngine>,
    group: &Arc<ServiceGroup>,
) -> Vec<(MemberName, LogStamp)> {
    let primary =
        group.with_leases(|leases| leases.record().and_then(|record| record.primary().cloned()));
    let mut requests = JoinSet::new();
    for member in group.members() {
        if Some(member.name()) != primary.as_ref() {
            let engine = Arc::clone(engine);
            requests.spawn(async move { fetch_status(&engine, &member).await });
        }
    }
    let mut received = Vec::new();
    while let Some(joined) = requests.join_next().await {
        if let Ok(Ok(report)) = joined {
            received.push((report.member, report.status.received));
        }
    }
    received
}

/// Writes the processes that may hold acknowledged commits into the record, if they have changed.
/// The version of the record stays the same, as its primary does. Returns the copy unless the
/// outcome of the write is unknown.
async fn update_record(
    engine: &ProxyEngine,
    group: &ServiceGroup,
    mut copy: StoredCopy,
) -> Option<StoredCopy> {
    let (holders, released) = (group.commit_holders(), group.released_holders());
    let history = &mut copy.stored.history;
    if holders == history.holders && released == history.released {
        return Some(copy);
    }
    let members: Vec<&MemberName> = holders.iter().map(|holder| &holder.member).collect();
    log::info!(
        service:% = group.service(), epoch:% = copy.stored.record.epoch, holders:? = members,
        released = released.len(); "the members that may hold acknowledged commits changed"
    );
    (history.holders, history.released) = (holders, released);
    let spec = match serde_json::to_value(&copy.stored) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(reason:% = error; "a record could not be encoded");
            return None;
        }
    };
    let (kind, name) = (ObjectKind::PrimaryRecord, group.service().as_str());
    let put = engine.dependencies().store.put(kind, name, Some(&copy.version), spec);
    match with_timeout(CALL_TIMEOUT, put).await {
        Ok(object) => {
            copy.version = object.version;
            Some(copy)
        }
        Err(error) => {
            log::info!(
                service:% = group.service(), reason:% = error;
                "the members that may hold acknowledged commits were not written"
            );
            None
        }
    }
}
