//! Counting of operations at the instance that owns an account's limit.

use super::queue::QueueClaimant;
use super::state::ReceivedResponse;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::identity::DrainPhase;
use crate::peers::{
    ClaimOutcome, ClaimResponse, LimitOwner, OperationClaim, PeerExchange, PeerMessage,
};
use rudder_core::AccountName;
use rudder_decisions::{ClaimTerms, FleetContact, LimitBounds, OperationLimit, OwnerRole};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of instances that may count for one account.
const OWNERS_MAX: usize = 3;

impl ProxyEngine {
    /// Returns the instances that may count for an account, in order of rank.
    pub(super) fn limit_owners(&self, account: &AccountName) -> Vec<LimitOwner> {
        self.membership().limit_owners(account, OWNERS_MAX)
    }

    /// Returns the account's limit under the settings in force.
    pub(super) fn operation_limit(&self, account: &AccountName) -> Option<OperationLimit> {
        let limit = self.settings()?.accounts.as_ref()?.limit(account)?;
        Some(limit.into())
    }

    /// Returns whether this instance was recently in contact with the store, directly or through
    /// peers, and for how long.
    pub(super) fn fleet_contact(&self) -> FleetContact {
        let groups = self.groups();
        let confirmed_at =
            groups.iter().map(|group| group.with_leases(|leases| leases.valid_from())).max();
        let confirmed_at = confirmed_at.max(self.membership().store_answered_at());
        let connected_until = confirmed_at.unwrap_or_default() + LimitBounds::contact_timeout();
        let now = boot_time();
        let mut state = self.limits().state();
        let checked_at = state.contact_checked_at.replace(now).unwrap_or(now);
        if now >= connected_until {
            if state.contact_since.is_some_and(|since| since != checked_at) {
                log::info!(
                    age_ms = now.saturating_sub(confirmed_at.unwrap_or_default()).as_millis();
                    "this instance has no contact with the store and grants little as an owner"
                );
            }
            state.contact_since = Some(now);
            state.ledger.detach(connected_until);
            return FleetContact::Lost;
        }
        // A process that was suspended may find new contact before it checks for the first time.
        if now >= checked_at + LimitBounds::contact_timeout() {
            state.contact_since = Some(now);
            state.ledger.detach(checked_at);
        }
        let settled_at =
            state.contact_since.get_or_insert(now).saturating_add(self.settling_time());
        if now >= settled_at { FleetContact::Settled } else { FleetContact::Connected }
    }

    /// Returns the time of contact with the fleet after which this instance knows that no other one
    /// counted for the accounts whose first owner it is.
    fn settling_time(&self) -> Duration {
        self.identity().limit_bounds.window
    }

    /// Returns whether this instance counts the operations of an account. If it does no longer, its
    /// queue is rejected.
    pub(super) async fn counts_for(&self, account: &AccountName) -> bool {
        // The probing instance knows a limit. If this instance knows none yet, another one counts.
        if self.operation_limit(account).is_none() {
            return false;
        }
        let role = self.role_for(account).await.map_or(OwnerRole::Absent, |(_, role)| role);
        let (counts, notices) = {
            let mut state = self.limits().state();
            let is_absent = role == OwnerRole::Absent;
            let notices = if is_absent { state.stop_counting(account) } else { Vec::new() };
            (state.ledger.grants(account, role), notices)
        };
        self.send_outcomes(account, notices).await;
        counts
    }

    /// Returns the rank of this instance among an account's owners and whether it counts for the
    /// account, or `None` if it is no owner. Asks the owners that are ranked before it whether they
    /// count.
    pub(super) async fn role_for(&self, account: &AccountName) -> Option<(usize, OwnerRole)> {
        let own = &self.identity().name;
        // Without a list, each instance of a restarting fleet would consider itself the only one.
        if !self.membership().knows_owners() {
            return None;
        }
        if self.drain_phase() != DrainPhase::Serving {
            return None;
        }
        let owners = self.limit_owners(account);
        let rank = owners.iter().position(|owner| owner.instance == *own)?;
        let mut states = Vec::new();
        let mut probes = Vec::new();
        let mut unanswered = Vec::new();
        {
            let now = boot_time();
            let mut state = self.limits().state();
            for owner in &owners[..rank] {
                if state.watch.try_begin_probe(account, &owner.instance, now) {
                    let request_id = state.begin_probe(account, &owner.instance);
                    probes.extend(owner.address.map(|address| (request_id, address)));
                    if state.watch.needs_relays(account, &owner.instance) {
                        unanswered.push(&owner.instance);
                    }
                }
                states.push(state.watch.state(account, &owner.instance, now));
            }
        }
        if let Some(exchange) = self.exchange() {
            for (request_id, address) in probes {
                let claim = OperationClaim { request_id, account: account.clone(), counts: false };
                exchange.send(&PeerMessage::Claim(claim), address).await;
            }
            for owner in unanswered {
                self.probe_through_relays(exchange, account, owner).await;
            }
        }
        Some((rank, OwnerRole::of(self.fleet_contact(), &states)))
    }

    /// Applies the response to a claim or to a probe of this instance.
    pub(crate) async fn handle_claim_response(&self, response: ClaimResponse, from: SocketAddr) {
        let grants = response.outcome != ClaimOutcome::NotOwner;
        let relayed = {
            let mut state = self.limits().state();
            let relayed = state.relays.end_relayed(response.request_id, from);
            if relayed.is_none() {
                match state.end_probe(response.request_id) {
                    Some((account, owner)) => {
                        state.watch.record_response(&account, &owner, grants, boot_time());
                    }
                    None => {
                        state.deliver(ReceivedResponse::of(response, from));
                    }
                }
            }
            relayed
        };
        if let Some(relayed) = relayed {
            self.return_relayed(relayed, grants).await;
        }
    }
}

/// Responds to another instance's claim. A claim without a queue, as older builds send it, has the
/// lowest priority and does not wait, but it takes no tokens from claims that do.
pub(crate) async fn respond_to_claim(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    claim: OperationClaim,
    from: SocketAddr,
) {
    let OperationClaim { request_id, account, counts } = claim;
    if counts {
        let claimant = QueueClaimant::Older { from, request_id };
        engine.queue_claim(&account, ClaimTerms::default(), claimant).await;
        return;
    }
    let grants = engine.counts_for(&account).await;
    let outcome = if grants { ClaimOutcome::Granted } else { ClaimOutcome::NotOwner };
    exchange.send(&PeerMessage::ClaimResponse(ClaimResponse { request_id, outcome }), from).await;
}
