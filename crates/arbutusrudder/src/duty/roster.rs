//! Starting and ending this instance's tasks as settings and instances change.

use super::drain::{order_switch, successor_of};
use super::exchange::VoteExchange;
use crate::context::InstanceContext;
use crate::group::{GroupState, spawn_watch};
use crate::keeper::{
    KeeperConfig, KeeperHandle, KeeperMember, ObserverExchange, prefer_members, spawn_keeper,
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

/// How often lanes and connection shares follow what was learned.
const TICK: Duration = Duration::from_millis(500);

/// Pause between two orders to move the primary off the same draining member.
const DRAIN_PAUSE: Duration = Duration::from_secs(5);

/// The tasks of one group. Dropping it ends them.
struct GroupDuty {
    group: Arc<GroupState>,
    _watch: JoinSet<()>,
    keeper: Option<KeeperDuty>,
    drained: Option<Instant>,
}

struct KeeperDuty {
    _bridge: JoinSet<()>,
    _stop: DropGuard,
}

/// What the duties work with.
struct DutyParts {
    context: Arc<InstanceContext>,
    store: Arc<dyn PlatformStore>,
    exchange: Arc<VoteExchange>,
}

/// Runs this instance's standing tasks for as long as it lives.
pub(crate) async fn run_duties(
    context: Arc<InstanceContext>,
    store: Arc<dyn PlatformStore>,
    mesh: Arc<PeerMesh>,
    exchange: Arc<VoteExchange>,
) {
    let parts = DutyParts { context, store, exchange };
    let mut duties: Vec<GroupDuty> = Vec::new();
    let mut settings = parts.context.fleet_changes.subscribe();
    let mut peers = mesh.watch();
    loop {
        settings.borrow_and_update();
        peers.borrow_and_update();
        parts.context.note_instances(&mesh.live());
        parts.assign(&mut duties);
        // Between changes, only what was learned is followed.
        loop {
            let changed = async {
                tokio::select! {
                    changed = settings.changed() => changed.is_ok(),
                    changed = peers.changed() => changed.is_ok(),
                }
            };
            if timeout(TICK, changed).await.is_ok() {
                break;
            }
            for duty in &mut duties {
                duty.group.follow(parts.context.instances());
                parts.drain(duty);
            }
        }
    }
}

impl DutyParts {
    /// Ends the duties of groups that are gone or changed, and starts those that are new.
    fn assign(&self, duties: &mut Vec<GroupDuty>) {
        let fleet = self.context.fleet.load();
        duties.retain(|duty| fleet.groups.iter().any(|group| Arc::ptr_eq(group, &duty.group)));
        for group in &fleet.groups {
            let known = duties.iter().position(|duty| Arc::ptr_eq(&duty.group, group));
            let index = known.unwrap_or_else(|| {
                let watch = spawn_watch(group);
                duties.push(GroupDuty {
                    group: Arc::clone(group),
                    _watch: watch,
                    keeper: None,
                    drained: None,
                });
                duties.len() - 1
            });
            self.assign_keeper(&mut duties[index]);
        }
    }

    fn assign_keeper(&self, duty: &mut GroupDuty) {
        let service = &duty.group.service.name;
        let roster = self.exchange.roster(service);
        let keeps = roster.rank_of(self.context.name()).is_some();
        if keeps == duty.keeper.is_some() {
            return;
        }
        log::info!(
            target: "rudder::placement", service:% = service, keeps, reason = "rendezvous_rank";
            "keeper duty changed"
        );
        duty.group.set_keeper(None);
        duty.keeper = keeps.then(|| self.start_keeper(&duty.group));
    }

    /// Orders a switch if the group's primary is draining and this instance is its first keeper.
    fn drain(&self, duty: &mut GroupDuty) {
        let recent = duty.drained.is_some_and(|at| at.elapsed() < DRAIN_PAUSE);
        let roster = self.exchange.roster(&duty.group.service.name);
        if recent || roster.rank_of(self.context.name()) != Some(0) {
            return;
        }
        let Some(target) = successor_of(&duty.group) else { return };
        duty.drained = Some(Instant::now());
        tokio::spawn(order_switch(Arc::clone(&self.store), Arc::clone(&duty.group), target));
    }

    fn start_keeper(&self, group: &Arc<GroupState>) -> KeeperDuty {
        let stop = CancellationToken::new();
        let handle = spawn_keeper(self.keeper_config(group), stop.clone());
        group.set_keeper(Some(handle.clone()));
        let mut bridge = JoinSet::new();
        bridge.spawn(bridge_view(Arc::clone(group), handle));
        KeeperDuty { _bridge: bridge, _stop: stop.drop_guard() }
    }

    fn keeper_config(&self, group: &Arc<GroupState>) -> KeeperConfig {
        let service: ServiceName = group.service.name.clone();
        let members = prefer_members(&group.service.members)
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

/// Puts what a keeper learns on the group's board.
async fn bridge_view(group: Arc<GroupState>, handle: KeeperHandle) {
    let mut view = handle.view();
    loop {
        let latest = Arc::clone(&view.borrow_and_update());
        for report in &latest.members {
            if let Some(status) = report.status {
                let asked_at = group.board.since_origin(report.asked_at.into_std());
                group.board.note(&report.member, asked_at, status);
            }
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}
