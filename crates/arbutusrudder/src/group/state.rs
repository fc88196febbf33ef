//! State of a group: the declared service, its members, and the primary according to their reports.

use super::admission::AdmissionQueue;
use super::member::{GroupMember, MemberFreshness};
use super::reports::MemberReports;
use crate::keeper::{KeeperHandle, TrafficReport};
use crate::process::AddressRoute;
use rudder_core::{DomainName, LogTerm, MemberName, MemberStatus, OutcomeClass};
use rudder_decisions::{
    LaneKey, LaneLimits, MemberView, MemberWeight, OutlierTracker, RetryBudget, WorkClass,
    WorkEstimate, WorkSize,
};
use rudder_endpoint::{LoginSettings, MemberAddress};
use rudder_settings::{DomainSettings, MemberSettings, ServiceSettings, TimingSettings};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time after its last request during which a group's members are still probed.
const IN_USE_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of requests queued for one member, per slot.
const QUEUE_PER_SLOT: u32 = 64;

/// Round trips assumed before the first measured one: to a member in the same failure domain, in
/// another domain of the region, and in another region.
const ASSUMED_ROUND_TRIPS: [Duration; 3] =
    [Duration::from_millis(1), Duration::from_millis(8), Duration::from_millis(24)];

/// Number of slots of a lane while the admission limits are disabled.
const UNLIMITED_SLOTS: u32 = 1_000_000;

/// Lag assumed for a replica whose staleness is unknown.
const ASSUMED_LAG: Duration = Duration::from_millis(500);

/// Connections per member that are reserved for control statements.
const CONTROL_CONNECTIONS: u32 = 1;

/// Facts about this instance and its deployment that its groups need.
#[derive(Clone, Debug)]
pub(crate) struct GroupContext {
    /// The failure domain of this instance.
    pub(crate) domain: DomainName,
    /// The declared failure domains, sorted by name.
    pub(crate) domains: Vec<DomainSettings>,
    /// Number of instances that share the members' connections.
    pub(crate) instances: u32,
    /// Start time from which this instance measures times.
    pub(crate) origin: Instant,
    /// Routes to members that are reached at another address than the declared one.
    pub(crate) routes: Vec<AddressRoute>,
    /// Whether the admission limits are enforced.
    pub(crate) limits: bool,
}

impl GroupContext {
    fn reached(&self, address: SocketAddr) -> SocketAddr {
        let route = self.routes.iter().find(|route| route.declared == address);
        route.map_or(address, |route| route.reached)
    }
}

/// The primary according to the members' latest reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReportedPrimary {
    /// The primary's index among the group's members.
    pub(crate) index: usize,
    /// The primary's term.
    pub(crate) term: LogTerm,
}

/// State of one database group in this instance.
pub(crate) struct GroupState {
    /// The declared service.
    pub(crate) service: ServiceSettings,
    /// Timing settings.
    pub(crate) timing: TimingSettings,
    /// The members, sorted by name.
    pub(crate) members: Vec<GroupMember>,
    /// The members' latest reports.
    pub(crate) reports: MemberReports,
    /// The admission queue.
    pub(crate) admission: Arc<AdmissionQueue>,
    usage: GroupUsage,
    keeper: Mutex<Option<KeeperHandle>>,
    outliers: Mutex<OutlierTracker>,
    retries: Mutex<RetryBudget>,
    sending_instances: AtomicU32,
    limits: bool,
    last_acknowledged: Mutex<Option<(LogTerm, Instant)>>,
    estimate: Mutex<WorkEstimate>,
}

/// Use of the group by this instance.
#[derive(Default)]
struct GroupUsage {
    /// Time of the last request, in milliseconds since the origin.
    last_used_ms: AtomicU64,
    /// Whether this instance keeps the group.
    is_kept: AtomicBool,
}

impl GroupState {
    /// Creates the state of a declared service, before any member has reported.
    pub(crate) fn new(
        service: ServiceSettings,
        timing: TimingSettings,
        context: &GroupContext,
    ) -> Self {
        let login = login_of(&service);
        let create = |settings: &MemberSettings| {
            let reached = context.reached(settings.address);
            let address = MemberAddress { address: reached, login: login.clone() };
            let connections = connection_share(settings, context.instances);
            GroupMember::new(
                settings.clone(),
                address,
                connections,
                assumed_round_trip(settings, context),
            )
        };
        let members: Vec<GroupMember> = service.members.iter().map(create).collect();
        let reports = MemberReports::new(context.origin, members.len());
        let admission = Arc::new(AdmissionQueue::new(rand::random()));
        let usage = GroupUsage::default();
        let keeper = Mutex::default();
        let group = Self {
            service,
            timing,
            members,
            reports,
            admission,
            usage,
            keeper,
            outliers: Mutex::new(OutlierTracker::new(Instant::now())),
            retries: Mutex::new(RetryBudget::new()),
            sending_instances: AtomicU32::new(context.instances),
            limits: context.limits,
            last_acknowledged: Mutex::default(),
            estimate: Mutex::new(WorkEstimate::new()),
        };
        group.refresh_lanes();
        group
    }

