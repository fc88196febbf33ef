//! What every caller's task of this instance shares.

use crate::caller::CancelBoard;
use crate::classify::FactsCache;
use crate::group::GroupState;
use crate::policy::ProxyPolicies;
use crate::process::ProcessSettings;
use arc_swap::ArcSwap;
use rudder_core::{DomainName, InstanceName, ServiceName};
use rudder_peers::PeerEntry;
use rudder_settings::FleetSettings;
use rudder_store::RevisionFollower;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

/// The settings in force, with the groups that they declare.
#[derive(Default)]
pub(crate) struct FleetState {
    /// The revision's number; zero before any was accepted.
    pub(crate) revision: u64,
    /// The settings.
    pub(crate) settings: FleetSettings,
    /// The groups, sorted by service name.
    pub(crate) groups: Vec<Arc<GroupState>>,
}

impl FleetState {
    /// The group of a service.
    pub(crate) fn group(&self, service: &ServiceName) -> Option<&Arc<GroupState>> {
        let index = self.groups.binary_search_by(|group| group.service.name.cmp(service)).ok()?;
        Some(&self.groups[index])
    }
}

/// The state of one instance.
pub(crate) struct InstanceContext {
    /// This process's own settings.
    pub(crate) process: ProcessSettings,
    /// The rules by which it decides.
    pub(crate) policies: ProxyPolicies,
    /// The settings in force.
    pub(crate) fleet: ArcSwap<FleetState>,
    /// Remembered classifications.
    pub(crate) facts: FactsCache,
    /// The callers' cancel keys.
    pub(crate) cancel: Arc<CancelBoard>,
    /// The revision in force, with its files, for peers that ask.
    pub(crate) follower: Mutex<RevisionFollower>,
    /// The greatest revision number that a peer spoke of.
    pub(crate) revision_hint: watch::Sender<u64>,
    /// Whether this instance is leaving.
    pub(crate) leaving: watch::Sender<bool>,
    /// Counts the changes of `fleet`.
    pub(crate) fleet_changes: watch::Sender<u64>,
    /// How many instances share the members' connections.
    pub(crate) instance_count: AtomicU32,
    /// TLS towards callers, if it is set.
    pub(crate) tls: Option<TlsAcceptor>,
    /// The origin of this instance's time line.
    pub(crate) origin: Instant,
}

impl InstanceContext {
    /// This instance's name.
    pub(crate) fn name(&self) -> &InstanceName {
        &self.process.instance
    }

    /// This instance's failure domain.
    pub(crate) fn domain(&self) -> &DomainName {
        &self.process.domain
    }

    /// How many instances share the members' connections.
    pub(crate) fn instances(&self) -> u32 {
        self.instance_count.load(Ordering::Relaxed).max(1)
    }

    /// Takes the instances that are not gone. One that is leaving still holds its connections.
    pub(crate) fn note_instances(&self, live: &[PeerEntry]) {
        let count = u32::try_from(live.len()).unwrap_or(u32::MAX);
        self.instance_count.store(count, Ordering::Relaxed);
    }

    /// Whether this instance is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}
