//! Claims that this instance makes for the operations of its callers.

use super::state::ReceivedResponse;
use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::peers::{ClaimOutcome, LimitOwner, OperationClaim, PeerMessage};
use crate::statement::RequestId;
use displaydoc::Display;
use rand::RngExt;
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{ClaimDecision, ClaimPlan, ExpiringSet};
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

/// Random part of the retry delay of callers that were refused for a used-up limit, added to the
/// time until an operation is available.
const RETRY_JITTER_MS: std::ops::Range<u64> = 0..200;

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
            Self::Spent { after } | Self::Unanswered { after } => *after,
        }
    }

    fn spent(after: Duration) -> Self {
        Self::Spent { after: after.saturating_add(random_delay(RETRY_JITTER_MS)) }
    }

    fn unanswered() -> Self {
        Self::Unanswered { after: random_delay(UNANSWERED_RETRY_MS) }
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

impl ProxyEngine {
    /// Claims one operation for the caller's account. Returns at once if the account has no limit.
    pub(crate) async fn claim_operation(
        &self,
        access: &RouteAccess,
        id: &RequestId,
    ) -> Result<(), ClaimError> {
        let Some(account) = &access.account else { return Ok(()) };
        if self.operation_limit(account).is_none() {
            return Ok(());
        }
        let began_at = Instant::now();
        let deadline = began_at + CLAIM_TIMEOUT;
        let result = self.claim_before(account, deadline).await;
        if let Err(error) = &result {
            metrics::counter!("rudder_claims_refused_total", "reason" => error.reason_code())
                .increment(1);
            let owners = self.limit_owners(account);
            let owner = owners.first().map_or("none", |owner| owner.instance.as_str());
            log::info!(
                request:% = id, account:% = account, reason:% = error, owner = owner,
                settings = self.settings_version().unwrap_or_default().0,
                retry_after_ms = error.retry_after().as_millis(),
                waited_ms = began_at.elapsed().as_millis(), outcome = "not_run";
                "an operation was refused"
            );
        }
        result
    }

    async fn claim_before(
        &self,
        account: &AccountName,
        deadline: Instant,
    ) -> Result<(), ClaimError> {
        // Later claims of the account fail at once, as they would wait for the timeout that an
        // earlier one has just reached.
        if self.limits().state().unanswered.contains(account, boot_time()) {
            return Err(ClaimError::unanswered());
        }
        let owners = self.await_owners(account, deadline).await;
        let (request_id, responses) = self.limits().state().begin_claim();
        let claim = OperationClaim { request_id, account: account.clone(), counts: true };
        let result = self.claim_at_owners(&owners, &claim, responses, deadline).await;
        let mut state = self.limits().state();
        state.end_claim(request_id);
        match &result {
            Err(ClaimError::Unanswered { .. }) => state.unanswered.insert(account, boot_time()),
            Ok(()) | Err(ClaimError::Spent { .. }) => state.unanswered.remove(account),
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

    /// Returns the order in which a claim is sent to owners, by what claims for all accounts have
    /// shown of them.
    fn claim_plan(&self, owners: &[LimitOwner]) -> ClaimPlan {
        let (now, state) = (boot_time(), self.limits().state());
        let marked = |set: &ExpiringSet<InstanceName>| -> Vec<bool> {
            owners.iter().map(|owner| set.contains(&owner.instance, now)).collect()
        };
        ClaimPlan::with_doubt(&marked(&state.silent_owners), &marked(&state.doubtful_owners))
    }

    async fn claim_at_owners(
        &self,
        owners: &[LimitOwner],
        claim: &OperationClaim,
        mut responses: mpsc::UnboundedReceiver<ReceivedResponse>,
        deadline: Instant,
    ) -> Result<(), ClaimError> {
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
            let owner = &owners[index];
            // After a claim to two owners at once, the response of the first one is awaited.
            let awaited = hedged.take().unwrap_or(index);
            let owner_deadline = deadline.min(Instant::now() + OWNER_TIMEOUT);
            let outcome = match owner.address {
                None => match self.judge_claim(&claim.account, true).await {
                    ClaimDecision::Granted => return Ok(()),
                    ClaimDecision::Spent(after) => return Err(ClaimError::spent(after)),
                    ClaimDecision::NotOwner if awaited == index => Some(ClaimOutcome::NotOwner),
                    ClaimDecision::NotOwner => {
                        self.await_response(
                            &claim.account,
                            owners,
                            &owners[awaited],
                            &mut responses,
                            &mut unresponsive,
                            owner_deadline,
                        )
                        .await
                    }
                },
                Some(address) => {
                    let Some(exchange) = self.exchange() else { break };
                    self.send_evidence(&claim.account, &owners[..index], address).await;
                    exchange.send(&PeerMessage::Claim(claim.clone()), address).await;
                    if unresponsive.contains(&&owner.instance) {
                        self.limits().state().silent_owners.insert(&owner.instance, boot_time());
                    }
                    unresponsive.push(&owner.instance);
                    if plan.is_hedged() {
                        hedged = Some(index);
                        continue;
                    }
                    self.await_response(
                        &claim.account,
                        owners,
                        &owners[awaited],
                        &mut responses,
                        &mut unresponsive,
                        owner_deadline,
                    )
                    .await
                }
            };
            match outcome {
                Some(ClaimOutcome::Granted) => return Ok(()),
                Some(ClaimOutcome::Spent { after_ms }) => {
                    return Err(ClaimError::spent(Duration::from_millis(after_ms.into())));
                }
                Some(ClaimOutcome::NotOwner) => {
                    declined = Some(awaited);
                    tokio::time::sleep(NEXT_OWNER_PAUSE).await;
                }
                None => {
                    let doubtful = &owners[awaited].instance;
                    self.limits().state().doubtful_owners.insert(doubtful, boot_time());
                }
            }
        }
        Err(ClaimError::unanswered())
    }

    /// Returns the next response that decides the claim, or the response of `awaited` that it does
    /// not count for the account. Returns `None` at the deadline.
    async fn await_response(
        &self,
        account: &AccountName,
        owners: &[LimitOwner],
        awaited: &LimitOwner,
        responses: &mut mpsc::UnboundedReceiver<ReceivedResponse>,
        unresponsive: &mut Vec<&InstanceName>,
        deadline: Instant,
    ) -> Option<ClaimOutcome> {
        while let Ok(Some(received)) = tokio::time::timeout_at(deadline, responses.recv()).await {
            let from = owners.iter().find(|owner| owner.address == Some(received.from));
            if let Some(from) = from {
                let mut state = self.limits().state();
                state.silent_owners.remove(&from.instance);
                state.doubtful_owners.remove(&from.instance);
                drop(state);
                unresponsive.retain(|instance| **instance != from.instance);
            }
            let outcome = received.response.outcome;
            if outcome != ClaimOutcome::NotOwner
                && let Some(from) = from
            {
                self.limits().state().grants.record(account, &from.instance, boot_time());
            }
            let is_awaited = from.is_some_and(|from| from.instance == awaited.instance);
            if outcome != ClaimOutcome::NotOwner || is_awaited {
                return Some(outcome);
            }
        }
        None
    }
}