    /// Records a use of the group. The first use after an idle period resumes the probes. Waits
    /// until a member has reported, if none has yet.
    pub(crate) async fn record_use(&self, within: Duration) {
        let now = u64::try_from(self.reports.now().as_millis()).unwrap_or(u64::MAX);
        let was_idle = !self.is_in_use();
        self.usage.last_used_ms.store(now, Ordering::Relaxed);
        if was_idle {
            self.members.iter().for_each(|member| member.probe_requested.notify_one());
        }
        if self.reports.is_empty() {
            let mut changes = self.reports.subscribe();
            let reported = changes.wait_for(|_| !self.reports.is_empty());
            // Without any report, the request is rejected later with a reason.
            let _ = timeout(within, reported).await;
        }
    }

    /// Whether the members are probed at an interval: this instance is a keeper of the group or
    /// used it recently. At the planned size an instance serves few of all groups, and probing the
    /// others would cost more than its whole budget for control traffic.
    pub(crate) fn is_in_use(&self) -> bool {
        let now = u64::try_from(self.reports.now().as_millis()).unwrap_or(u64::MAX);
        let last = self.usage.last_used_ms.load(Ordering::Relaxed);
        let idle = Duration::from_millis(now.saturating_sub(last));
        self.usage.is_kept.load(Ordering::Relaxed) || (last > 0 && idle < IN_USE_PERIOD)
    }

    /// Sets or removes this instance's keeper of the group.
    pub(crate) fn set_keeper(&self, keeper: Option<KeeperHandle>) {
        self.usage.is_kept.store(keeper.is_some(), Ordering::Relaxed);
        *self.keeper.lock().expect("no holder of this lock panics") = keeper;
        self.members.iter().for_each(|member| member.probe_requested.notify_one());
    }

    /// Records a member status observed by a request or probe, and passes it to the keeper, where
    /// it replaces the keeper's own probe.
    pub(crate) fn record_report(
        &self,
        index: usize,
        requested_at: Duration,
        status: Option<MemberStatus>,
    ) {
        let name = self.members[index].name();
        if let Some(status) = status {
            self.reports.record(name, requested_at, status);
        }
        let keeper = self.keeper.lock().expect("no holder of this lock panics");
        if let Some(keeper) = keeper.as_ref() {
            let requested_at = self.reports.instant_at(requested_at).into();
            keeper.report(TrafficReport { member: name.clone(), requested_at, status });
        }
    }

    /// Returns the settings that a member reported at login, if any connection was opened.
    pub(crate) fn reported_parameters(&self) -> Option<Vec<(String, String)>> {
        self.members.iter().find_map(|member| member.pool.reported_parameters())
    }

    /// Returns the primary according to the members' reports, if one reported that role.
    pub(crate) fn primary(&self) -> Option<ReportedPrimary> {
        let (name, term) = self.reports.primary()?;
        Some(ReportedPrimary { index: self.index_of(&name)?, term })
    }

    /// Returns the index of a member.
    pub(crate) fn index_of(&self, name: &MemberName) -> Option<usize> {
        self.members.binary_search_by(|member| member.name().cmp(name)).ok()
    }

    /// Returns the admission lane of a member.
    pub(crate) fn lane(&self, index: usize) -> LaneKey {
        let member = self.members[index].name().clone();
        LaneKey { service: self.service.name.clone(), member }
    }

    /// Whether requests wait for a slot of a member.
    pub(crate) fn has_waiting(&self, index: usize) -> bool {
        self.admission.usage(&self.lane(index)).waiting > 0
    }

    /// Sets the number of slots of each lane to the member's in-flight limit.
    fn refresh_lanes(&self) {
        for (index, member) in self.members.iter().enumerate() {
            let slots = if self.limits { member.in_flight_limit() } else { UNLIMITED_SLOTS };
            let queue_max = slots.saturating_mul(QUEUE_PER_SLOT);
            let limits = LaneLimits { slots, queue_max, mixed: true };
            self.admission.set_lane(&self.lane(index), limits);
        }
    }

    /// Records whether a member responded to a statement, for outlier tracking and the retry
    /// budget.
    pub(crate) fn record_outcome(&self, index: usize, responded: bool) {
        let mut outliers = self.outliers.lock().expect("no holder of this lock panics");
        outliers.observe(self.members[index].name(), responded);
        if responded {
            self.retries.lock().expect("no holder of this lock panics").record_success();
        }
    }

