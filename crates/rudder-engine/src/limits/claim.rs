//! Claims of operations that callers ask this instance for.

use super::state::HeardAnswer;
use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::peers::{ClaimOutcome, LimitOwner, OperationClaim, PeerMessage};
use crate::statement::RequestId;
use displaydoc::Display;
use rand::RngExt;
use rudder_core::{AccountName, InstanceName};
use rudder_decisions::{ClaimPlan, ClaimVerdict};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long an owner's answer is awaited before it, or the next one, is asked: a round trip between
/// regions and a slow machine's turn.
const ANSWER_WAIT: Duration = Duration::from_millis(60);

/// How long an operation waits for its claim in all. After it nobody is known to count.
const CLAIM_WAIT: Duration = Duration::from_millis(600);

/// The pause before the next owner is asked after one said that it does not count.
const NEXT_PAUSE: Duration = Duration::from_millis(10);

/// The time over which callers that were refused for a limit are spread, beyond the time until an
/// operation is free.
const SPREAD_MS: std::ops::Range<u64> = 0..200;

/// The time to come back where no owner answered.
const UNANSWERED_MS: std::ops::Range<u64> = 100..400;

/// Why an operation may not run now. The texts are parts of the refusal that callers see.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(crate) enum ClaimError {
    /// the account's limit is used up
    Spent {
        /// When to come back.
        after: Duration,
    },
    /// the account's limit cannot be looked up
    Unanswered {
        /// When to come back.
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
        Self::Spent { after: after.saturating_add(spread(SPREAD_MS)) }
    }

    fn unanswered() -> Self {
        Self::Unanswered { after: spread(UNANSWERED_MS) }
    }

    fn word(&self) -> &'static str {
        match self {
            Self::Spent { .. } => "spent",
            Self::Unanswered { .. } => "unanswered",
        }
    }
}

fn spread(range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(range))
}

impl ProxyEngine {
    /// Claims one operation for the caller's account; at once where it has no limit.
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
        let until = began_at + CLAIM_WAIT;
        let ended = self.claim_until(account, until).await;
        if let Err(error) = &ended {
            metrics::counter!("rudder_claims_refused_total", "reason" => error.word()).increment(1);
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
        ended
    }

    async fn claim_until(&self, account: &AccountName, until: Instant) -> Result<(), ClaimError> {
        // Guards against callers that wait for what the one before them has just waited for in vain.
        if self.limits().state().unanswered.contains(account, boot_time()) {
            return Err(ClaimError::unanswered());
        }
        let owners = self.await_owners(account, until).await;
        let (question, answers) = self.limits().state().begin_claim();
        let claim = OperationClaim { question, account: account.clone(), counts: true };
        let ended = self.ask_owners(&owners, &claim, answers, until).await;
        let mut state = self.limits().state();
        state.end_claim(question);
        match &ended {
            Err(ClaimError::Unanswered { .. }) => state.unanswered.note(account, boot_time()),
            Ok(()) | Err(ClaimError::Spent { .. }) => state.unanswered.forget(account),
        }
        ended
    }

    /// The instances that may count for an account; waits for them while this instance starts.
    async fn await_owners(&self, account: &AccountName, until: Instant) -> Vec<LimitOwner> {
        loop {
            let owners = self.limit_owners(account);
            if !owners.is_empty() || Instant::now() >= until {
                return owners;
            }
            tokio::time::sleep(NEXT_PAUSE).await;
        }
    }

    async fn ask_owners(
        &self,
        owners: &[LimitOwner],
        claim: &OperationClaim,
        mut answers: mpsc::UnboundedReceiver<HeardAnswer>,
        until: Instant,
    ) -> Result<(), ClaimError> {
        let silent: Vec<bool> = {
            let (now, state) = (boot_time(), self.limits().state());
            owners.iter().map(|owner| state.silent.contains(&owner.instance, now)).collect()
        };
        let mut unheard: Vec<&InstanceName> = Vec::new();
        let mut declined = None;
        for index in ClaimPlan::new(&silent) {
            if Instant::now() >= until {
                break;
            }
            if declined.take() == Some(index) && owners.len() > 1 {
                continue;
            }
            let owner = &owners[index];
            let step_until = until.min(Instant::now() + ANSWER_WAIT);
            let outcome = match owner.address {
                None => match self.judge_claim(&claim.account, true).await {
                    ClaimVerdict::Granted => return Ok(()),
                    ClaimVerdict::Spent(after) => return Err(ClaimError::spent(after)),
                    ClaimVerdict::NotOwner => Some(ClaimOutcome::NotOwner),
                },
                Some(address) => {
                    let Some(exchange) = self.exchange() else { break };
                    exchange.send(&PeerMessage::Claim(claim.clone()), address).await;
                    if unheard.contains(&&owner.instance) {
                        self.limits().state().silent.note(&owner.instance, boot_time());
                    }
                    unheard.push(&owner.instance);
                    self.await_answer(owners, owner, &mut answers, &mut unheard, step_until).await
                }
            };
            match outcome {
                Some(ClaimOutcome::Granted) => return Ok(()),
                Some(ClaimOutcome::Spent { after_ms }) => {
                    return Err(ClaimError::spent(Duration::from_millis(after_ms.into())));
                }
                Some(ClaimOutcome::NotOwner) => {
                    declined = Some(index);
                    tokio::time::sleep(NEXT_PAUSE).await;
                }
                None => {}
            }
        }
        Err(ClaimError::unanswered())
    }

    /// The next answer that decides, or that `asked` does not count; none if the time is over.
    async fn await_answer(
        &self,
        owners: &[LimitOwner],
        asked: &LimitOwner,
        answers: &mut mpsc::UnboundedReceiver<HeardAnswer>,
        unheard: &mut Vec<&InstanceName>,
        until: Instant,
    ) -> Option<ClaimOutcome> {
        while let Ok(Some(heard)) = tokio::time::timeout_at(until, answers.recv()).await {
            let from = owners.iter().find(|owner| owner.address == Some(heard.from));
            if let Some(from) = from {
                self.limits().state().silent.forget(&from.instance);
                unheard.retain(|instance| **instance != from.instance);
            }
            let outcome = heard.answer.outcome;
            let of_asked = from.is_some_and(|from| from.instance == asked.instance);
            if outcome != ClaimOutcome::NotOwner || of_asked {
                return Some(outcome);
            }
        }
        None
    }
}
