//! One member of the group, shared by its client sessions and its replication task.

use super::knob::MemberKnob;
use super::settings::{GroupSettings, MemberSettings};
use super::slots::{ServiceTimes, SlotPool, lock};
use super::state::{GroupRole, MemberState};
use crate::group::sql::cache::PlanCache;
use crate::group::sql::error::SqlError;
use crate::group::wire::cancel::CancelRegistry;
use rudder_core::{ControlStatement, LogStamp, MemberName, MemberStatus};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicI64, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Delays and injected faults of a member's replication.
#[derive(Clone, Debug)]
pub(crate) struct ReplicationKnobs {
    pub(crate) apply_lag: Duration,
    pub(crate) link_delay: Duration,
    pub(crate) paused: bool,
    pub(crate) cut: bool,
}

/// Data shared by all members of a group.
#[derive(Debug)]
pub(crate) struct GroupShared {
    /// Counts the changes that replication tasks may have to act on.
    pub(crate) change_count: watch::Sender<u64>,
    pub(crate) cache: PlanCache,
    pub(crate) sequence: Arc<AtomicI64>,
    pub(crate) next_pid: AtomicI32,
    pub(crate) password: Option<String>,
    /// Stops every task of the group.
    pub(crate) stop: CancellationToken,
}

impl GroupShared {
    /// Creates the shared data of a new group.
    pub(crate) fn new(password: Option<String>) -> Self {
        Self {
            change_count: watch::Sender::new(0),
            cache: PlanCache::default(),
            sequence: Arc::new(AtomicI64::new(0)),
            next_pid: AtomicI32::new(1),
            password,
            stop: CancellationToken::new(),
        }
    }

    /// Wakes the replication tasks of all members after a change.
    pub(crate) fn notify_replication(&self) {
        self.change_count.send_modify(|count| *count = count.wrapping_add(1));
    }
}

/// One member of a database group.
#[derive(Debug)]
pub(crate) struct GroupMember {
    pub(crate) name: MemberName,
    pub(crate) address: SocketAddr,
    pub(crate) shared: Arc<GroupShared>,
    pub(crate) state: Mutex<MemberState>,
    pub(crate) slots: SlotPool,
    pub(crate) cancel_registry: CancelRegistry,
    pub(crate) replication: Mutex<ReplicationKnobs>,
    pub(crate) connections: AtomicU32,
    pub(crate) connections_max: AtomicU32,
    connect_time: Mutex<Duration>,
    frozen: AtomicBool,
    thawed: watch::Sender<bool>,
    /// Cancelled when the member is killed; `None` while it is down.
    run_token: Mutex<Option<CancellationToken>>,
}

impl GroupMember {
    /// Creates a member that is not started yet.
    pub(crate) fn new(
        settings: &MemberSettings,
        group: &GroupSettings,
        address: SocketAddr,
        state: MemberState,
        shared: Arc<GroupShared>,
        seed: u64,
    ) -> Self {
        let times = ServiceTimes {
            mean: group.service_time,
            distribution: group.service_distribution,
            speed: settings.speed,
        };
        Self {
            name: settings.name.clone(),
            address,
            shared,
            state: Mutex::new(state),
            slots: SlotPool::new(group.slots.0 as usize, times, seed),
            cancel_registry: CancelRegistry::default(),
            replication: Mutex::new(ReplicationKnobs {
                apply_lag: group.apply_lag,
                link_delay: group.link_delay,
                paused: false,
                cut: false,
            }),
            connections: AtomicU32::new(0),
            connections_max: AtomicU32::new(group.connections.0),
            connect_time: Mutex::new(group.connect_time),
            frozen: AtomicBool::new(false),
            thawed: watch::Sender::new(true),
            run_token: Mutex::new(None),
        }
    }

    /// Returns the member's status.
    pub(crate) fn status(&self) -> MemberStatus {
        lock(&self.state).status()
    }

    /// Returns whether the member is a replica.
    pub(crate) fn is_replica(&self) -> bool {
        matches!(lock(&self.state).role, GroupRole::Replica(_))
    }

