//! One member of a group: its pool, its control channel and what was learned of its speed.

use super::pool::ConnectionPool;
use rudder_core::{ConnectionCount, MemberName, MemberStatus};
use rudder_decisions::{MemberHealth, MemberMeter, MemberView, MemberWeight};
use rudder_endpoint::{ControlChannel, MemberAddress};
use rudder_peers::ConnectionShare;
use rudder_settings::MemberSettings;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Service time assumed of a member of the reference speed before any was measured.
const SERVICE_GUESS: Duration = Duration::from_millis(5);

/// How long a larger share of connections must have been due before it is used.
const SHARE_SETTLE: Duration = Duration::from_secs(10);

/// A member as this instance uses it.
pub(crate) struct GroupMember {
    /// What operators declared.
    pub(crate) settings: MemberSettings,
    /// The connections for callers.
    pub(crate) pool: ConnectionPool,
    /// The connection for control statements.
    pub(crate) channel: Arc<ControlChannel>,
    /// Statements in flight from this instance.
    pub(crate) in_flight: AtomicU32,
    /// How many commits and reads wait for this member's next report.
    pub(crate) demand: AtomicUsize,
    /// Wakes the watch when demand rises from none.
    pub(crate) wanted: Notify,
    meter: Mutex<MemberMeter>,
    health: Mutex<MemberHealth>,
    share: Mutex<ConnectionShare>,
}

impl GroupMember {
    /// A member at `address`, with `connections` connections for callers.
    pub(crate) fn new(settings: MemberSettings, address: MemberAddress, connections: u32) -> Self {
        let speed = settings.speed.0.max(1);
        let guess = SERVICE_GUESS * 100 / speed;
        Self {
            pool: ConnectionPool::new(address.clone(), connections),
            channel: Arc::new(ControlChannel::new(address)),
            in_flight: AtomicU32::new(0),
            demand: AtomicUsize::new(0),
            wanted: Notify::new(),
            meter: Mutex::new(MemberMeter::new(settings.slots.0, guess)),
            health: Mutex::new(MemberHealth::Ready),
            share: Mutex::new(ConnectionShare::new(ConnectionCount(connections), SHARE_SETTLE)),
            settings,
        }
    }

    /// The member's name.
    pub(crate) fn name(&self) -> &MemberName {
        &self.settings.name
    }

    /// The share of connections to hold when `wanted` is due. It shrinks at once and grows only
    /// after a while: two instances with different views would otherwise hold more than the member
    /// accepts.
    pub(crate) fn settle_share(&self, wanted: u32, now: Duration) -> u32 {
        let mut share = self.share.lock().expect("no holder of this lock panics");
        share.update(ConnectionCount(wanted), now).0
    }

    /// Takes the time of an answered statement.
    pub(crate) fn observe(&self, latency: Duration) {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.lock_meter().observe(latency, in_flight, Instant::now());
    }

    /// Takes a statement that failed for the connection's sake.
    pub(crate) fn fail(&self) {
        self.lock_meter().fail(Instant::now());
    }

    /// Statements that this instance may keep in flight here.
    pub(crate) fn slot_limit(&self) -> u32 {
        self.lock_meter().limit()
    }

    /// Whether the member may get work.
    pub(crate) fn health(&self) -> MemberHealth {
        if self.settings.draining {
            return MemberHealth::Leaving;
        }
        *self.health.lock().expect("no holder of this lock panics")
    }

    /// Changes the health; answers whether it was another before.
    pub(crate) fn set_health(&self, health: MemberHealth) -> bool {
        let mut known = self.health.lock().expect("no holder of this lock panics");
        std::mem::replace(&mut *known, health) != health
    }

    /// What the read router is told of this member.
    pub(crate) fn view(
        &self,
        status: MemberStatus,
        age: Option<Duration>,
        link: Duration,
    ) -> MemberView {
        let meter = self.lock_meter();
        MemberView {
            name: self.settings.name.clone(),
            role: status.role,
            domain: self.settings.domain.clone(),
            applied: status.applied,
            age,
            lag: Duration::ZERO,
            in_flight: self.in_flight.load(Ordering::Relaxed),
            slots: meter.limit(),
            service: meter.service(Instant::now()),
            link,
            health: self.health(),
            weight: MemberWeight::FULL,
        }
    }

    fn lock_meter(&self) -> std::sync::MutexGuard<'_, MemberMeter> {
        self.meter.lock().expect("no holder of this lock panics")
    }
}
