//! State received from the store and the other instances.

use super::holder_list::find_entry;
use super::list_change::ListHistory;
use super::message::{PeerHeartbeat, StopNotice};
use super::readers::{ReaderCandidate, choose_domain_hubs, choose_readers, fleet_reader};
use rudder_core::{DomainName, InstanceName, plain_data};
use rudder_decisions::InstanceCapacity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which an instance counts as live after its last heartbeat. Two heartbeats, a second
/// apart, may be lost in transit.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2600);

/// Time for which an instance that the store did not respond to leaves the store to others.
const STORE_BACKOFF: Duration = Duration::from_secs(5);

/// Time after its first list of instances during which an instance takes the listed ones for live.
/// The first heartbeats of its hubs arrive well within it. If an instance counted only those that
/// it has already heard, each of a fleet that starts at once would take itself for the reader of
/// the store and for a hub of its domain.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// Time for which the roles that follow from the heartbeats are not worked out again. They are
/// asked for several times per service and evaluation.
const ROLES_VALIDITY: Duration = Duration::from_millis(20);

plain_data! {
    /// Entry of an instance in the instance list.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PeerEntry {
        pub(crate) instance: InstanceName,
        pub(crate) domain: DomainName,
        pub(crate) address: SocketAddr,
        /// Whether the entry is about to be removed, unless the instance rewrites it.
        pub(crate) marked: bool,
        /// Capacity that the instance states; `None` in entries of older builds. Not part of the
        /// encoding or the digest of a list, which older builds have to agree on: a copy carries it
        /// after the end (see `peers::fleet_copy`).
        #[serde(skip)]
        pub(crate) capacity: Option<InstanceCapacity>,
    }
}

/// Instance that may count for a client account.
#[derive(Clone, Debug)]
pub(crate) struct LimitOwner {
    pub(crate) instance: InstanceName,
    /// Address of the instance; `None` for this one.
    pub(crate) address: Option<SocketAddr>,
}

/// This instance as a candidate for a role.
#[derive(Clone, Debug)]
pub(super) struct OwnCandidate {
    pub(super) instance: InstanceName,
    pub(super) domain: DomainName,
    pub(super) capacity: InstanceCapacity,
}

/// Last heartbeat of an instance.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHeartbeat {
    pub(super) heartbeat: PeerHeartbeat,
    pub(super) from: SocketAddr,
    pub(super) at: Duration,
}

impl ReceivedHeartbeat {
    pub(super) fn is_live(&self, now: Duration) -> bool {
        now < self.at + LIVENESS_TIMEOUT
    }
}

/// Roles that follow from the live instances.
#[derive(Clone, Debug)]
pub(super) struct FleetRoles {
    pub(super) computed_at: Duration,
    pub(super) readers: Arc<Vec<ReaderCandidate>>,
    /// Hubs of this instance's failure domain.
    pub(super) hubs: Arc<Vec<ReaderCandidate>>,
    pub(super) is_reader: bool,
    pub(super) is_fleet_reader: bool,
}

/// State received from the store and the other instances.
#[derive(Default)]
pub(super) struct MembershipState {
    /// Instances that the store lists, including this one, sorted by name.
    pub(super) entries: Vec<PeerEntry>,
    /// Recent versions of the list; the digest of the newest one is part of each response to a
    /// peer.
    pub(super) history: ListHistory<PeerEntry>,
    /// Time at which the store had this list.
    pub(super) entries_at: Duration,
    /// Instances of a list that may be outdated; used to find peers and, until a list is known, the
    /// owners of limits.
    pub(super) contacts: Vec<PeerEntry>,
    /// Number of changes of the entries and contacts.
    pub(super) list_changes: u64,
    /// Last heartbeat of each instance, sorted by name.
    pub(super) received: Vec<ReceivedHeartbeat>,
    pub(super) stopped: Vec<StopNotice>,
    /// Time at which the store did not respond to this instance, if it has not responded since.
    pub(super) store_failed_at: Option<Duration>,
    /// Time at which the store last responded to this instance itself.
    pub(super) store_responded_at: Option<Duration>,
    /// Time until which listed instances count as live without a heartbeat; none before the first
    /// list.
    pub(super) discovery_until: Option<Duration>,
    /// Roles as last worked out; `None` after a change that affects them.
    pub(super) roles: Option<FleetRoles>,
}

