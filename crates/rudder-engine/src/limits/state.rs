//! What an instance remembers of the accounts' limits.

use crate::peers::ClaimAnswer;
use crate::sync::lock;
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{LimitLedger, OwnerWatch, RecentNotes};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc;

/// An answer to a claim, and who gave it.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    pub(super) from: SocketAddr,
    pub(super) response: ClaimAnswer,
}

/// Who waits for the answers to a question.
struct PendingClaim {
    request_id: u64,
    sender: mpsc::UnboundedSender<ReceivedResponse>,
}

/// An owner that was asked whether it counts for an account.
struct PendingProbe {
    request_id: u64,
    account: AccountName,
    owner: InstanceName,
}

/// What an instance remembers of the accounts' limits.
#[derive(Default)]
pub(crate) struct AccountLimits {
    state: Mutex<LimitState>,
}

pub(super) struct LimitState {
    pub(super) ledger: LimitLedger,
    pub(super) watch: OwnerWatch,
    /// Owners that did not answer.
    pub(super) silent_owners: RecentNotes<InstanceName>,
    /// Accounts whose claims nobody answered.
    pub(super) unanswered: RecentNotes<AccountName>,
    /// Since when this instance has had a sign of the fleet all the time.
    pub(super) lost_at: Option<Duration>,
    /// Sorted by question.
    claims: Vec<PendingClaim>,
    /// Sorted by question.
    probes: Vec<PendingProbe>,
    last_request_id: u64,
}

impl Default for LimitState {
    fn default() -> Self {
        Self {
            ledger: LimitLedger::default(),
            watch: OwnerWatch::default(),
            silent_owners: RecentNotes::new(SILENT_OWNER_TIME),
            unanswered: RecentNotes::new(UNANSWERED_TIME),
            lost_at: None,
            claims: Vec::new(),
            probes: Vec::new(),
            last_request_id: 0,
        }
    }
}

/// How long an owner that did not answer is passed over.
const SILENT_OWNER_TIME: Duration = Duration::from_millis(1000);

/// How long an account whose claim nobody answered is refused at once.
const UNANSWERED_TIME: Duration = Duration::from_millis(300);

/// The most questions to earlier owners whose answers are awaited; the oldest one gives way.
const PROBES_MAX: usize = 1024;

impl AccountLimits {
    pub(super) fn state(&self) -> MutexGuard<'_, LimitState> {
        lock(&self.state)
    }

    /// Forgets the accounts that the settings no longer limit.
    pub(crate) fn retain(&self, is_limited: impl Fn(&AccountName) -> bool) {
        let mut state = self.state();
        state.ledger.retain(&is_limited);
        state.watch.retain(&is_limited);
    }
}

impl LimitState {
    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Registers a claim; its answers come by the receiver.
    pub(super) fn begin_claim(&mut self) -> (u64, mpsc::UnboundedReceiver<ReceivedResponse>) {
        let request_id = self.next_request_id();
        // A claim whose caller is gone ends without a word.
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

    /// Registers a question to an earlier owner.
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

    /// Takes out the question to an earlier owner that an answer is to.
    pub(super) fn end_probe(&mut self, request_id: u64) -> Option<(AccountName, InstanceName)> {
        let found = self.probes.binary_search_by_key(&request_id, |probe| probe.request_id).ok()?;
        let probe = self.probes.remove(found);
        Some((probe.account, probe.owner))
    }

    /// Hands an answer to the claim that waits for it, if it still does.
    pub(super) fn deliver(&self, received: ReceivedResponse) {
        let request_id = received.response.request_id;
        if let Ok(index) = self.claims.binary_search_by_key(&request_id, |claim| claim.request_id) {
            // One that was granted meanwhile listens no more.
            let _ = self.claims[index].sender.send(received);
        }
    }
}
