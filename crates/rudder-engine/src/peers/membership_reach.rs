//! Instances that this one receives heartbeats from, as the parts of limits are worked out from them.

use super::holder_list::find_entry;
use super::membership::MembershipView;
use super::membership_state::{MembershipState, PeerEntry, ReceivedHeartbeat};
use super::readers::{ReaderCandidate, choose_domain_hubs};
use crate::clock::boot_time;
use rudder_core::{DomainName, InstanceName};
use rudder_decisions::{DomainCount, ReachBoard};
use std::net::SocketAddr;

impl MembershipState {
    /// Returns the instances that share the accounts: those that the store lists, or the contacts
    /// until its list is known.
    fn sharing(&self) -> impl Iterator<Item = &PeerEntry> {
        let known = if self.entries.is_empty() { &self.contacts } else { &self.entries };
        known.iter().filter(|entry| !entry.marked)
    }
}

impl MembershipView {
    /// Returns the number of instances of each failure domain that share the accounts, sorted by
    /// domain.
    pub(crate) fn domain_counts(&self) -> Vec<DomainCount> {
        let state = self.state();
        let mut counts: Vec<DomainCount> = Vec::new();
        for entry in state.sharing() {
            match counts.binary_search_by(|known| known.domain.cmp(&entry.domain)) {
                Ok(index) => counts[index].count += 1,
                Err(index) => {
                    counts.insert(index, DomainCount { domain: entry.domain.clone(), count: 1 });
                }
            }
        }
        counts
    }

    /// Returns, on a hub, the number of instances of its failure domain that it recently received a
    /// heartbeat from, including itself. While a hub discovers its peers, those that it has not
    /// heard from yet count.
    pub(crate) fn own_domain_count(&self) -> Option<usize> {
        if !self.is_hub() {
            return None;
        }
        let now = boot_time();
        let state = self.state();
        let is_discovering = state.discovery_until.is_some_and(|until| now < until);
        let is_connected = |entry: &&PeerEntry| {
            let order = |known: &ReceivedHeartbeat| known.heartbeat.instance.cmp(&entry.instance);
            match state.received.binary_search_by(order) {
                Ok(index) => now < state.received[index].at + ReachBoard::heartbeat_timeout(),
                Err(_) => is_discovering,
            }
        };
        let near = state.sharing().filter(|entry| entry.domain == *self.own_domain());
        let others = near.filter(|entry| entry.instance != *self.own());
        Some(1 + others.filter(is_connected).count())
    }

    /// Returns the addresses that a hub reports to in other failure domains: those of the instances
    /// that are hubs there if none has failed, and of the instances that report to it.
    pub(crate) fn remote_hubs(&self, reporters: &[InstanceName]) -> Vec<SocketAddr> {
        let state = self.state();
        let candidates: Vec<ReaderCandidate> = state
            .sharing()
            .filter(|entry| entry.domain != *self.own_domain())
            .map(candidate)
            .collect();
        let mut domains: Vec<&DomainName> = candidates.iter().map(|known| &known.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let hubs = domains.iter().flat_map(|domain| choose_domain_hubs(candidates.clone(), domain));
        let reporting =
            reporters.iter().filter_map(|reporter| find_entry(&state.entries, reporter));
        let reporting = reporting.filter(|entry| entry.domain != *self.own_domain());
        let reporting = reporting.map(|entry| entry.address);
        let mut addresses: Vec<SocketAddr> =
            hubs.filter_map(|hub| hub.address).chain(reporting).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the failure domain of the instance that shares the accounts under a name and an
    /// address.
    pub(crate) fn domain_of(
        &self,
        instance: &InstanceName,
        address: SocketAddr,
    ) -> Option<DomainName> {
        let state = self.state();
        let found =
            state.sharing().find(|entry| entry.instance == *instance && entry.address == address);
        found.map(|entry| entry.domain.clone())
    }
}

fn candidate(entry: &PeerEntry) -> ReaderCandidate {
    ReaderCandidate {
        instance: entry.instance.clone(),
        domain: entry.domain.clone(),
        address: Some(entry.address),
        store_unreachable: false,
        capacity: entry.capacity.unwrap_or_default(),
    }
}
