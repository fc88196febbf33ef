//! Follows which processes may hold acknowledged commits of services with synchronous replicas.
//!
//! A replica that is no longer in the membership has ended, or is only cut from the store and still
//! receives commits. The watchers of its service probe it, and release it once it has ended and
//! enough other replicas have received all that it may hold.

use super::control::fetch_status;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, ServiceGroup};
use crate::identity::DrainPhase;
use crate::interfaces::LinkError;
use crate::statement::StatementError;
use rudder_core::{LogStamp, MemberName};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Interval between checks of all services.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of services that are checked at a time: the members of a rack may leave at once.
const CHECKS_MAX: usize = 16;

/// Checks all services at regular intervals.
pub(crate) async fn keep_holders(engine: Arc<ProxyEngine>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !engine.membership().is_reader() || engine.drain_phase() != DrainPhase::Serving {
            continue;
        }
        let mut checks = JoinSet::new();
        for group in engine.groups().iter().filter(|group| is_followed(&engine, group)) {
            if checks.len() >= CHECKS_MAX {
                checks.join_next().await;
            }
            let (engine, group) = (Arc::clone(&engine), Arc::clone(group));
            checks.spawn(async move { check_holders(&engine, &group).await });
        }
        while checks.join_next().await.is_some() {}
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

/// Probes departed members and releases those that no longer matter.
pub(super) async fn check_holders(engine: &Arc<ProxyEngine>, group: &Arc<ServiceGroup>) {
    probe_departed(engine, group).await;
    release_ended(engine, group).await;
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
