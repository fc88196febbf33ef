//! Probes the members for status reports: at an interval, and continuously while commits or reads
//! wait for a report.

use super::member::GroupMember;
use super::state::GroupState;
use rudder_core::ControlStatement;
use rudder_decisions::{MemberHealth, ReconnectPacer};
use rudder_endpoint::MemberControl;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Pause between two probes of one member while commits or reads wait for its report. Replication
/// between failure domains takes milliseconds, so faster probes have no benefit.
const EAGER_PROBE_INTERVAL: Duration = Duration::from_micros(400);

/// Starts the tasks that probe the members of `group`. Dropping the returned set stops them.
pub(crate) fn spawn_probes(group: &Arc<GroupState>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for index in 0..group.members.len() {
        tasks.spawn(probe_member(Arc::clone(group), index));
    }
    tasks
}

async fn probe_member(group: Arc<GroupState>, index: usize) {
    let member = &group.members[index];
    let mut pacer = ReconnectPacer::new();
    loop {
        if !probe(&group, index).await {
            // The pause is randomized, so that not all instances reconnect to a recovered member at
            // once.
            let pause = pacer.retry_delay(&mut rand::rng());
            sleep(pause).await;
            continue;
        }
        pacer.record_success();
        if member.waiters.load(Ordering::Acquire) > 0 {
            sleep(EAGER_PROBE_INTERVAL).await;
        } else if group.is_in_use() {
            let _ = timeout(group.timing.probe_interval, member.probe_requested.notified()).await;
        } else {
            member.probe_requested.notified().await;
        }
    }
}

/// Probes a member; returns whether it responded.
async fn probe(group: &GroupState, index: usize) -> bool {
    let member = &group.members[index];
    let requested_at = group.reports.now();
    let probe_timeout = group.timing.suspect_after;
    match member.channel.run(&ControlStatement::Status, probe_timeout).await {
        Ok(status) => {
            member.record_round_trip(group.reports.now().saturating_sub(requested_at));
            group.record_report(index, requested_at, Some(status));
            set_health(group, member, MemberHealth::Ready, "answered");
            true
        }
        Err(error) => {
            group.record_report(index, requested_at, None);
            set_health(group, member, MemberHealth::Down, &error.to_string());
            false
        }
    }
}

fn set_health(group: &GroupState, member: &GroupMember, health: MemberHealth, reason: &str) {
    if member.set_health(health) {
        log::info!(
            target: "rudder::health", service:% = group.service.name, member:% = member.name(),
            health:% = health, reason; "member health changed"
        );
        if health == MemberHealth::Down {
            member.pool.clear();
        }
    }
}
