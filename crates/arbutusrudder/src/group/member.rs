//! One member of a group: its pool, its control channel and what was learned of its speed.

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

/// Service time assumed of a member of the reference speed before any was observed.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(5);

/// A longer round trip moves the known one by this part of the difference.
const ROUND_TRIP_RISE_DIVISOR: u32 = 64;

/// How long a larger share of connections must have been due before it is used.
const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(10);

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
    pub(crate) waiters: AtomicUsize,
    /// Wakes the watch when demand rises from none.
    pub(crate) probe_requested: Notify,
    meter: Mutex<MemberMeter>,
    health: watch::Sender<MemberHealth>,
    share: Mutex<ConnectionShare>,
    link: Mutex<Duration>,
    ramp: Mutex<Option<RampSchedule>>,
}

/// How fresh a member is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberFreshness {
    /// The greatest age that its answer can have, if that is known.
    pub(crate) age: Option<Duration>,
    /// How far it trailed the primary when it last reported.
    pub(crate) lag: Duration,
}

impl GroupMember {
    /// A member at `address`, with `connections` connections for callers.
    pub(crate) fn new(
        settings: MemberSettings,
        address: MemberAddress,
        connections: u32,
        link: Duration,
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
            link: Mutex::new(link),
            ramp: Mutex::default(),
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
    pub(crate) fn update_share(&self, wanted: u32, now: Duration) -> u32 {
        let mut share = self.share.lock().expect("no holder of this lock panics");
        share.update(ConnectionCount(wanted), now).0
    }

    /// Takes the time of an answered statement, link included.
    pub(crate) fn observe(&self, latency: Duration) {
        let inside = latency.saturating_sub(self.link());
        self.lock_meter().observe(inside, Instant::now());
    }

    /// Takes the round trip of a probe, which no statement slows. The least one lately counts:
    /// everything above it is waiting, not distance.
    pub(crate) fn observe_link(&self, round_trip: Duration) {
        let mut link = self.link.lock().expect("no holder of this lock panics");
        let rise = round_trip.saturating_sub(*link) / ROUND_TRIP_RISE_DIVISOR;
        *link = round_trip.min(*link + rise);
    }

    /// The link's round trip.
    pub(crate) fn link(&self) -> Duration {
        *self.link.lock().expect("no holder of this lock panics")
    }

    /// Statements that this instance may keep in flight here: enough to keep the slots busy over
    /// the link, as far as its share of the connections allows.
    pub(crate) fn window(&self) -> u32 {
        let window = self.lock_meter().window(self.link(), Instant::now());
        let share = self.share.lock().expect("no holder of this lock panics").current();
        window.min(share.0).max(1)
    }

    /// Whether the member may get work.
    pub(crate) fn health(&self) -> MemberHealth {
        if self.settings.draining {
            return MemberHealth::Leaving;
        }
        *self.health.borrow()
    }

    /// Changes the health; answers whether it was another before.
    pub(crate) fn set_health(&self, health: MemberHealth) -> bool {
        let before = self.health.send_replace(health);
        if before == MemberHealth::Down && health == MemberHealth::Ready {
            // Guards against a burst onto a member that just came back with cold caches.
            let ramp = RampSchedule::new(Instant::now());
            *self.ramp.lock().expect("no holder of this lock panics") = Some(ramp);
        }
        before != health
    }

    /// Returns once the member is known not to answer. Guards against a cut that swallows packets: a
    /// statement in flight would hang until its own bound, long after a successor leads.
    pub(crate) async fn wait_down(&self) {
        let mut health = self.health.subscribe();
        // The sender lives as long as the member, so the wait ends by a change only.
        let _ = health.wait_for(|health| *health == MemberHealth::Down).await;
    }

    /// The share of its usual work that the member gets while it warms up.
    fn ramp_weight(&self, now: Instant) -> MemberWeight {
        let ramp = self.ramp.lock().expect("no holder of this lock panics");
        ramp.map_or(MemberWeight::FULL, |ramp| ramp.weight(now))
    }

    /// What the read router is told of this member. `weight` is what the outlier tracker leaves it.
    pub(crate) fn view(
        &self,
        status: MemberStatus,
        freshness: MemberFreshness,
        weight: MemberWeight,
        sharers: u32,
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
            sharers,
            service,
            link: self.link(),
            health: self.health(),
            weight: weight.and(self.ramp_weight(now)),
        }
    }

    fn lock_meter(&self) -> std::sync::MutexGuard<'_, MemberMeter> {
        self.meter.lock().expect("no holder of this lock panics")
    }
}
