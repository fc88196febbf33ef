//! Membership of the fleet as known to this instance.

use super::fleet_copy::CopyVersion;
use super::holder_list::find_entry;
use super::list_change::{CopiedList, ListDigest};
use super::membership_state::{
    FleetRoles, LimitOwner, MembershipState, OwnCandidate, PeerEntry, ReceivedHeartbeat,
};
use super::message::{PeerHeartbeat, StopNotice};
use super::readers::{ReaderCandidate, fleet_reader};
use super::requests::RequestLog;
use super::subscribers::SubscriberList;
use crate::clock::boot_time;
use crate::identity::InstanceIdentity;
use crate::lead::{LeaderEpoch, PeerVote};
use crate::sync::lock;
use rudder_core::{AccountName, DomainName, InstanceName, ServiceName};
use rudder_decisions::{InstanceCapacity, WatchPlan, rank_owners};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Membership of the fleet as known to this instance.
pub(crate) struct MembershipView {
    own: InstanceName,
    own_domain: DomainName,
    own_capacity: InstanceCapacity,
    /// Number of failure domains of the whole deployment.
    domain_count: usize,
    state: Mutex<MembershipState>,
    requests: Mutex<RequestLog>,
    subscribers: Mutex<SubscriberList>,
    stop_received: Notify,
}

