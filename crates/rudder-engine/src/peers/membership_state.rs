//! What the store and the other instances said, as far as it is kept.

use super::list_change::ListHistory;
use super::message::{PeerHeartbeat, StopNotice};
use super::readers::ReaderCandidate;
use rudder_core::{DomainName, InstanceName, plain_data};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance counts as live after its last word. Two heartbeats, a second apart, may be
/// lost on the way.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2600);

/// How long an instance that the store did not answer leaves the store to others.
const STORE_BACKOFF: Duration = Duration::from_secs(5);

plain_data! {
    /// Where an instance is.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct PeerEntry {
        pub(crate) instance: InstanceName,
        pub(crate) domain: DomainName,
        pub(crate) address: SocketAddr,
        /// Whether it is about to be taken out of the list, unless it says that it lives.
        pub(crate) marked: bool,
    }
}

/// An instance that may count for a client account.
#[derive(Clone, Debug)]
pub(crate) struct LimitOwner {
    pub(crate) instance: InstanceName,
    /// Where it is reached; none for this instance.
    pub(crate) address: Option<SocketAddr>,
}

/// The last heartbeat of an instance.
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

/// What the store and the others said.
#[derive(Default)]
pub(super) struct MembershipState {
    /// The instances that the store lists, this one included, sorted by name.
    pub(super) entries: Vec<PeerEntry>,
    /// Their last versions; the digest of the newest goes with each answer to a peer.
    pub(super) history: ListHistory<PeerEntry>,
    /// When the store had them so.
    pub(super) entries_at: Duration,
    /// Instances of a list that may be old; good for finding neighbours only.
    pub(super) contacts: Vec<PeerEntry>,
    /// The last word of each, sorted by name.
    pub(super) received: Vec<ReceivedHeartbeat>,
    pub(super) stopped: Vec<StopNotice>,
    /// When the store did not answer this instance, if it has not answered since.
    pub(super) store_failed_at: Option<Duration>,
    /// When the store last answered this instance itself.
    pub(super) store_responded_at: Option<Duration>,
}

impl MembershipState {
    /// All others that the store lists or listed a moment ago.
    pub(super) fn reachable<'a>(
        &'a self,
        own: &'a InstanceName,
    ) -> impl Iterator<Item = &'a PeerEntry> {
        let entries = self.entries.iter().chain(&self.contacts);
        entries.filter(move |entry| entry.instance != *own)
    }

    /// The live instances that are not about to stop, the own one included.
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
                store_unreachable: received.heartbeat.turned_away,
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

    /// Whether the store did not answer this instance a moment ago.
    pub(super) fn is_store_unreachable(&self, now: Duration) -> bool {
        self.store_failed_at.is_some_and(|at| now < at + STORE_BACKOFF)
    }
}
