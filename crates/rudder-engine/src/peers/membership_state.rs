//! State received from the store and the other instances.

use super::list_change::ListHistory;
use super::message::{PeerHeartbeat, StopNotice};
use super::readers::ReaderCandidate;
use rudder_core::{DomainName, InstanceName, plain_data};
use rudder_decisions::InstanceCapacity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which an instance counts as live after its last heartbeat. Two heartbeats, a second
/// apart, may be lost in transit.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2600);

/// Time for which an instance that the store did not respond to leaves the store to others.
const STORE_BACKOFF: Duration = Duration::from_secs(5);

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
}

impl MembershipState {
    /// Returns all other instances that the store lists or recently listed.
    pub(super) fn reachable<'a>(
        &'a self,
        own: &'a InstanceName,
    ) -> impl Iterator<Item = &'a PeerEntry> {
        let entries = self.entries.iter().chain(&self.contacts);
        entries.filter(move |entry| entry.instance != *own)
    }

    /// Returns the live instances that are not about to stop, including this one.
    pub(super) fn candidates(
        &self,
        own: &InstanceName,
        own_domain: &DomainName,
        now: Duration,
    ) -> Vec<ReaderCandidate> {
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
            })
            .collect();
        all.push(ReaderCandidate {
            instance: own.clone(),
            domain: own_domain.clone(),
            address: None,
            store_unreachable: self.is_store_unreachable(now),
        });
        all
    }

    /// Returns whether the store recently did not respond to this instance.
    pub(super) fn is_store_unreachable(&self, now: Duration) -> bool {
        self.store_failed_at.is_some_and(|at| now < at + STORE_BACKOFF)
    }
}