impl MembershipView {
    pub(crate) fn new(identity: &InstanceIdentity) -> Self {
        Self {
            own: identity.name.clone(),
            own_domain: identity.domain.clone(),
            own_capacity: identity.capacity.unwrap_or_default(),
            domain_count: identity.regions.len(),
            state: Mutex::default(),
            requests: Mutex::default(),
            subscribers: Mutex::default(),
            stop_received: Notify::new(),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, MembershipState> {
        lock(&self.state)
    }

    /// Returns the log of this instance's own requests.
    pub(crate) fn requests(&self) -> MutexGuard<'_, RequestLog> {
        lock(&self.requests)
    }

    pub(super) fn own(&self) -> &InstanceName {
        &self.own
    }

    pub(super) fn own_domain(&self) -> &DomainName {
        &self.own_domain
    }

    /// Replaces the instance list by the one that the store had at `read_at`, unless a later one is
    /// known.
    pub(crate) fn set_entries(&self, mut entries: Vec<PeerEntry>, read_at: Duration) {
        entries.sort_by(|left, right| left.instance.cmp(&right.instance));
        let mut state = self.state();
        if read_at >= state.entries_at {
            if entries.iter().any(|entry| entry.instance == self.own) {
                state.list_changes += u64::from(!state.contacts.is_empty());
                state.contacts.clear();
            }
            state.begin_discovery(boot_time());
            state.history.record(&entries);
            state.list_changes += u64::from(state.entries != entries);
            state.entries = entries;
            state.entries_at = read_at;
        }
    }

    /// Sets the instances of a list that may be some seconds old.
    pub(crate) fn set_contacts(&self, mut contacts: Vec<PeerEntry>) {
        contacts.sort_by(|left, right| left.instance.cmp(&right.instance));
        let mut state = self.state();
        state.contacts = contacts;
        state.list_changes += 1;
        state.store_responded_at = Some(boot_time());
        if !state.contacts.is_empty() {
            state.begin_discovery(boot_time());
        }
    }

    /// Returns the instance list, and when the store had it.
    pub(crate) fn entries(&self) -> (Vec<PeerEntry>, Duration) {
        let state = self.state();
        (state.entries.clone(), state.entries_at)
    }

    /// Returns the instance list for an instance that knows the list of `base`, and when the store
    /// had it.
    pub(crate) fn copy_entries(
        &self,
        base: ListDigest,
    ) -> (CopiedList<PeerEntry, InstanceName>, Duration) {
        let state = self.state();
        (state.history.copy_for(base), state.entries_at)
    }

    /// Returns the digest of the instance list, and when the store had it.
    pub(crate) fn entries_version(&self) -> (ListDigest, Duration) {
        let state = self.state();
        (state.history.digest(), state.entries_at)
    }

    /// Applies a peer's statement that the store had the list `digest` at `read_at`. Returns
    /// whether that list is newer than the known one.
    pub(crate) fn renew_entries(&self, digest: ListDigest, read_at: Duration) -> bool {
        let mut state = self.state();
        if read_at <= state.entries_at {
            return false;
        }
        let same = digest == state.history.digest();
        if same {
            state.entries_at = read_at;
        }
        !same
    }

    /// Returns when the store had an instance in the list without a mark, if it did.
    pub(crate) fn listed_at(&self, instance: &InstanceName) -> Option<Duration> {
        let state = self.state();
        let found = state.entries.binary_search_by(|entry| entry.instance.cmp(instance));
        let entry = found.ok().map(|index| &state.entries[index])?;
        (!entry.marked).then_some(state.entries_at)
    }

    /// Returns whether the list contains an instance, marked or not.
    pub(crate) fn has_entry(&self, instance: &InstanceName) -> bool {
        let state = self.state();
        state.entries.binary_search_by(|entry| entry.instance.cmp(instance)).is_ok()
    }

    /// Returns the receivers of this instance's heartbeats within its failure domain: all instances
    /// if it is a hub (see [`choose_domain_hubs`]), otherwise the hubs. The reader is one of the
    /// hubs.
    ///
    /// The datagrams of a domain therefore grow linearly with its size, not with the square of it.
    pub(crate) fn domain_receivers(&self) -> Vec<SocketAddr> {
        let hubs = self.roles().hubs;
        if !hubs.iter().any(|candidate| candidate.instance == self.own) {
            return deduplicate(hubs.iter().filter_map(|candidate| candidate.address));
        }
        let now = boot_time();
        let state = self.state();
        let is_near = |received: &&ReceivedHeartbeat| {
            received.is_live(now) && received.heartbeat.domain == self.own_domain
        };
        let listed = state.reachable(&self.own).filter(|entry| entry.domain == self.own_domain);
        let received = state.received.iter().filter(is_near).map(|received| received.from);
        deduplicate(listed.map(|entry| entry.address).chain(received))
    }

    /// Returns the receivers of a reader's heartbeats in other failure domains: the readers there,
    /// or all instances of a domain where no reader is known.
    ///
    /// The datagrams of a fleet therefore grow linearly with its size, not with the square of it.
    pub(crate) fn remote_receivers(&self) -> Vec<SocketAddr> {
        let roles = self.roles();
        if !roles.is_reader {
            return Vec::new();
        }
        let remote = |reader: &&ReaderCandidate| reader.domain != self.own_domain;
        let readers: Vec<&ReaderCandidate> = roles.readers.iter().filter(remote).collect();
        let state = self.state();
        let uncovered = state.reachable(&self.own).filter(|entry| {
            let covered = readers.iter().any(|reader| reader.domain == entry.domain);
            entry.domain != self.own_domain && !covered
        });
        let known = readers.iter().filter_map(|reader| reader.address);
        deduplicate(uncovered.map(|entry| entry.address).chain(known))
    }

    /// Returns when the last heartbeat of an instance was received.
    pub(crate) fn heard_at(&self, instance: &InstanceName) -> Option<Duration> {
        let state = self.state();
        let found = state.received.iter().find(|received| received.heartbeat.instance == *instance);
        found.map(|received| received.at)
    }

    /// Returns the number of other instances that the store lists.
    pub(crate) fn listed_count(&self) -> usize {
        let state = self.state();
        state.entries.iter().filter(|entry| entry.instance != self.own).count()
    }

    /// Returns the number of known instances, including this one: listed ones, and those whose
    /// heartbeats are received.
    pub(crate) fn known_count(&self) -> usize {
        let now = boot_time();
        let state = self.state();
        let is_listed = |instance: &InstanceName| find_entry(&state.entries, instance).is_some();
        let contacts = state.contacts.iter().filter(|entry| !is_listed(&entry.instance));
        let is_known = |instance: &InstanceName| {
            is_listed(instance) || find_entry(&state.contacts, instance).is_some()
        };
        let live = state.received.iter().filter(|received| received.is_live(now));
        let unlisted = live.filter(|received| !is_known(&received.heartbeat.instance));
        let own = usize::from(!is_known(&self.own));
        state.entries.len() + contacts.count() + unlisted.count() + own
    }

    /// Returns the addresses of all other instances: listed ones, and unlisted ones whose
    /// heartbeats are received.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let state = self.state();
        let now = boot_time();
        let listed = state.reachable(&self.own).map(|entry| entry.address);
        let received = state.received.iter().filter(|received| received.is_live(now));
        deduplicate(listed.chain(received.map(|received| received.from)))
    }

    /// Returns the instances to request records from, in order of preference: a reader asks the
    /// fleet reader, as that one polls the store, and the others ask the readers of their domain.
    pub(crate) fn sources(&self) -> Vec<SocketAddr> {
        let FleetRoles { readers, is_reader, .. } = self.roles();
        let fleet = fleet_reader(&readers).map(|reader| reader.instance.clone());
        let mut readers: Vec<&ReaderCandidate> = readers.iter().collect();
        readers.sort_by_key(|reader| {
            let is_fleet_reader = Some(&reader.instance) == fleet.as_ref();
            let near = reader.domain == self.own_domain;
            if is_reader { !is_fleet_reader } else { !near }
        });
        readers.into_iter().filter_map(|reader| reader.address).collect()
    }

