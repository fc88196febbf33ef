//! Probes of owners through relays, and evidence of claimants about owners.
//!
//! An owner that does not respond to its successor may still respond to others. The successor must
//! not take over then, so it asks relays in other failure domains to probe the owner. A relay
//! responds only with what the owner has just reported; it keeps no state of owners.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::peers::{
    EVIDENCE_ID, LimitOwner, OperationClaim, PeerExchange, PeerMessage, RelayProbe, RelayedProbe,
};
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::choose_relays;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of relays per probe. If a third of the instances cannot reach the owner, one of ten
/// successive rounds reaches it with near certainty.
const RELAYS: usize = 3;

/// Interval between the probes of owners and the checks of this instance's contact with the fleet.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks whether the settings define accounts, as long as they define none.
const UNUSED_INTERVAL: Duration = Duration::from_millis(1000);

/// Maximum number of pending requests in each direction; the oldest one is dropped.
const PENDING_MAX: usize = 1024;

/// Maximum age of evidence: an owner that has been silent for longer may have been replaced.
const EVIDENCE_AGE_MAX: Duration = Duration::from_millis(1900);

/// Probe that this instance sent through relays.
struct IndirectProbe {
    request_id: u64,
    account: AccountName,
    owner: InstanceName,
    sent_at: Duration,
}

/// Probe that this instance sends as a relay.
pub(super) struct PendingRelay {
    request_id: u64,
    owner_address: SocketAddr,
    requester: SocketAddr,
    probe: RelayProbe,
}

/// Probes through relays, of this instance and of others, oldest first.
#[derive(Default)]
pub(super) struct RelayLog {
    indirect: VecDeque<IndirectProbe>,
    relayed: VecDeque<PendingRelay>,
}

impl RelayLog {
    /// Removes the probe for which `from` responds as the owner.
    pub(super) fn end_relayed(
        &mut self,
        request_id: u64,
        from: SocketAddr,
    ) -> Option<PendingRelay> {
        let found =
            self.relayed.binary_search_by_key(&request_id, |known| known.request_id).ok()?;
        if self.relayed[found].owner_address != from {
            reject(from, "another_sender");
            return None;
        }
        self.relayed.remove(found)
    }

    fn push_indirect(&mut self, probe: IndirectProbe) {
        if self.indirect.len() >= PENDING_MAX {
            self.indirect.pop_front();
        }
        self.indirect.push_back(probe);
    }

    fn push_relayed(&mut self, relay: PendingRelay) {
        if self.relayed.len() >= PENDING_MAX {
            self.relayed.pop_front();
        }
        self.relayed.push_back(relay);
    }

    /// Returns when the request was sent that a response belongs to. Several relays respond to one
    /// request.
    fn sent_at(&self, response: &RelayedProbe) -> Option<Duration> {
        let order = |known: &IndirectProbe| known.request_id;
        let found = self.indirect.binary_search_by_key(&response.request_id, order).ok()?;
        let probe = &self.indirect[found];
        let matches = probe.account == response.account && probe.owner == response.owner;
        matches.then_some(probe.sent_at)
    }
}

/// Counts and logs a message that is not accepted.
fn reject(from: SocketAddr, reason: &'static str) {
    metrics::counter!("rudder_relay_messages_rejected_total", "reason" => reason).increment(1);
    log::debug!(peer:% = from, reason = reason; "a message about an owner was rejected");
}

impl ProxyEngine {
    /// Asks relays to probe an owner that did not respond to this instance.
    pub(super) async fn probe_through_relays(
        &self,
        exchange: &PeerExchange,
        account: &AccountName,
        owner: &InstanceName,
    ) {
        let peers = self.membership().limit_peers();
        let relays: Vec<SocketAddr> = {
            let others = peers.iter().filter(|peer| peer.instance != *owner);
            let candidates = others.map(|peer| (&peer.instance, &peer.domain));
            let domain = &self.identity().domain;
            let chosen = choose_relays(candidates, domain, RELAYS, &mut rand::rng());
            let address = |relay: &InstanceName| {
                peers.iter().find(|peer| peer.instance == *relay).map(|peer| peer.address)
            };
            chosen.into_iter().filter_map(address).collect()
        };
        let request_id = {
            let mut state = self.limits().state();
            let request_id = state.next_request_id();
            let (account, owner) = (account.clone(), owner.clone());
            let sent_at = boot_time();
            state.relays.push_indirect(IndirectProbe { request_id, account, owner, sent_at });
            request_id
        };
        metrics::counter!("rudder_relay_probes_total", "outcome" => "sent").increment(1);
        log::debug!(
            account:% = account, owner:% = owner, relays = relays.len();
            "an owner is probed through relays"
        );
        let probe = RelayProbe { request_id, account: account.clone(), owner: owner.clone() };
        exchange.send_all(&PeerMessage::RelayProbe(probe), &relays).await;
    }