    /// Runs a control statement and returns the member's status after it.
    pub(crate) fn control(&self, statement: &ControlStatement) -> Result<MemberStatus, SqlError> {
        let status = {
            let mut state = lock(&self.state);
            match statement {
                ControlStatement::Status => return Ok(state.status()),
                ControlStatement::Fence(term) => state.fence(*term)?,
                ControlStatement::Promote(term) => state.promote(*term)?,
                ControlStatement::Follow(_, leader) if *leader == self.name => {
                    return Err(SqlError::InvalidControl(format!("{leader} is this member")));
                }
                ControlStatement::Follow(term, leader) => state.follow(*term, leader.clone())?,
            }
            state.status()
        };
        log::info!(
            target: "rudder::standins",
            member:% = self.name, statement:% = statement, term:% = status.accepted,
            role:% = status.role, received:% = status.received;
            "control statement"
        );
        self.shared.notify_replication();
        Ok(status)
    }

    /// Commits a transaction and wakes replication if it changed data.
    pub(crate) fn commit(
        &self,
        transaction: crate::group::tables::transaction::OpenTransaction,
    ) -> Result<LogStamp, SqlError> {
        let changes = !transaction.effects.is_empty();
        let stamp = lock(&self.state).commit(transaction)?;
        if changes {
            self.shared.notify_replication();
        }
        Ok(stamp)
    }

    /// Returns the time that it takes to open a connection.
    pub(crate) fn connect_time(&self) -> Duration {
        *lock(&self.connect_time)
    }

    /// Returns whether the member currently sends no responses.
    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::Acquire)
    }

    /// Waits while the member is frozen.
    pub(crate) async fn wait_thawed(&self) {
        if !self.is_frozen() {
            return;
        }
        let mut thawed = self.thawed.subscribe();
        // The member owns the sender, so the channel cannot close during the wait.
        let _ = thawed.wait_for(|thawed| *thawed).await;
    }

    /// Returns whether the member is running.
    pub(crate) fn is_running(&self) -> bool {
        lock(&self.run_token).is_some()
    }

    /// Marks the member as running and returns a token that is cancelled when it is killed; `None`
    /// if it is already running.
    pub(crate) fn mark_started(&self) -> Option<CancellationToken> {
        let mut run_token = lock(&self.run_token);
        if run_token.is_some() {
            return None;
        }
        let token = self.shared.stop.child_token();
        *run_token = Some(token.clone());
        Some(token)
    }

    /// Stops the member's listener and connections.
    pub(crate) fn mark_stopped(&self) {
        if let Some(token) = lock(&self.run_token).take() {
            token.cancel();
        }
        self.shared.notify_replication();
    }

    /// Applies a knob that neither starts nor stops tasks.
    pub(crate) fn apply_knob(&self, knob: &MemberKnob) {
        log::info!(target: "rudder::standins", member:% = self.name, knob:? = knob; "knob applied");
        match knob {
            MemberKnob::ApplyLag(lag) => lock(&self.replication).apply_lag = *lag,
            MemberKnob::LinkDelay(delay) => lock(&self.replication).link_delay = *delay,
            MemberKnob::Paused(paused) => lock(&self.replication).paused = *paused,
            MemberKnob::Cut(cut) => lock(&self.replication).cut = *cut,
            MemberKnob::Frozen(frozen) => {
                self.frozen.store(*frozen, Ordering::Release);
                self.thawed.send_replace(!frozen);
            }
            MemberKnob::Speed(speed) => self.slots.update_times(|times| times.speed = *speed),
            MemberKnob::ServiceTime(mean, distribution) => self.slots.update_times(|times| {
                times.mean = *mean;
                times.distribution = *distribution;
            }),
            MemberKnob::Slots(slots) => self.slots.resize(slots.0 as usize),
            MemberKnob::Connections(count) => {
                self.connections_max.store(count.0, Ordering::Relaxed);
            }
            MemberKnob::ConnectTime(time) => *lock(&self.connect_time) = *time,
            MemberKnob::Kill | MemberKnob::Restart => {}
        }
        self.shared.notify_replication();
    }
}
