//! Holders of the connections of client accounts, as known to this instance.
//!
//! Load pattern: each statement of an account asks for its holders, and ranking all instances takes
//! longer than the rest of its path. The order depends on the instance list only, so it is kept
//! until the list changes.

use crate::engine::ProxyEngine;
use crate::group::GroupMember;
use crate::peers::{HolderList, PeerEntry, find_entry};
use crate::sync::lock;
use rudder_core::{AccountName, DomainName, InstanceName, ServiceName, plain_data};
use rudder_decisions::{
    ForwardingRule, HOLDERS_MAX, HolderBoard, HolderCandidate, LocalPool, NodePlace, rank_holders,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

plain_data! {
    /// Holders of an account's connections to a member, the first in order of rank.
    #[derive(Default)]
    pub(crate) struct RankedHolders {
        pub(crate) names: Vec<InstanceName>,
        /// Address of each at which its peers reach it.
        addresses: Vec<SocketAddr>,
    }
}

impl RankedHolders {
    /// Returns the address of a holder.
    pub(crate) fn address(&self, holder: &InstanceName) -> Option<SocketAddr> {
        let index = self.names.iter().position(|name| name == holder)?;
        self.addresses.get(index).copied()
    }
}

/// What decides where a statement of an account at a member runs.
#[derive(Clone, Debug)]
pub(crate) struct MemberHolders {
    /// Whether the statement may be forwarded; otherwise there are no holders.
    pub(crate) is_needed: bool,
    pub(crate) holders: Arc<RankedHolders>,
    /// This instance's own connections to the member.
    pub(crate) pool: LocalPool,
}

/// Holders of all accounts, and what is known about them.
#[derive(Default)]
pub(crate) struct HolderTable {
    state: Mutex<HolderState>,
    board: Mutex<HolderBoard>,
}

#[derive(Default)]
struct HolderState {
    /// Version of the list that all else is derived from.
    version: Option<u64>,
    /// Sorted by instance.
    entries: Vec<PeerEntry>,
    candidates: Arc<Vec<HolderCandidate>>,
    /// Sorted by key.
    ranked: Vec<(HolderKey, Arc<RankedHolders>)>,
}

/// Account, service and failure domain of a member: what determines the holders.
type HolderKey = (AccountName, ServiceName, DomainName);

impl HolderState {
    fn replace_list(&mut self, list: HolderList, regions: &[(DomainName, String)]) {
        let candidate = |entry: &PeerEntry| HolderCandidate {
            instance: entry.instance.clone(),
            place: place_of(&entry.domain, regions),
            capacity: entry.capacity.unwrap_or_default(),
        };
        self.candidates = Arc::new(list.entries.iter().map(candidate).collect());
        self.entries = list.entries;
        self.version = Some(list.version);
        self.ranked.clear();
    }

    fn rank(
        &mut self,
        service: &ServiceName,
        account: &AccountName,
        member_place: &NodePlace,
    ) -> Arc<RankedHolders> {
        let wanted = (account, service, &member_place.domain);
        let found = self.ranked.binary_search_by(|((account, service, domain), _)| {
            (account, service, domain).cmp(&wanted)
        });
        let index = match found {
            Ok(index) => return Arc::clone(&self.ranked[index].1),
            Err(index) => index,
        };
        let mut names = rank_holders(service, account, &self.candidates, member_place);
        names.truncate(HOLDERS_MAX);
        let address = |name: &InstanceName| Some(find_entry(&self.entries, name)?.address);
        let addresses = names.iter().filter_map(address).collect();
        let ranked = Arc::new(RankedHolders { names, addresses });
        let key = (account.clone(), service.clone(), member_place.domain.clone());
        self.ranked.insert(index, (key, Arc::clone(&ranked)));
        ranked
    }
}

/// Returns the place of an instance. A domain that the deployment does not list is a region of its
/// own.
fn place_of(domain: &DomainName, regions: &[(DomainName, String)]) -> NodePlace {
    let found = regions.binary_search_by(|(known, _)| known.cmp(domain));
    let region = found.map_or_else(|_| domain.to_string(), |index| regions[index].1.clone());
    NodePlace { domain: domain.clone(), region }
}

impl HolderTable {
    /// Returns what is known about the holders.
    pub(crate) fn board(&self) -> MutexGuard<'_, HolderBoard> {
        lock(&self.board)
    }
}

impl ProxyEngine {
    /// Returns the instances that may hold connections, from the list as it is now.
    pub(crate) fn holder_candidates(&self) -> Arc<Vec<HolderCandidate>> {
        Arc::clone(&self.current_holders().candidates)
    }

    /// Whether statements of client accounts are forwarded at a service whose members accept this
    /// number of connections.
    pub(crate) fn forwards(&self, connections_max: u32) -> bool {
        let settings = self.settings();
        let accounts = settings.and_then(|settings| Some(settings.accounts.as_ref()?.len()));
        let instances = self.current_holders().candidates.len();
        ForwardingRule::new(instances, accounts.unwrap_or(0), connections_max).is_needed()
    }

    /// Returns the holders of an account's connections to a member, and the state of this instance's
    /// own connections to it.
    pub(crate) fn member_holders(
        &self,
        service: &ServiceName,
        account: &AccountName,
        member: &GroupMember,
    ) -> MemberHolders {
        let pool = member.pool().local_pool(account);
        let is_needed = self.connections_max(service).is_some_and(|max| self.forwards(max));
        let holders = if is_needed {
            self.current_holders().rank(service, account, &member.place())
        } else {
            Arc::default()
        };
        MemberHolders { is_needed, holders, pool }
    }

    fn connections_max(&self, service: &ServiceName) -> Option<u32> {
        let settings = self.settings()?;
        let rules = &settings.services;
        let found = rules.binary_search_by(|rule| rule.service.cmp(service)).ok()?;
        Some(rules[found].connections_max)
    }

    /// Returns the state derived from the instance list, which is updated if the list has changed.
    fn current_holders(&self) -> MutexGuard<'_, HolderState> {
        let mut state = lock(&self.holders().state);
        if let Some(list) = self.membership().holder_list(state.version) {
            state.replace_list(list, &self.identity().regions);
            let listed: Vec<InstanceName> =
                state.entries.iter().map(|entry| entry.instance.clone()).collect();
            self.holders().board().retain_listed(&listed);
        }
        state
    }
}

#[cfg(test)]
mod tests;
