//! State of the accounts' limits in one instance.

use super::probe::RelayLog;
use super::queue::QueueClaimant;
use super::reach::KnownReach;
use super::tally::GrantTally;
use crate::clock::boot_time;
use crate::peers::{ClaimOutcome, ClaimResponse};
use crate::sync::lock;
use rudder_core::{AccountName, DomainName, InstanceName};
use rudder_decisions::{
    ExpiringSet, GrantLog, LimitLedger, LimitQueues, OwnerRole, OwnerWatch, PromisedTokens,
    QueueNotice, ReachBoard,
};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// Outcome of a claim, in either kind of response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimReply {
    /// The operation may run. Owners of an older build give no number.
    Granted { grant: Option<u64> },
    /// The claim waits; another response follows within this time.
    Queued { within: Duration },
    /// The operation may not run now.
    Rejected { after: Duration, reservation: Option<u64>, promised_for: Option<Duration> },
    /// The sender does not count for the account.
    NotOwner,
}

/// Response to a claim, with its sender.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedResponse {
    /// Address of the sender; `None` for this instance.
    pub(super) from: Option<SocketAddr>,
    pub(super) request_id: u64,
    /// Whether the sender responded to a claim with a queue.
    pub(super) has_queue: bool,
    pub(super) reply: ClaimReply,
}

impl ReceivedResponse {
    /// Returns the response to a claim without a queue.
    pub(super) fn of(response: ClaimResponse, from: SocketAddr) -> Self {
        let reply = match response.outcome {
            ClaimOutcome::Granted => ClaimReply::Granted { grant: None },
            ClaimOutcome::Spent { after_ms } => ClaimReply::Rejected {
                after: Duration::from_millis(after_ms.into()),
                reservation: None,
                promised_for: None,
            },
            ClaimOutcome::NotOwner => ClaimReply::NotOwner,
        };
        let request_id = response.request_id;
        Self { from: Some(from), request_id, has_queue: false, reply }
    }
}

/// Claim that waits for its responses.
struct PendingClaim {
    request_id: u64,
    account: AccountName,
    sender: mpsc::UnboundedSender<ReceivedResponse>,
}

/// Request to an owner whether it counts for an account.
struct PendingProbe {
    request_id: u64,
    account: AccountName,
    owner: InstanceName,
}

/// State of the accounts' limits in one instance.
pub(crate) struct AccountLimits {
    state: Mutex<LimitState>,
    /// Notified when the time of the next service of a queue may have changed.
    pub(super) queue_changed: Notify,
}

pub(super) struct LimitState {
    pub(super) ledger: LimitLedger,
    pub(super) queues: LimitQueues<QueueClaimant>,
    /// Accounts whose tokens are promised to other claims, as told by their owners.
    pub(super) promised: PromisedTokens,
    /// Owners that responded only to claims without a queue, as older builds do.
    pub(super) older_owners: ExpiringSet<InstanceName>,
    /// Number of consecutive times that an owner responded only to claims without a queue.
    older_responses: Vec<(InstanceName, u32)>,
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
    /// Owners that decided claims of this instance.
    pub(super) grants: GrantLog,
    /// Probes through relays.
    pub(super) relays: RelayLog,
    /// Reports of hubs about the part of the fleet that they are connected to.
    pub(super) reach_board: ReachBoard,
    /// Part of the fleet that this instance is connected to.
    pub(super) reach: Option<KnownReach>,
    /// Operations that this instance granted and rejected.
    pub(super) tally: GrantTally,
    /// Sorted by request.
    claims: Vec<PendingClaim>,
    /// Sorted by request.
    probes: Vec<PendingProbe>,
    /// Accounts of claims that have ended, oldest first.
    ended: VecDeque<(u64, AccountName)>,
    last_request_id: u64,
}

