//! State that the tasks of all callers of an instance share.

use crate::caller::CancelRegistry;
use crate::classify::SummaryCache;
use crate::group::GroupState;
use crate::policy::ProxyPolicies;
use crate::process::ProcessSettings;
use arc_swap::ArcSwap;
use rudder_core::{DomainName, InstanceName, ServiceName};
use rudder_decisions::{LogThrottle, MemoryBudget};
use rudder_peers::PeerEntry;
use rudder_settings::FleetSettings;
use rudder_store::RevisionFollower;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

/// The settings in force and the groups that they declare.
#[derive(Default)]
pub(crate) struct FleetState {
    /// Revision number; zero until a revision is in force.
    pub(crate) revision: u64,
    pub(crate) settings: FleetSettings,
    /// Sorted by service name.
    pub(crate) groups: Vec<Arc<GroupState>>,
}

impl FleetState {
    /// Returns the group of a service.
    pub(crate) fn group(&self, service: &ServiceName) -> Option<&Arc<GroupState>> {
        let index = self.groups.binary_search_by(|group| group.service.name.cmp(service)).ok()?;
        Some(&self.groups[index])
    }
}

/// Shared state of one instance.
pub(crate) struct InstanceContext {
    /// Settings of this process.
    pub(crate) process: ProcessSettings,
    /// Routing and admission policies.
    pub(crate) policies: ProxyPolicies,
    /// Fleet settings in force.
    pub(crate) fleet: ArcSwap<FleetState>,
    /// Cached statement classifications.
    pub(crate) summaries: SummaryCache,
    /// Cancel keys of the callers.
    pub(crate) cancel_registry: Arc<CancelRegistry>,
    /// Holds the revision in force with its files, which peers can fetch.
    pub(crate) follower: Mutex<RevisionFollower>,
    /// Greatest revision number in a peer's hint.
    pub(crate) revision_hint: watch::Sender<u64>,
    /// Set to true when this instance starts to leave.
    pub(crate) leaving: watch::Sender<bool>,
    /// Number of changes of `fleet`.
    pub(crate) fleet_changes: watch::Sender<u64>,
    /// Number of instances that share the members' connections.
    pub(crate) instance_count: AtomicU32,
    /// Memory that the requests of all callers may occupy.
    pub(crate) request_memory: Arc<MemoryBudget>,
    /// Memory that the sessions of all callers may occupy between requests.
    pub(crate) session_memory: Arc<MemoryBudget>,
    /// Callers and requests that were refused since the last log line about them.
    pub(crate) refusal_log: Mutex<LogThrottle>,
    /// TLS for callers, if it is configured.
    pub(crate) tls: Option<TlsAcceptor>,
    /// Reference point of the instance's monotonic time.
    pub(crate) origin: Instant,
}

impl InstanceContext {
    /// Returns this instance's name.
    pub(crate) fn name(&self) -> &InstanceName {
        &self.process.instance
    }

    /// Returns this instance's failure domain.
    pub(crate) fn domain(&self) -> &DomainName {
        &self.process.domain
    }

    /// Returns the number of instances that share the members' connections.
    pub(crate) fn instance_count(&self) -> u32 {
        self.instance_count.load(Ordering::Relaxed).max(1)
    }

    /// Sets the number of instances in the membership. A leaving instance counts, as it still holds
    /// its connections.
    pub(crate) fn set_instance_count(&self, live: &[PeerEntry]) {
        let count = u32::try_from(live.len()).unwrap_or(u32::MAX);
        self.instance_count.store(count, Ordering::Relaxed);
    }

    /// Logs a caller or request that was refused because `reason` is used up, at most a line a second.
    pub(crate) fn log_refusal(&self, reason: &'static str) {
        let mut throttle = self.refusal_log.lock().expect("no holder of this lock panics");
        if let Some(count) = throttle.record(1, Instant::now()) {
            log::warn!(
                target: "rudder::caller", reason = reason, count = count,
                requests_bytes = self.request_memory.used().0,
                sessions_bytes = self.session_memory.used().0;
                "callers were refused, as there is no room for all"
            );
        }
    }

    /// Whether this instance is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}
