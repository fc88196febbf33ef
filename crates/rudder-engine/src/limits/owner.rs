//! Counting of operations at the instance that owns an account's limit.

use super::state::ReceivedResponse;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::identity::DrainPhase;
use crate::peers::{
    ClaimOutcome, ClaimResponse, LimitOwner, OperationClaim, PeerExchange, PeerMessage,
};
use rudder_core::AccountName;
use rudder_decisions::{ClaimDecision, FleetContact, LimitBounds, OperationLimit, OwnerRole};
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

    /// Returns whether this instance was recently in contact with the counting authority, and for how
    /// long. As long as it has not learned of any, contact with the store counts, directly or through
    /// peers.
    pub(super) fn fleet_contact(&self) -> FleetContact {
        let groups = self.groups().into_iter();
        let confirmed_at =
            groups.map(|group| group.with_leases(|leases| leases.valid_from())).max();
        let confirmed_at = confirmed_at.max(self.membership().store_answered_at());
        let now = boot_time();
        let mut state = self.limits().state();
        let contact_at = state.authority.contact_at(confirmed_at).unwrap_or_default();
        let connected_until = contact_at + LimitBounds::contact_timeout();
        let checked_at = state.contact_checked_at.replace(now).unwrap_or(now);
        if now >= connected_until {
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

    /// Decides a claim, of this instance or of a peer, as a possible owner of the account's limit.
    /// Without `counts`, it only returns whether this instance counts the account's operations.
    pub(super) async fn judge_claim(&self, account: &AccountName, counts: bool) -> ClaimDecision {
        // The claiming instance knows a limit. If this instance knows none yet, another one counts.
        let Some(limit) = self.operation_limit(account) else { return ClaimDecision::NotOwner };
        let Some((rank, role)) = self.role_for(account).await else {
            return ClaimDecision::NotOwner;
        };
        if !counts {
            let mut state = self.limits().state();
            let before = state.ledger.role(account);
            if role == OwnerRole::Absent && before != role {
                state.ledger.step_down(account);
                log::info!(
                    account:% = account, before:? = before, reason = "earlier_owner_responds";
                    "this instance no longer counts the operations of an account"
                );
            }
            let grants = state.ledger.grants(account, role);
            return if grants { ClaimDecision::Granted } else { ClaimDecision::NotOwner };
        }
        let bounds = self.identity().limit_bounds;
        let mut state = self.limits().state();
        let before = state.ledger.role(account);
        let decision = state.ledger.claim(account, limit, bounds, role, rank, boot_time());
        drop(state);
        if before != role {
            log::info!(
                account:% = account, before:? = before, role:? = role;
                "the role of this instance in counting the operations of an account changed"
            );
        }
        decision
    }

    /// Returns the rank of this instance among an account's owners and whether it counts for the
    /// account, or `None` if it is no owner. Asks the owners that are ranked before it whether they
    /// count.
    async fn role_for(&self, account: &AccountName) -> Option<(usize, OwnerRole)> {
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
                    None => state.deliver(ReceivedResponse { from, response }),
                }
            }
            relayed
        };
        if let Some(relayed) = relayed {
            self.return_relayed(relayed, grants).await;
        }
    }
}

/// Responds to another instance's claim.
pub(crate) async fn respond_to_claim(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    claim: OperationClaim,
    from: SocketAddr,
) {
    let outcome = match engine.judge_claim(&claim.account, claim.counts).await {
        ClaimDecision::Granted => ClaimOutcome::Granted,
        ClaimDecision::Spent(after) => ClaimOutcome::Spent { after_ms: to_ms_rounded_up(after) },
        ClaimDecision::NotOwner => ClaimOutcome::NotOwner,
    };
    let response = ClaimResponse { request_id: claim.request_id, outcome };
    exchange.send(&PeerMessage::ClaimResponse(response), from).await;
}

fn to_ms_rounded_up(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
