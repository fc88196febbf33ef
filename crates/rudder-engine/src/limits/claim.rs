//! Claims that this instance makes for the operations of its callers.

use super::queue::{QueueClaimant, to_ms_rounded_up};
use super::state::{ClaimReply, ReceivedResponse};
use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::peers::{LimitOwner, OperationClaim, PeerMessage, QueueClaim, ReturnClaim};
use crate::statement::RequestId;
use displaydoc::Display;
use rand::RngExt;
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{ClaimPlan, ClaimTerms, ExpiringSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time to wait for an owner's response before the next attempt, at the same owner or the next one:
/// a round trip between regions and scheduling on a slow machine.
const OWNER_TIMEOUT: Duration = Duration::from_millis(60);

/// Total time that an operation waits for its claim. After it, the operation is refused, because no
/// owner of the account has responded.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause before the next owner is tried after one responded that it does not count.
const NEXT_OWNER_PAUSE: Duration = Duration::from_millis(10);

/// Fraction of the latency target (one part in this many) that a claim may wait while its grant is
/// certain. The other half is left for the statement.
const WAIT_DIVISOR: u32 = 2;

/// Random part of the retry delay of callers that were refused by an owner of an older build, which
/// gives many of them the same time.
const RETRY_JITTER_MS: std::ops::Range<u64> = 0..200;

/// Maximum retry delay, which callers of an account with a limit of zero are given.
const RETRY_MAX: Duration = Duration::from_secs(3600);

/// Retry delay if no owner responded.
const UNANSWERED_RETRY_MS: std::ops::Range<u64> = 100..400;

/// Reason why an operation may not run now. The texts are parts of the refusal that callers
/// receive.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(crate) enum ClaimError {
    /// the account's limit is used up
    Spent {
        /// Delay before a retry.
        after: Duration,
        /// Reservation of a token at that time.
        reservation: Option<u64>,
    },
    /// the account's limit cannot be looked up
    Unanswered {
        /// Delay before a retry.
        after: Duration,
    },
}

impl ClaimError {
    pub(crate) fn retry_after(&self) -> Duration {
        match self {
            Self::Spent { after, .. } | Self::Unanswered { after } => *after,
        }
    }

    fn unanswered() -> Self {
        Self::Unanswered { after: random_delay(UNANSWERED_RETRY_MS) }
    }

    fn has_reservation(&self) -> bool {
        matches!(self, Self::Spent { reservation: Some(_), .. })
    }

    fn reason_code(&self) -> &'static str {
        match self {
            Self::Spent { .. } => "spent",
            Self::Unanswered { .. } => "unanswered",
        }
    }
}

fn random_delay(range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(range))
}

/// Operation that an owner granted.
#[derive(Clone, Debug)]
pub(crate) struct ClaimGrant {
    account: AccountName,
    /// Address of the owner; `None` for this instance.
    owner: Option<SocketAddr>,
    number: u64,
}

/// Operation of a session that was refused because of the account's limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedOperation {
    refused_at: Instant,
    reservation: Option<u64>,
}

impl RefusedOperation {
    /// Returns the operation that an error refused; `None` if the limit was not the reason.
    pub(crate) fn of(error: &ClaimError) -> Option<Self> {
        match error {
            ClaimError::Spent { reservation, .. } => {
                Some(Self { refused_at: Instant::now(), reservation: *reservation })
            }
            ClaimError::Unanswered { .. } => None,
        }
    }
}

/// Claim of one operation with the terms of its route.
struct OperationTerms<'a> {
    request_id: u64,
    account: &'a AccountName,
    terms: ClaimTerms,
    began_at: Instant,
}

impl OperationTerms<'_> {
    /// Returns the terms with the time that remains.
    fn remaining(&self) -> ClaimTerms {
        let elapsed = self.began_at.elapsed();
        ClaimTerms {
            wait: self.terms.wait.saturating_sub(elapsed),
            deadline: self.terms.deadline.saturating_sub(elapsed),
            ..self.terms
        }
    }

    fn queue_message(&self) -> PeerMessage {
        let terms = self.remaining();
        PeerMessage::QueueClaim(QueueClaim {
            request_id: self.request_id,
            account: self.account.clone(),
            priority: terms.priority,
            wait_ms: to_ms_rounded_up(terms.wait),
            deadline_ms: to_ms_rounded_up(terms.deadline),
            refused_before: terms.refused_before,
            reservation: terms.reservation,
        })
    }

    /// Returns when the claim's wait in the queue of an owner has ended, and its response is due.
    fn queue_end(&self) -> Instant {
        self.began_at + self.terms.wait + OWNER_TIMEOUT
    }

    fn older_message(&self) -> PeerMessage {
        let (request_id, account) = (self.request_id, self.account.clone());
        PeerMessage::Claim(OperationClaim { request_id, account, counts: true })
    }
}