impl MembershipState {
    /// Records that a list of instances became known at `now`.
    pub(super) fn begin_discovery(&mut self, now: Duration) {
        self.discovery_until.get_or_insert(now + DISCOVERY_TIME);
        self.roles = None;
    }

    /// Returns the roles at `now`.
    pub(super) fn roles(
        &mut self,
        own: &OwnCandidate,
        domain_count: usize,
        now: Duration,
    ) -> FleetRoles {
        if let Some(roles) = &self.roles
            && now < roles.computed_at + ROLES_VALIDITY
        {
            return roles.clone();
        }
        let candidates = self.candidates(own, now);
        let hubs = choose_domain_hubs(candidates.clone(), &own.domain);
        let readers = choose_readers(candidates, domain_count);
        let is_own = |reader: &ReaderCandidate| reader.instance == own.instance;
        let roles = FleetRoles {
            computed_at: now,
            is_reader: readers.iter().any(is_own),
            is_fleet_reader: fleet_reader(&readers).is_some_and(is_own),
            readers: Arc::new(readers),
            hubs: Arc::new(hubs),
        };
        self.roles = Some(roles.clone());
        roles
    }

    fn listed_capacity(&self, instance: &InstanceName) -> InstanceCapacity {
        let entry = find_entry(&self.entries, instance);
        let entry = entry.or_else(|| find_entry(&self.contacts, instance));
        entry.and_then(|entry| entry.capacity).unwrap_or_default()
    }

    /// Returns all other instances that the store lists or recently listed.
    pub(super) fn reachable<'a>(
        &'a self,
        own: &'a InstanceName,
    ) -> impl Iterator<Item = &'a PeerEntry> {
        let entries = self.entries.iter().chain(&self.contacts);
        entries.filter(move |entry| entry.instance != *own)
    }

    /// Returns the live instances that are not about to stop, including this one. While this
    /// instance discovers its peers, those that it has not heard from yet count as live.
    fn candidates(&self, own: &OwnCandidate, now: Duration) -> Vec<ReaderCandidate> {
        let live = self
            .received
            .iter()
            .filter(|received| received.is_live(now) && !received.heartbeat.leaving);
        let mut all: Vec<ReaderCandidate> = live
            .map(|received| ReaderCandidate {
                instance: received.heartbeat.instance.clone(),
                domain: received.heartbeat.domain.clone(),
                address: Some(received.from),
                store_unreachable: received.heartbeat.store_unreachable,
                capacity: self.listed_capacity(&received.heartbeat.instance),
            })
            .collect();
        if self.discovery_until.is_some_and(|until| now < until) {
            let expected = self.reachable(&own.instance).filter(|entry| !entry.marked);
            let unheard = expected.filter(|entry| {
                let order =
                    |known: &ReceivedHeartbeat| known.heartbeat.instance.cmp(&entry.instance);
                self.received.binary_search_by(order).is_err()
            });
            all.extend(unheard.map(|entry| ReaderCandidate {
                instance: entry.instance.clone(),
                domain: entry.domain.clone(),
                address: Some(entry.address),
                store_unreachable: false,
                capacity: entry.capacity.unwrap_or_default(),
            }));
        }
        all.push(ReaderCandidate {
            instance: own.instance.clone(),
            domain: own.domain.clone(),
            address: None,
            store_unreachable: self.is_store_unreachable(now),
            capacity: own.capacity,
        });
        all
    }

    /// Returns whether the store recently did not respond to this instance.
    pub(super) fn is_store_unreachable(&self, now: Duration) -> bool {
        self.store_failed_at.is_some_and(|at| now < at + STORE_BACKOFF)
    }
}
