//! Starts and stops this instance's tasks as settings and the instance list change.

use super::drain::{order_switch, successor_of};
use super::exchange::VoteExchange;
use crate::context::InstanceContext;
use crate::group::{GroupState, spawn_probes};
use crate::keeper::{
    KeeperConfig, KeeperHandle, KeeperMember, ObserverExchange, rank_by_preference, spawn_keeper,
};
use rudder_core::ServiceName;
use rudder_endpoint::MemberControl;
use rudder_peers::PeerMesh;
use rudder_store::PlatformStore;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Interval at which admission lanes and connection shares are refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two orders to move the primary off a draining member of the same group.
const DRAIN_ORDER_INTERVAL: Duration = Duration::from_secs(5);

/// The tasks of one group. Dropping it stops them.
struct GroupTasks {
    group: Arc<GroupState>,
    _probes: JoinSet<()>,
    keeper: Option<KeeperTask>,
    drain_ordered_at: Option<Instant>,
}

struct KeeperTask {
    _report_copy: JoinSet<()>,
    _stop: DropGuard,
}

/// Starts and stops the tasks of all groups.
struct TaskManager {
    context: Arc<InstanceContext>,
    store: Arc<dyn PlatformStore>,
    exchange: Arc<VoteExchange>,
}

/// Runs this instance's tasks for all groups. It never returns.
pub(crate) async fn run_group_tasks(
    context: Arc<InstanceContext>,
    store: Arc<dyn PlatformStore>,
    mesh: Arc<PeerMesh>,
    exchange: Arc<VoteExchange>,
) {
    let manager = TaskManager { context, store, exchange };
    let mut groups: Vec<GroupTasks> = Vec::new();
    let mut settings = manager.context.fleet_changes.subscribe();
    let mut peers = mesh.watch();
    loop {
        settings.borrow_and_update();
        peers.borrow_and_update();
        manager.context.set_instance_count(&mesh.instances());
        manager.update_tasks(&mut groups);
        // While settings and instances do not change, only refreshes what depends on member
        // reports.
        loop {
            let changed = async {
                tokio::select! {
                    changed = settings.changed() => changed.is_ok(),
                    changed = peers.changed() => changed.is_ok(),
                }
            };
            if timeout(REFRESH_INTERVAL, changed).await.is_ok() {
                break;
            }
            for tasks in &mut groups {
                tasks.group.refresh(manager.context.instance_count());
                manager.order_drain_switch(tasks);
            }
        }
    }
}

impl TaskManager {
    /// Stops the tasks of removed or changed groups, and starts those of new ones.
    fn update_tasks(&self, groups: &mut Vec<GroupTasks>) {
        let fleet = self.context.fleet.load();
        groups.retain(|tasks| fleet.groups.iter().any(|group| Arc::ptr_eq(group, &tasks.group)));
        for group in &fleet.groups {
            let known = groups.iter().position(|tasks| Arc::ptr_eq(&tasks.group, group));
            let index = known.unwrap_or_else(|| {
                let probes = spawn_probes(group);
                groups.push(GroupTasks {
                    group: Arc::clone(group),
                    _probes: probes,
                    keeper: None,
                    drain_ordered_at: None,
                });
                groups.len() - 1
            });
            self.update_keeper(&mut groups[index]);
        }
    }

    fn update_keeper(&self, tasks: &mut GroupTasks) {
        let service = &tasks.group.service.name;
        let ranking = self.exchange.ranking(service);
        let keeps = ranking.rank_of(self.context.name()).is_some();
        if keeps == tasks.keeper.is_some() {
            return;
        }
        log::info!(
            target: "rudder::placement", service:% = service, keeps, reason = "rendezvous_rank";
            "keeper assignment changed"
        );
        tasks.group.set_keeper(None);
        tasks.keeper = keeps.then(|| self.start_keeper(&tasks.group));
    }

    /// Orders a switch if the group's primary is draining and this instance is the first-ranked
    /// keeper.
    fn order_drain_switch(&self, tasks: &mut GroupTasks) {
        let recent = tasks.drain_ordered_at.is_some_and(|at| at.elapsed() < DRAIN_ORDER_INTERVAL);
        let ranking = self.exchange.ranking(&tasks.group.service.name);
        if recent || ranking.rank_of(self.context.name()) != Some(0) {
            return;
        }
        let Some(target) = successor_of(&tasks.group) else { return };
        tasks.drain_ordered_at = Some(Instant::now());
        tokio::spawn(order_switch(Arc::clone(&self.store), Arc::clone(&tasks.group), target));
    }

    fn start_keeper(&self, group: &Arc<GroupState>) -> KeeperTask {
        let stop = CancellationToken::new();
        let handle = spawn_keeper(self.keeper_config(group), stop.clone());
        group.set_keeper(Some(handle.clone()));
        let mut report_copy = JoinSet::new();
        report_copy.spawn(copy_reports(Arc::clone(group), handle));
        KeeperTask { _report_copy: report_copy, _stop: stop.drop_guard() }
    }

    fn keeper_config(&self, group: &Arc<GroupState>) -> KeeperConfig {
        let service: ServiceName = group.service.name.clone();
        let members = rank_by_preference(&group.service.members)
            .into_iter()
            .filter_map(|member| {
                let index = group.index_of(&member.name)?;
                let control: Arc<dyn MemberControl> =
                    Arc::clone(&group.members[index].channel) as _;
                Some(KeeperMember { member, control })
            })
            .collect();
        KeeperConfig {
            service,
            instance: self.context.name().clone(),
            domain: self.context.domain().clone(),
            members,
            timing: group.timing.clone(),
            store: Arc::clone(&self.store),
            exchange: Arc::clone(&self.exchange) as _,
        }
    }
}

/// Copies the member statuses that a keeper publishes into the group's member reports.
async fn copy_reports(group: Arc<GroupState>, handle: KeeperHandle) {
    let mut view = handle.view();
    loop {
        let latest = Arc::clone(&view.borrow_and_update());
        for report in &latest.members {
            if let Some(status) = report.status {
                let requested_at = group.reports.since_origin(report.requested_at.into_std());
                group.reports.record(&report.member, requested_at, status);
            }
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}