impl ProxyEngine {
    /// Claims one operation for the caller's account. Returns at once if the account has no limit.
    /// `refused` is the last operation of the same session if it was refused. The grant can be
    /// returned if the operation does not run.
    pub(crate) async fn claim_operation(
        &self,
        access: &RouteAccess,
        id: &RequestId,
        refused: Option<RefusedOperation>,
    ) -> Result<Option<ClaimGrant>, ClaimError> {
        let Some(account) = &access.account else { return Ok(None) };
        let Some(limit) = self.operation_limit(account) else { return Ok(None) };
        let began_at = Instant::now();
        let route = &access.route;
        let timeout = route.statement_timeout;
        let refused = refused.filter(|refused| refused.refused_at.elapsed() < timeout);
        let terms = ClaimTerms {
            priority: Some(route.priority),
            wait: route.latency_target.min(timeout) / WAIT_DIVISOR,
            deadline: timeout,
            refused_before: refused.is_some(),
            reservation: refused.and_then(|refused| refused.reservation),
        };
        let local = self.try_reject_locally(account, terms, limit.milli_per_second);
        let is_local = local.is_some();
        let result = match local {
            Some(error) => Err(error),
            None => self.claim_before(account, terms, began_at).await,
        };
        if let Err(error) = &result {
            metrics::counter!("rudder_claims_refused_total", "reason" => error.reason_code())
                .increment(1);
            let owners = self.limit_owners(account);
            let owner = owners.first().map_or("none", |owner| owner.instance.as_str());
            let decided_by = if is_local { "local" } else { "owner" };
            log::info!(
                request:% = id, account:% = account, reason:% = error, owner = owner,
                settings = self.settings_version().unwrap_or_default().0,
                priority = route.priority, decided_by = decided_by,
                reserved = error.has_reservation(),
                retry_after_ms = error.retry_after().as_millis(),
                waited_ms = began_at.elapsed().as_millis(), outcome = "not_run";
                "an operation was refused"
            );
        }
        result
    }

    /// Returns the refusal of a claim that its owner would certainly reject.
    fn try_reject_locally(
        &self,
        account: &AccountName,
        terms: ClaimTerms,
        milli_per_second: u64,
    ) -> Option<ClaimError> {
        if terms.reservation.is_some() {
            return None;
        }
        let priority = terms.priority.unwrap_or(u8::MAX);
        let promised = &mut self.limits().state().promised;
        let after =
            promised.try_reject(account, priority, terms.wait, milli_per_second, boot_time())?;
        metrics::counter!("rudder_claims_rejected_locally_total", "priority" => priority.to_string())
            .increment(1);
        // Tokens that are free before the deadline go to claims that arrive then.
        Some(ClaimError::Spent { after: after.max(terms.deadline), reservation: None })
    }

    /// Returns a grant whose statement is known not to have run at a member.
    pub(crate) async fn return_grant(&self, grant: ClaimGrant) {
        let ClaimGrant { account, owner, number } = grant;
        metrics::counter!("rudder_grants_returned_total", "reason" => "not_run").increment(1);
        log::debug!(account:% = account, reason = "not_run"; "a grant was returned");
        match (owner, self.exchange()) {
            (None, _) => self.take_back_grant(&account, number).await,
            (Some(address), Some(exchange)) => {
                let message = PeerMessage::ReturnClaim(ReturnClaim { account, grant: number });
                exchange.send(&message, address).await;
            }
            (Some(_), None) => {}
        }
    }