impl LimitState {
    fn new(domain: DomainName) -> Self {
        Self {
            ledger: LimitLedger::default(),
            queues: LimitQueues::new(rand::random::<u64>() >> 1),
            promised: PromisedTokens::default(),
            older_owners: ExpiringSet::new(OLDER_OWNER_TIME),
            older_responses: Vec::new(),
            watch: OwnerWatch::default(),
            silent_owners: ExpiringSet::new(SILENT_OWNER_TIME),
            doubtful_owners: ExpiringSet::new(DOUBTFUL_OWNER_TIME),
            unanswered: ExpiringSet::new(UNANSWERED_TIME),
            contact_since: None,
            contact_checked_at: None,
            grants: GrantLog::default(),
            relays: RelayLog::default(),
            reach_board: ReachBoard::new(domain),
            reach: None,
            tally: GrantTally::default(),
            claims: Vec::new(),
            probes: Vec::new(),
            ended: VecDeque::new(),
            // Owners may still respond to claims of an earlier process at the same address.
            last_request_id: rand::random::<u32>().into(),
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

/// Time for which an owner of an older build gets claims without a queue at once.
const OLDER_OWNER_TIME: Duration = Duration::from_secs(10);

/// Number of consecutive responses only to claims without a queue after which an owner is taken for
/// an older build. A single one may be due to a lost datagram.
const OLDER_RESPONSES: u32 = 3;

/// Maximum number of owners whose responses to claims without a queue are counted. Names of instances
/// that were replaced would accumulate otherwise.
const OLDER_MAX: usize = 256;

/// Maximum number of ended claims whose late grants are returned.
const ENDED_MAX: usize = 512;

/// Maximum number of pending probes of earlier owners; the oldest one is dropped.
const PROBES_MAX: usize = 1024;

impl AccountLimits {
    /// Creates the state of an instance in a failure domain.
    pub(crate) fn new(domain: DomainName) -> Self {
        Self { state: Mutex::new(LimitState::new(domain)), queue_changed: Notify::new() }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, LimitState> {
        lock(&self.state)
    }

    /// Removes the accounts that the settings no longer limit.
    pub(crate) fn retain(&self, is_limited: impl Fn(&AccountName) -> bool) {
        let mut state = self.state();
        state.ledger.retain(&is_limited);
        state.watch.retain(&is_limited);
        // Claimants of a removed account get no response and find that it has no limit any more.
        state.queues.retain(&is_limited);
        state.grants.retain(&is_limited);
    }
}

impl LimitState {
    /// Records that another instance counts an account's operations. Returns the claims that waited.
    /// Grants made so far cannot be returned any more: they would increase the content with which
    /// this instance may count again.
    pub(super) fn stop_counting(
        &mut self,
        account: &AccountName,
    ) -> Vec<QueueNotice<QueueClaimant>> {
        let before = self.ledger.role(account);
        if before != OwnerRole::Absent {
            self.ledger.step_down(account);
            log::info!(
                account:% = account, before:? = before, reason = "another_owner";
                "this instance no longer counts the operations of an account"
            );
        }
        self.queues.release(account)
    }

    pub(super) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Registers a claim; its responses arrive at the receiver.
    pub(super) fn begin_claim(
        &mut self,
        account: &AccountName,
    ) -> (u64, mpsc::UnboundedReceiver<ReceivedResponse>) {
        let request_id = self.next_request_id();
        // A claim whose caller has disconnected ends without a call of `end_claim`.
        let closed = self.claims.extract_if(.., |claim| claim.sender.is_closed());
        self.ended.extend(closed.map(|claim| (claim.request_id, claim.account)));
        self.drop_oldest_ended();
        let (sender, responses) = mpsc::unbounded_channel();
        self.claims.push(PendingClaim { request_id, account: account.clone(), sender });
        (request_id, responses)
    }

    pub(super) fn end_claim(&mut self, request_id: u64) {
        if let Ok(index) = self.claims.binary_search_by_key(&request_id, |claim| claim.request_id) {
            let claim = self.claims.remove(index);
            self.ended.push_back((request_id, claim.account));
        }
        self.drop_oldest_ended();
    }

    fn drop_oldest_ended(&mut self) {
        let excess = self.ended.len().saturating_sub(ENDED_MAX);
        self.ended.drain(..excess);
    }

    /// Returns the account of a claim that was decided or whose caller has disconnected.
    pub(super) fn ended_account(&self, request_id: u64) -> Option<AccountName> {
        let ended = self.ended.iter().find(|(known, _)| *known == request_id);
        let ended = ended.map(|(_, account)| account);
        let pending = || self.claims.iter().find(|claim| claim.request_id == request_id);
        ended.or_else(|| pending().map(|claim| &claim.account)).cloned()
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

    /// Passes a response to the claim that waits for it. Returns false if there is none any more.
    pub(super) fn deliver(&self, received: ReceivedResponse) -> bool {
        let request_id = received.request_id;
        let found = self.claims.binary_search_by_key(&request_id, |claim| claim.request_id);
        // A claim that was decided meanwhile has closed its receiver.
        found.is_ok_and(|index| self.claims[index].sender.send(received).is_ok())
    }

    /// Records whether an owner responded to a claim with a queue, or only to one without.
    pub(super) fn record_build(&mut self, owner: &InstanceName, has_queue: bool) {
        let position = self.older_responses.iter().position(|(known, _)| known == owner);
        if has_queue {
            if let Some(index) = position {
                self.older_responses.swap_remove(index);
                self.older_owners.remove(owner);
            }
            return;
        }
        let index = position.unwrap_or_else(|| {
            if self.older_responses.len() >= OLDER_MAX {
                self.older_responses.remove(0);
            }
            self.older_responses.push((owner.clone(), 0));
            self.older_responses.len() - 1
        });
        let count = &mut self.older_responses[index].1;
        *count += 1;
        if *count >= OLDER_RESPONSES {
            *count = 0;
            self.older_owners.insert(owner, boot_time());
            log::info!(
                owner:% = owner, reason = "older_build";
                "an owner responds only to claims without a queue"
            );
        }
    }
}
