//! State of the accounts' limits in one instance.

use super::probe::RelayLog;
use crate::peers::ClaimResponse;
use crate::sync::lock;
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{
    AuthorityKeeper, AuthorityView, ExpiringSet, GrantLog, LimitLedger, OwnerWatch,
};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc;

/// Response to a claim, with its sender.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    pub(super) from: SocketAddr,
    pub(super) response: ClaimResponse,
}

/// Claim that waits for its responses.
struct PendingClaim {
    request_id: u64,
    sender: mpsc::UnboundedSender<ReceivedResponse>,
}

/// Request to an owner whether it counts for an account.
struct PendingProbe {
    request_id: u64,
    account: AccountName,
    owner: InstanceName,
}

/// State of the accounts' limits in one instance.
#[derive(Default)]
pub(crate) struct AccountLimits {
    state: Mutex<LimitState>,
}

pub(super) struct LimitState {
    pub(super) ledger: LimitLedger,
    pub(super) watch: OwnerWatch,
    /// Owners that recently did not respond.
    pub(super) silent_owners: ExpiringSet<InstanceName>,
    /// Owners that did not respond to a claim in time.
    pub(super) doubtful_owners: ExpiringSet<InstanceName>,
    /// Accounts for whose claims no owner recently responded.
    pub(super) unanswered: ExpiringSet<AccountName>,
    /// Time since when this instance has been in continuous contact with the fleet.
    pub(super) contact_since: Option<Duration>,
    /// Time of the last check of the contact with the fleet.
    pub(super) contact_checked_at: Option<Duration>,
    /// Latest confirmation of the counting authority.
    pub(super) authority: AuthorityView,
    /// State of this instance while it wants to hold the authority.
    pub(super) keeper: Option<AuthorityKeeper>,
    /// Owners that decided claims of this instance.
    pub(super) grants: GrantLog,
    /// Probes through relays.
    pub(super) relays: RelayLog,
    /// Sorted by request.
    claims: Vec<PendingClaim>,
    /// Sorted by request.
    probes: Vec<PendingProbe>,
    last_request_id: u64,
}

impl Default for LimitState {
    fn default() -> Self {
        Self {
            ledger: LimitLedger::default(),
            watch: OwnerWatch::default(),
            silent_owners: ExpiringSet::new(SILENT_OWNER_TIME),
            doubtful_owners: ExpiringSet::new(DOUBTFUL_OWNER_TIME),
            unanswered: ExpiringSet::new(UNANSWERED_TIME),
            contact_since: None,
            contact_checked_at: None,
            authority: AuthorityView::default(),
            keeper: None,
            grants: GrantLog::default(),
            relays: RelayLog::default(),
            claims: Vec::new(),
            probes: Vec::new(),
            last_request_id: 0,
        }
    }
}

/// Time for which an owner that did not respond is skipped.
const SILENT_OWNER_TIME: Duration = Duration::from_millis(1000);

/// Time for which claims are also sent to the next owner after an owner did not respond. It is longer
/// than [`SILENT_OWNER_TIME`], so that no claim waits for the owner again when that has passed.
const DOUBTFUL_OWNER_TIME: Duration = Duration::from_millis(5000);

/// Time for which an account's claims are refused at once after no owner responded.
const UNANSWERED_TIME: Duration = Duration::from_millis(300);

/// Maximum number of pending probes of earlier owners; the oldest one is dropped.
const PROBES_MAX: usize = 1024;

impl AccountLimits {
    pub(super) fn state(&self) -> MutexGuard<'_, LimitState> {
        lock(&self.state)
    }

    /// Removes the accounts that the settings no longer limit.
    pub(crate) fn retain(&self, is_limited: impl Fn(&AccountName) -> bool) {
        let mut state = self.state();
        state.ledger.retain(&is_limited);
        state.watch.retain(&is_limited);
        state.grants.retain(&is_limited);
    }
}

impl LimitState {
    pub(super) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Registers a claim; its responses arrive at the receiver.
    pub(super) fn begin_claim(&mut self) -> (u64, mpsc::UnboundedReceiver<ReceivedResponse>) {
        let request_id = self.next_request_id();
        // A claim whose caller has disconnected ends without a call of `end_claim`.
        self.claims.retain(|claim| !claim.sender.is_closed());
        let (sender, responses) = mpsc::unbounded_channel();
        self.claims.push(PendingClaim { request_id, sender });
        (request_id, responses)
    }

    pub(super) fn end_claim(&mut self, request_id: u64) {
        if let Ok(index) = self.claims.binary_search_by_key(&request_id, |claim| claim.request_id) {
            self.claims.remove(index);
        }
    }

    /// Registers a probe of an owner that is ranked before this instance.
    pub(super) fn begin_probe(&mut self, account: &AccountName, owner: &InstanceName) -> u64 {
        let request_id = self.next_request_id();
        if self.probes.len() >= PROBES_MAX {
            self.probes.remove(0);
        }
        self.probes.push(PendingProbe {
            request_id,
            account: account.clone(),
            owner: owner.clone(),
        });
        request_id
    }

    /// Removes the probe that a response belongs to.
    pub(super) fn end_probe(&mut self, request_id: u64) -> Option<(AccountName, InstanceName)> {
        let found = self.probes.binary_search_by_key(&request_id, |probe| probe.request_id).ok()?;
        let probe = self.probes.remove(found);
        Some((probe.account, probe.owner))
    }

    /// Passes a response to the claim that waits for it, if there still is one.
    pub(super) fn deliver(&self, received: ReceivedResponse) {
        let request_id = received.response.request_id;
        if let Ok(index) = self.claims.binary_search_by_key(&request_id, |claim| claim.request_id) {
            // A claim that was granted meanwhile has closed its receiver.
            let _ = self.claims[index].sender.send(received);
        }
    }
}