    async fn claim_before(
        &self,
        account: &AccountName,
        terms: ClaimTerms,
        began_at: Instant,
    ) -> Result<Option<ClaimGrant>, ClaimError> {
        // Later claims of the account fail at once, as they would wait for the timeout that an
        // earlier one has just reached.
        if self.limits().state().unanswered.contains(account, boot_time()) {
            return Err(ClaimError::unanswered());
        }
        let owners = self.await_owners(account, began_at + CLAIM_TIMEOUT).await;
        let (request_id, mut responses) = self.limits().state().begin_claim(account);
        let claim = OperationTerms { request_id, account, terms, began_at };
        let result = self.claim_at_owners(&owners, &claim, &mut responses).await;
        {
            let mut state = self.limits().state();
            state.end_claim(request_id);
            match &result {
                Err(ClaimError::Unanswered { .. }) => state.unanswered.insert(account, boot_time()),
                Ok(_) | Err(ClaimError::Spent { .. }) => state.unanswered.remove(account),
            }
        }
        // The claim may have been granted twice if it was sent to several owners.
        while let Ok(received) = responses.try_recv() {
            if let ClaimReply::Granted { grant: Some(number) } = received.reply {
                let (account, owner) = (account.clone(), received.from);
                self.return_grant(ClaimGrant { account, owner, number }).await;
            }
        }
        result
    }

    /// Returns the instances that may count for an account. Waits for them while this instance
    /// starts.
    async fn await_owners(&self, account: &AccountName, deadline: Instant) -> Vec<LimitOwner> {
        loop {
            let owners = self.limit_owners(account);
            if !owners.is_empty() || Instant::now() >= deadline {
                return owners;
            }
            tokio::time::sleep(NEXT_OWNER_PAUSE).await;
        }
    }

    async fn claim_at_owners(
        &self,
        owners: &[LimitOwner],
        claim: &OperationTerms<'_>,
        responses: &mut mpsc::UnboundedReceiver<ReceivedResponse>,
    ) -> Result<Option<ClaimGrant>, ClaimError> {
        let mut deadline = claim.began_at + CLAIM_TIMEOUT;
        let mut plan = self.claim_plan(owners);
        let mut hedged = None;
        let mut unresponsive: Vec<&InstanceName> = Vec::new();
        let mut declined = None;
        while let Some(index) = plan.next() {
            if Instant::now() >= deadline {
                break;
            }
            if declined.take() == Some(index) && owners.len() > 1 {
                continue;
            }
            if !self.send_claim(claim, owners, index, &mut unresponsive).await {
                break;
            }
            if plan.is_hedged() && owners[index].address.is_some() {
                hedged = Some(index);
                continue;
            }
            // After a claim to two owners at once, the response of the first one is awaited.
            let mut awaited = hedged.take().unwrap_or(index);
            let mut wait_end = deadline.min(Instant::now() + OWNER_TIMEOUT);
            let response = loop {
                let response = self
                    .await_response(claim, owners, awaited, responses, &mut unresponsive, wait_end)
                    .await;
                let Some((ClaimReply::Queued { within }, from)) = response else { break response };
                if Instant::now() >= claim.queue_end() {
                    break None;
                }
                // The owner rejects the claim when its wait ends. If that response does not arrive,
                // the owner is lost, and the next one gets the claim with the remaining wait.
                awaited = from;
                let wait = within.saturating_add(OWNER_TIMEOUT);
                wait_end = claim.queue_end().min(Instant::now() + wait);
                deadline = deadline.max(claim.queue_end() + OWNER_TIMEOUT);
            };
            match response {
                Some((ClaimReply::Granted { grant }, from)) => {
                    let (account, owner) = (claim.account.clone(), owners[from].address);
                    return Ok(grant.map(|number| ClaimGrant { account, owner, number }));
                }
                Some((ClaimReply::Rejected { after, reservation, promised_for }, _)) => {
                    return Err(self.rejected(claim, after, reservation, promised_for));
                }
                Some((ClaimReply::NotOwner, _)) => {
                    declined = Some(awaited);
                    tokio::time::sleep(NEXT_OWNER_PAUSE).await;
                }
                Some((ClaimReply::Queued { .. }, _)) | None => {
                    let doubtful = &owners[awaited].instance;
                    self.limits().state().doubtful_owners.insert(doubtful, boot_time());
                }
            }
        }
        Err(ClaimError::unanswered())
    }