    /// Probes an owner for another instance.
    pub(crate) async fn handle_relay_probe(
        &self,
        exchange: &PeerExchange,
        probe: RelayProbe,
        from: SocketAddr,
    ) {
        if !self.is_limit_peer(from) {
            return reject(from, "unknown_sender");
        }
        if self.operation_limit(&probe.account).is_none() {
            return reject(from, "unknown_account");
        }
        let owners = self.limit_owners(&probe.account);
        let Some(owner) = owners.iter().find(|owner| owner.instance == probe.owner) else {
            return reject(from, "not_an_owner");
        };
        let Some(owner_address) = owner.address else {
            let grants = self.counts_for(&probe.account).await;
            let response = relayed_probe(probe, grants);
            exchange.send(&PeerMessage::RelayedProbe(response), from).await;
            return;
        };
        let account = probe.account.clone();
        let request_id = {
            let mut state = self.limits().state();
            let request_id = state.next_request_id();
            state.relays.push_relayed(PendingRelay {
                request_id,
                owner_address,
                requester: from,
                probe,
            });
            request_id
        };
        let claim = OperationClaim { request_id, account, counts: false };
        exchange.send(&PeerMessage::Claim(claim), owner_address).await;
    }

    /// Returns an owner's response to the instance that asked this one to probe it.
    pub(super) async fn return_relayed(&self, relay: PendingRelay, grants: bool) {
        let Some(exchange) = self.exchange() else { return };
        let response = relayed_probe(relay.probe, grants);
        exchange.send(&PeerMessage::RelayedProbe(response), relay.requester).await;
    }

    /// Records what a relay or a claimant has observed of an owner.
    pub(crate) fn handle_relayed_probe(&self, response: &RelayedProbe, from: SocketAddr) {
        if !self.is_limit_peer(from) {
            return reject(from, "unknown_sender");
        }
        if self.operation_limit(&response.account).is_none() {
            return reject(from, "unknown_account");
        }
        let owners = self.limit_owners(&response.account);
        let is_earlier = owners
            .iter()
            .take_while(|owner| owner.instance != self.identity().name)
            .any(|owner| owner.instance == response.owner);
        // An instance that is no owner itself would otherwise accept reports about all owners.
        if !is_earlier || owners.iter().all(|owner| owner.address.is_some()) {
            return reject(from, "not_an_earlier_owner");
        }
        let now = boot_time();
        let mut state = self.limits().state();
        let observed_at = if response.request_id == EVIDENCE_ID {
            let age = Duration::from_millis(response.age_ms.into());
            if age >= EVIDENCE_AGE_MAX || !response.grants {
                return reject(from, "invalid_evidence");
            }
            now.saturating_sub(age)
        } else {
            match state.relays.sent_at(response) {
                Some(sent_at) => sent_at,
                None => return reject(from, "unknown_request"),
            }
        };
        metrics::counter!("rudder_relay_probes_total", "outcome" => "answered").increment(1);
        state.watch.record_report(&response.account, &response.owner, response.grants, observed_at);
    }

    /// Tells an owner which of the owners before it last decided a claim of this instance.
    pub(super) async fn send_evidence(
        &self,
        account: &AccountName,
        earlier: &[LimitOwner],
        to: SocketAddr,
    ) {
        let evidence = {
            let state = self.limits().state();
            let Some((owner, age)) = state.grants.latest(account, boot_time()) else { return };
            if earlier.iter().all(|known| known.instance != *owner) {
                return;
            }
            RelayedProbe {
                request_id: EVIDENCE_ID,
                account: account.clone(),
                owner: owner.clone(),
                grants: true,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        };
        if let Some(exchange) = self.exchange() {
            exchange.send(&PeerMessage::RelayedProbe(evidence), to).await;
        }
    }

    fn is_limit_peer(&self, from: SocketAddr) -> bool {
        self.membership().limit_peers().iter().any(|peer| peer.address == from)
    }
}

fn relayed_probe(probe: RelayProbe, grants: bool) -> RelayedProbe {
    let RelayProbe { request_id, account, owner } = probe;
    RelayedProbe { request_id, account, owner, grants, age_ms: 0 }
}

/// Checks this instance's contact with the fleet, and probes the owners before it, also while no
/// claims arrive.
pub(crate) async fn probe_owners(engine: Arc<ProxyEngine>) {
    loop {
        if engine.settings().is_some_and(|settings| settings.accounts.is_none()) {
            tokio::time::sleep(UNUSED_INTERVAL).await;
            continue;
        }
        engine.fleet_contact();
        engine.report_grants();
        let accounts: Vec<AccountName> = {
            let state = engine.limits().state();
            state.ledger.active_accounts(boot_time()).cloned().collect()
        };
        for account in accounts {
            engine.counts_for(&account).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