    /// Records the term of an acknowledged commit. The first one of a new term ends the failover
    /// gap that this instance's callers observed.
    pub(crate) fn record_acknowledged_term(&self, term: LogTerm) {
        let now = Instant::now();
        let mut last = self.last_acknowledged.lock().expect("no holder of this lock panics");
        if let Some((before, at)) = *last {
            if term < before {
                return;
            }
            if term > before {
                let service = self.service.name.to_string();
                metrics::histogram!("rudder_failover_gap_seconds", "service" => service)
                    .record(now.duration_since(at));
            }
        }
        *last = Some((term, now));
    }

    /// Records how long a statement with this fingerprint held its slot.
    pub(crate) fn record_service_time(&self, fingerprint: u64, held: Duration) {
        let mut estimate = self.estimate.lock().expect("no holder of this lock panics");
        estimate.observe(fingerprint, held);
    }

    /// Returns the expected size of statements with this fingerprint. Without it, long reports
    /// would occupy every slot that short lookups wait for.
    pub(crate) fn estimated_size(&self, fingerprint: u64) -> WorkSize {
        self.estimate.lock().expect("no holder of this lock panics").size(fingerprint)
    }

    /// Takes a retry from the budget for a request that provably did not run, and returns whether
    /// one was left. Successful requests refill the budget, which prevents a storm of retries after
    /// a failover.
    pub(crate) fn try_spend_retry(&self, class: WorkClass) -> bool {
        let mut retries = self.retries.lock().expect("no holder of this lock panics");
        retries.try_spend(class, OutcomeClass::NotRun)
    }

    /// Updates outliers, connection shares and admission lanes by the observations since the last
    /// call.
    pub(crate) fn refresh(&self, instances: u32) {
        self.outliers.lock().expect("no holder of this lock panics").step(Instant::now());
        self.sending_instances.store(instances, Ordering::Relaxed);
        self.share_connections(instances);
        self.refresh_lanes();
    }

    fn share_connections(&self, instances: u32) {
        let now = self.reports.now();
        for member in &self.members {
            let wanted = connection_share(&member.settings, instances);
            member.pool.set_limit(member.update_share(wanted, now));
        }
    }

    fn weight_of(&self, index: usize) -> MemberWeight {
        let outliers = self.outliers.lock().expect("no holder of this lock panics");
        outliers.weight(self.members[index].name())
    }

    /// Returns the read router's views of the members that have reported, sorted by name, and the
    /// member index of each view.
    pub(crate) fn routing_views(&self) -> (Vec<MemberView>, Vec<usize>) {
        let now = self.reports.now();
        let sending_instances = self.sending_instances.load(Ordering::Relaxed);
        let mut views = Vec::with_capacity(self.members.len());
        let mut indexes = Vec::with_capacity(self.members.len());
        for report in self.reports.reports() {
            let Some(index) = self.index_of(&report.member) else { continue };
            let applied = report.status.applied;
            let freshness = self.reports.with_samples(|samples| MemberFreshness {
                age: samples.age_of(applied, now),
                lag: samples.age_of(applied, report.requested_at).unwrap_or(ASSUMED_LAG),
            });
            let weight = self.weight_of(index);
            views.push(self.members[index].view(
                report.status,
                freshness,
                weight,
                sending_instances,
            ));
            indexes.push(index);
        }
        (views, indexes)
    }
}

/// Returns an instance's equal share of a member's connections, less those reserved for control
/// statements, and at least one.
fn connection_share(settings: &MemberSettings, instances: u32) -> u32 {
    let share = settings.connections.0 / instances.max(1);
    share.saturating_sub(CONTROL_CONNECTIONS).max(1)
}

fn login_of(service: &ServiceSettings) -> LoginSettings {
    let password = service.password_variable.as_ref().and_then(|name| std::env::var(name).ok());
    LoginSettings { user: service.user.clone(), database: service.database.clone(), password }
}

fn assumed_round_trip(member: &MemberSettings, context: &GroupContext) -> Duration {
    if member.domain == context.domain {
        return ASSUMED_ROUND_TRIPS[0];
    }
    let region_of = |name: &DomainName| {
        let index = context.domains.binary_search_by(|domain| domain.name.cmp(name)).ok()?;
        Some(&context.domains[index].region)
    };
    let same_region = region_of(&member.domain) == region_of(&context.domain);
    if same_region { ASSUMED_ROUND_TRIPS[1] } else { ASSUMED_ROUND_TRIPS[2] }
}
