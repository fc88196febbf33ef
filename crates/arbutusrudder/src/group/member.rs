//! One member of a group: its connection pool, its control channel and its measured speed.

use super::pool::ConnectionPool;
use rudder_core::{ConnectionCount, MemberName, MemberStatus};
use rudder_decisions::{MemberHealth, MemberMeter, MemberView, MemberWeight, RampSchedule};
use rudder_endpoint::{ControlChannel, MemberAddress};
use rudder_peers::ConnectionShare;
use rudder_settings::MemberSettings;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// Service time assumed for a member of the reference speed before any is observed.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(5);

/// A longer round trip raises the recorded one by the difference divided by this number.
const ROUND_TRIP_RISE_DIVISOR: u32 = 64;

/// Time for which a larger share of connections must have been due before it is used.
const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(10);

/// State of one member in this instance.
pub(crate) struct GroupMember {
    /// The member's declared settings.
    pub(crate) settings: MemberSettings,
    /// The connections for callers.
    pub(crate) pool: ConnectionPool,
    /// The connection for control statements.
    pub(crate) channel: Arc<ControlChannel>,
    /// Number of this instance's statements in flight at the member.
    pub(crate) in_flight: AtomicU32,
    /// Number of commits and reads that wait for a majority's reports.
    pub(crate) waiters: AtomicUsize,
    /// Starts the next probe at once.
    pub(crate) probe_requested: Notify,
    meter: Mutex<MemberMeter>,
    health: watch::Sender<MemberHealth>,
    share: Mutex<ConnectionShare>,
    round_trip: Mutex<Duration>,
    ramp: Mutex<Option<RampSchedule>>,
}

/// Freshness of a member's data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberFreshness {
    /// Maximum age of the data that it returns, if known.
    pub(crate) age: Option<Duration>,
    /// Time by which it lagged behind the primary at its last report.
    pub(crate) lag: Duration,
}

impl GroupMember {
    /// Creates a member at `address`, with `connections` connections for callers.
    pub(crate) fn new(
        settings: MemberSettings,
        address: MemberAddress,
        connections: u32,
        round_trip: Duration,
    ) -> Self {
        let speed = settings.speed.0.max(1);
        let service_time = ASSUMED_SERVICE_TIME * 100 / speed;
        Self {
            pool: ConnectionPool::new(address.clone(), connections),
            channel: Arc::new(ControlChannel::new(address)),
            in_flight: AtomicU32::new(0),
            waiters: AtomicUsize::new(0),
            probe_requested: Notify::new(),
            meter: Mutex::new(MemberMeter::new(settings.slots.0, service_time)),
            health: watch::Sender::new(MemberHealth::Ready),
            share: Mutex::new(ConnectionShare::new(
                ConnectionCount(connections),
                SHARE_GROWTH_DELAY,
            )),
            round_trip: Mutex::new(round_trip),
            ramp: Mutex::default(),
            settings,
        }
    }

    /// Returns the member's name.
    pub(crate) fn name(&self) -> &MemberName {
        &self.settings.name
    }

    /// Returns the number of connections to hold when a share of `wanted` is due. It shrinks at
    /// once and grows only after a delay: instances with different instance lists would otherwise
    /// hold more connections in total than the member accepts.
    pub(crate) fn update_share(&self, wanted: u32, now: Duration) -> u32 {
        let mut share = self.share.lock().expect("no holder of this lock panics");
        share.update(ConnectionCount(wanted), now).0
    }

    /// Records the latency of a completed statement, including the network round trip.
    pub(crate) fn record_latency(&self, latency: Duration) {
        let inside = latency.saturating_sub(self.round_trip());
        self.lock_meter().observe(inside, Instant::now());
    }

    /// Records the round trip of a probe, which does not wait behind statements. The recorded value
    /// follows the recent minimum, since anything above it is queueing, not distance.
    pub(crate) fn record_round_trip(&self, round_trip: Duration) {
        let mut recorded = self.round_trip.lock().expect("no holder of this lock panics");
        let rise = round_trip.saturating_sub(*recorded) / ROUND_TRIP_RISE_DIVISOR;
        *recorded = round_trip.min(*recorded + rise);
    }

    /// Returns the network round trip to the member.
    pub(crate) fn round_trip(&self) -> Duration {
        *self.round_trip.lock().expect("no holder of this lock panics")
    }

    /// Returns the number of statements that this instance may keep in flight at the member: enough
    /// to keep the slots busy over the round trip, within its share of the connections.
    pub(crate) fn in_flight_limit(&self) -> u32 {
        let window = self.lock_meter().window(self.round_trip(), Instant::now());
        let share = self.share.lock().expect("no holder of this lock panics").current();
        window.min(share.0).max(1)
    }

    /// Returns the member's health, which decides whether it gets work.
    pub(crate) fn health(&self) -> MemberHealth {
        if self.settings.draining {
            return MemberHealth::Leaving;
        }
        *self.health.borrow()
    }

    /// Sets the health; returns whether it changed.
    pub(crate) fn set_health(&self, health: MemberHealth) -> bool {
        let before = self.health.send_replace(health);
        if before == MemberHealth::Down && health == MemberHealth::Ready {
            // A member that has just recovered has cold caches, so its load is raised gradually.
            let ramp = RampSchedule::new(Instant::now());
            *self.ramp.lock().expect("no holder of this lock panics") = Some(ramp);
        }
        before != health
    }

    /// Waits until the member is known not to respond. Without this, when packets are dropped
    /// silently, a statement in flight would hang until its own timeout, long after a new primary
    /// is promoted.
    pub(crate) async fn wait_down(&self) {
        let mut health = self.health.subscribe();
        // The sender is never dropped before the member, so only a change ends the wait.
        let _ = health.wait_for(|health| *health == MemberHealth::Down).await;
    }

    /// Returns the fraction of its usual load that the member gets while it warms up.
    fn ramp_weight(&self, now: Instant) -> MemberWeight {
        let ramp = self.ramp.lock().expect("no holder of this lock panics");
        ramp.map_or(MemberWeight::FULL, |ramp| ramp.weight(now))
    }

    /// Returns the read router's view of this member. `weight` is the weight set by the outlier
    /// tracker.
    pub(crate) fn view(
        &self,
        status: MemberStatus,
        freshness: MemberFreshness,
        weight: MemberWeight,
        sending_instances: u32,
    ) -> MemberView {
        let now = Instant::now();
        let service = self.lock_meter().service(now);
        MemberView {
            name: self.settings.name.clone(),
            role: status.role,
            domain: self.settings.domain.clone(),
            applied: status.applied,
            age: freshness.age,
            lag: freshness.lag,
            in_flight: self.in_flight.load(Ordering::Relaxed),
            slots: self.settings.slots.0,
            sending_instances,
            service,
            link_cost: self.round_trip(),
            health: self.health(),
            weight: weight.min_with(self.ramp_weight(now)),
        }
    }

    fn lock_meter(&self) -> std::sync::MutexGuard<'_, MemberMeter> {
        self.meter.lock().expect("no holder of this lock panics")
    }
}