    /// Returns the order in which a claim is sent to owners, by what claims for all accounts have
    /// shown of them.
    fn claim_plan(&self, owners: &[LimitOwner]) -> ClaimPlan {
        let (now, state) = (boot_time(), self.limits().state());
        let marked = |set: &ExpiringSet<InstanceName>| -> Vec<bool> {
            owners.iter().map(|owner| set.contains(&owner.instance, now)).collect()
        };
        ClaimPlan::with_doubt(&marked(&state.silent_owners), &marked(&state.doubtful_owners))
    }

    /// Sends a claim to an owner, without a queue if the owner may run an older build. Returns false
    /// if this instance cannot send datagrams.
    async fn send_claim<'a>(
        &self,
        claim: &OperationTerms<'_>,
        owners: &'a [LimitOwner],
        index: usize,
        unresponsive: &mut Vec<&'a InstanceName>,
    ) -> bool {
        let owner = &owners[index];
        let Some(address) = owner.address else {
            let claimant = QueueClaimant::Own { request_id: claim.request_id };
            self.queue_claim(claim.account, claim.remaining(), claimant).await;
            return true;
        };
        let Some(exchange) = self.exchange() else { return false };
        let is_repeated = unresponsive.contains(&&owner.instance);
        let is_older = {
            let mut state = self.limits().state();
            if is_repeated {
                state.silent_owners.insert(&owner.instance, boot_time());
            }
            state.older_owners.contains(&owner.instance, boot_time())
        };
        let message =
            if is_repeated || is_older { claim.older_message() } else { claim.queue_message() };
        unresponsive.push(&owner.instance);
        self.send_evidence(claim.account, &owners[..index], address).await;
        exchange.send(&message, address).await;
        true
    }

    /// Records a rejection and returns the refusal of the operation.
    fn rejected(
        &self,
        claim: &OperationTerms<'_>,
        after: Duration,
        reservation: Option<u64>,
        promised_for: Option<Duration>,
    ) -> ClaimError {
        if let (Some(promised_for), Some(priority)) = (promised_for, claim.terms.priority) {
            let now = boot_time();
            let until = now.saturating_add(promised_for);
            self.limits().state().promised.record(claim.account, priority, until, now);
        }
        // A token of its own needs no spread.
        let jitter = if reservation.is_some() { 0..1 } else { RETRY_JITTER_MS };
        let after = after.min(RETRY_MAX).saturating_add(random_delay(jitter));
        ClaimError::Spent { after, reservation }
    }

    /// Returns the next response that decides the claim or says that it is queued, or the response
    /// of `awaited` that it does not count for the account, with the index of the owner that
    /// responded. Returns `None` at the deadline.
    async fn await_response(
        &self,
        claim: &OperationTerms<'_>,
        owners: &[LimitOwner],
        awaited: usize,
        responses: &mut mpsc::UnboundedReceiver<ReceivedResponse>,
        unresponsive: &mut Vec<&InstanceName>,
        deadline: Instant,
    ) -> Option<(ClaimReply, usize)> {
        while let Ok(Some(received)) = tokio::time::timeout_at(deadline, responses.recv()).await {
            let from = owners.iter().position(|owner| owner.address == received.from);
            let Some(from) = from else {
                ignore_response(claim, received.from);
                continue;
            };
            let owner = &owners[from].instance;
            let mut state = self.limits().state();
            state.silent_owners.remove(owner);
            state.doubtful_owners.remove(owner);
            if received.from.is_some() {
                state.record_build(owner, received.has_queue);
            }
            if received.reply != ClaimReply::NotOwner {
                state.grants.record(claim.account, owner, boot_time());
            }
            drop(state);
            unresponsive.retain(|instance| *instance != owner);
            if received.reply != ClaimReply::NotOwner || from == awaited {
                return Some((received.reply, from));
            }
        }
        None
    }
}

/// Counts and logs a response of an instance that the claim was not sent to.
fn ignore_response(claim: &OperationTerms<'_>, from: Option<SocketAddr>) {
    let reason = "unknown_sender";
    metrics::counter!("rudder_claim_responses_ignored_total", "reason" => reason).increment(1);
    log::debug!(
        peer:? = from, request = claim.request_id, reason = reason;
        "a response to a claim was ignored"
    );
}