    /// Returns whether this instance is a reader, which probes the primaries and passes the store's
    /// state on in its failure domain.
    pub(crate) fn is_reader(&self) -> bool {
        self.roles().is_reader
    }

    /// Returns whether this instance is the reader that polls the store for the whole fleet.
    pub(crate) fn is_fleet_reader(&self) -> bool {
        self.roles().is_fleet_reader
    }

    /// Returns whether this instance is a hub of its failure domain.
    pub(crate) fn is_hub(&self) -> bool {
        self.roles().hubs.iter().any(|hub| hub.instance == self.own)
    }

    /// Records whether the store responded to this instance.
    pub(crate) fn record_store_response(&self, answered: bool, now: Duration) {
        let mut state = self.state();
        let failed_at = (!answered).then_some(now);
        if failed_at.is_some() != state.store_failed_at.is_some() {
            state.roles = None;
        }
        state.store_failed_at = failed_at;
        if answered {
            state.store_responded_at = Some(now);
        }
    }

    /// Returns whether the store recently did not respond to this instance.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.state().is_store_unreachable(boot_time())
    }

    /// Returns the subscribers to the records of this instance.
    pub(crate) fn subscribers(&self) -> MutexGuard<'_, SubscriberList> {
        lock(&self.subscribers)
    }

    /// Returns the roles that follow from the live instances.
    fn roles(&self) -> FleetRoles {
        let own = OwnCandidate {
            instance: self.own.clone(),
            domain: self.own_domain.clone(),
            capacity: self.own_capacity,
        };
        self.state().roles(&own, self.domain_count, boot_time())
    }

    /// Records the heartbeat of another instance; the instance's own one is ignored.
    pub(crate) fn record_heartbeat(&self, heartbeat: PeerHeartbeat, from: SocketAddr) {
        if heartbeat.instance == self.own {
            return;
        }
        let received = ReceivedHeartbeat { heartbeat, from, at: boot_time() };
        let mut state = self.state();
        state.roles = None;
        let found = state
            .received
            .binary_search_by(|known| known.heartbeat.instance.cmp(&received.heartbeat.instance));
        match found {
            Ok(index) => state.received[index] = received,
            Err(index) => state.received.insert(index, received),
        }
    }

    /// Records a stop notice, in place of older ones of the same instance and service.
    pub(crate) fn record_stop(&self, notice: StopNotice) {
        let mut state = self.state();
        state.stopped.retain(|known| {
            (&known.instance, &known.service) != (&notice.instance, &notice.service)
                || known.epoch > notice.epoch
        });
        state.stopped.push(notice);
        drop(state);
        self.stop_received.notify_waiters();
    }

    /// Waits for the next stop notice, for at most `timeout`.
    pub(crate) async fn wait_stopped(&self, timeout: Duration) {
        let stopped = self.stop_received.notified();
        // A timeout means that no notice arrived; the caller retries in either case.
        let _ = tokio::time::timeout(timeout, stopped).await;
    }

    /// Returns the listed instances that have not sent a stop notice.
    pub(crate) fn not_stopped(&self, service: &ServiceName, epoch: LeaderEpoch) -> Vec<PeerEntry> {
        let state = self.state();
        let has_stopped = |entry: &PeerEntry| {
            state.stopped.iter().any(|notice| {
                notice.instance == entry.instance
                    && notice.service == *service
                    && notice.epoch >= epoch
            })
        };
        let others = state.entries.iter().filter(|entry| entry.instance != self.own);
        others.filter(|entry| !has_stopped(entry)).cloned().collect()
    }

    /// Returns how the readers share the watch of the primaries of this number of services.
    pub(crate) fn watch_plan(&self, services: usize) -> WatchPlan {
        WatchPlan::new(services, self.roles().readers.len())
    }

    /// Returns whether this instance watches the primary of a service.
    pub(crate) fn watches(&self, plan: WatchPlan, service: &ServiceName) -> bool {
        let roles = self.roles();
        roles.is_reader && is_watcher(plan, service, &self.own, &roles.readers)
    }

    /// Returns the addresses of the other instances that watch the primary of a service.
    pub(crate) fn watcher_addresses(
        &self,
        plan: WatchPlan,
        service: &ServiceName,
    ) -> Vec<SocketAddr> {
        let readers = self.roles().readers;
        let watchers =
            readers.iter().filter(|reader| is_watcher(plan, service, &reader.instance, &readers));
        watchers.filter_map(|reader| reader.address).collect()
    }

    /// Returns the votes of the watchers on the primary of a record's version, including this
    /// instance's vote.
    pub(crate) fn votes(
        &self,
        plan: WatchPlan,
        service: &ServiceName,
        epoch: LeaderEpoch,
        own_suspects: bool,
    ) -> Vec<PeerVote> {
        let readers = self.roles().readers;
        let state = self.state();
        let suspects = |instance: &InstanceName| {
            let found =
                state.received.iter().find(|received| received.heartbeat.instance == *instance);
            found.is_some_and(|received| {
                let suspicions = &received.heartbeat.suspicions;
                suspicions
                    .iter()
                    .any(|suspicion| suspicion.service == *service && suspicion.epoch == epoch)
            })
        };
        let vote = |reader: &ReaderCandidate| PeerVote {
            suspects: match reader.address {
                Some(_) => suspects(&reader.instance),
                None => own_suspects,
            },
            instance: reader.instance.clone(),
            domain: reader.domain.clone(),
        };
        let watchers =
            readers.iter().filter(|reader| is_watcher(plan, service, &reader.instance, &readers));
        watchers.map(vote).collect()
    }

    /// Returns whether an instance was observed after `since` with another process than `process`.
    /// Heartbeats that were received earlier may be from a previous process.
    pub(crate) fn has_restarted(
        &self,
        instance: &InstanceName,
        process: u64,
        since: Duration,
    ) -> bool {
        let state = self.state();
        let found = state.received.iter().find(|received| received.heartbeat.instance == *instance);
        found.is_some_and(|received| received.at > since && received.heartbeat.process != process)
    }

    /// Returns all instances that may hold connections, sorted by name: listed ones, those whose
    /// heartbeats are received, and this one.
    pub(crate) fn known(&self) -> Vec<InstanceName> {
        let now = boot_time();
        let state = self.state();
        let listed = state.reachable(&self.own).map(|entry| entry.instance.clone());
        let live = state.received.iter().filter(|received| received.is_live(now));
        let received = live.map(|received| received.heartbeat.instance.clone());
        let mut known: Vec<InstanceName> = listed.chain(received).collect();
        known.push(self.own.clone());
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Returns the instances that may count for an account, in order of rank. They are chosen from
    /// the store's instance list, or from the contacts, which may be outdated, until it is known.
    pub(crate) fn limit_owners(&self, account: &AccountName, count: usize) -> Vec<LimitOwner> {
        let state = self.state();
        let known = if state.entries.is_empty() { &state.contacts } else { &state.entries };
        let usable = known.iter().filter(|entry| !entry.marked);
        let ranked = rank_owners(account, usable.map(|entry| &entry.instance), count);
        let owner = |instance: &InstanceName| {
            let entry = known.iter().find(|entry| entry.instance == *instance)?;
            let address = (*instance != self.own).then_some(entry.address);
            Some(LimitOwner { instance: instance.clone(), address })
        };
        ranked.into_iter().filter_map(owner).collect()
    }

    /// Returns the other instances that share the accounts.
    pub(crate) fn limit_peers(&self) -> Vec<PeerEntry> {
        let state = self.state();
        let known = if state.entries.is_empty() { &state.contacts } else { &state.entries };
        let others = known.iter().filter(|entry| !entry.marked && entry.instance != self.own);
        others.cloned().collect()
    }

    /// Returns when the store last responded to this instance itself.
    pub(crate) fn store_answered_at(&self) -> Option<Duration> {
        self.state().store_responded_at
    }

    /// Returns whether the instances that share the accounts are known: by the store's list, or by
    /// a list that may be outdated but contains other instances.
    pub(crate) fn knows_owners(&self) -> bool {
        let state = self.state();
        !state.entries.is_empty() || state.contacts.iter().any(|entry| entry.instance != self.own)
    }

    /// Returns a live instance that knows something newer than `version`.
    pub(crate) fn newer_copy(&self, version: CopyVersion) -> Option<SocketAddr> {
        let now = boot_time();
        let state = self.state();
        let newer = state
            .received
            .iter()
            .filter(|received| received.is_live(now) && version.lacks(received.heartbeat.version));
        // Among equally new ones a random one is chosen, so that not all instances ask the same
        // one.
        let order = |received: &&ReceivedHeartbeat| {
            let known = received.heartbeat.version;
            (known.settings, known.members, rand::random::<u32>())
        };
        newer.max_by_key(order).map(|received| received.from)
    }
}

fn is_watcher(
    plan: WatchPlan,
    service: &ServiceName,
    instance: &InstanceName,
    readers: &[ReaderCandidate],
) -> bool {
    plan.watches(service, instance, readers.iter().map(|reader| &reader.instance))
}

fn deduplicate(addresses: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut addresses: Vec<_> = addresses.collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}
