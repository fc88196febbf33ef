//! Queues of the accounts that this instance counts for, and the return of grants.

use super::state::{ClaimReply, ReceivedResponse};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::peers::{
    ClaimOutcome, ClaimResponse, PeerMessage, QueueClaim, QueuedClaim, QueuedOutcome, ReturnClaim,
};
use rudder_core::AccountName;
use rudder_decisions::{ClaimScope, ClaimTerms, QueueNotice, QueueOutcome};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Minimum pause between two services of the queues.
const SERVICE_PAUSE: Duration = Duration::from_millis(1);

/// Sender of a claim.
#[derive(Clone, Copy, Debug)]
pub(super) enum QueueClaimant {
    /// This instance.
    Own { request_id: u64 },
    /// Another instance.
    Peer { from: SocketAddr, request_id: u64 },
    /// An instance that sent a claim without a queue.
    Older { from: SocketAddr, request_id: u64 },
}

impl ProxyEngine {
    /// Decides on a claim, of this instance or of a peer, as a possible owner of the account's
    /// limit, and sends the outcomes of all claims that are decided with it.
    pub(super) async fn queue_claim(
        &self,
        account: &AccountName,
        terms: ClaimTerms,
        claimant: QueueClaimant,
    ) {
        let scope = self.claim_scope(account).await;
        let (notices, is_waiting) = {
            let state = &mut *self.limits().state();
            let notices = match scope {
                Some(scope) => {
                    let before = state.ledger.role(account);
                    if before != scope.role {
                        log::info!(
                            account:% = account, before:? = before, role:? = scope.role;
                            "the role of this instance in counting the operations of an account \
                             changed"
                        );
                    }
                    state.queues.claim(&mut state.ledger, account, scope, terms, claimant)
                }
                None => {
                    let mut notices = state.stop_counting(account);
                    let outcome = QueueOutcome::NotOwner;
                    notices.push(QueueNotice { claimant, priority: 0, outcome });
                    notices
                }
            };
            (notices, state.queues.next_service_at().is_some())
        };
        if is_waiting {
            self.limits().queue_changed.notify_one();
        }
        self.send_outcomes(account, notices).await;
    }

    /// Returns the limit and role under which this instance decides on an account's claims; `None`
    /// if it does not decide on them.
    async fn claim_scope(&self, account: &AccountName) -> Option<ClaimScope> {
        // The claiming instance knows a limit. If this instance knows none yet, another one counts.
        let Some(limit) = self.operation_limit(account) else {
            metrics::counter!("rudder_claims_declined_total", "reason" => "unknown_account")
                .increment(1);
            log::debug!(account:% = account, reason = "unknown_account"; "a claim was declined");
            return None;
        };
        let (rank, role) = self.role_for(account).await?;
        let bounds = self.identity().limit_bounds;
        let limit = self.fleet_reach().part_of(limit);
        Some(ClaimScope { limit, bounds, role, rank, now: boot_time() })
    }

    pub(super) async fn send_outcomes(
        &self,
        account: &AccountName,
        notices: Vec<QueueNotice<QueueClaimant>>,
    ) {
        for QueueNotice { claimant, priority, outcome } in notices {
            record_outcome(account, priority, outcome);
            self.limits().state().tally.record(account, outcome, boot_time());
            let (message, to) = match claimant {
                QueueClaimant::Own { request_id } => {
                    let reply = reply_of(outcome);
                    let received =
                        ReceivedResponse { from: None, request_id, has_queue: true, reply };
                    let is_delivered = self.limits().state().deliver(received);
                    if let (false, ClaimReply::Granted { grant: Some(grant) }) =
                        (is_delivered, reply)
                    {
                        self.take_back_grant(account, grant).await;
                    }
                    continue;
                }
                QueueClaimant::Peer { from, request_id } => {
                    let outcome = wire_outcome(outcome);
                    (PeerMessage::QueuedClaim(QueuedClaim { request_id, outcome }), from)
                }
                QueueClaimant::Older { from, request_id } => {
                    let outcome = older_outcome(outcome);
                    (PeerMessage::ClaimResponse(ClaimResponse { request_id, outcome }), from)
                }
            };
            if let Some(exchange) = self.exchange() {
                exchange.send(&message, to).await;
            }
        }
    }

    /// Applies the response to a claim of this instance. A grant that no claim waits for any more is
    /// returned.
    pub(crate) async fn handle_queued_claim(&self, response: QueuedClaim, from: SocketAddr) {
        let QueuedClaim { request_id, outcome } = response;
        let ms = |ms: u32| Duration::from_millis(ms.into());
        let reply = match outcome {
            QueuedOutcome::Granted { grant } => ClaimReply::Granted { grant: Some(grant) },
            QueuedOutcome::Queued { within_ms } => ClaimReply::Queued { within: ms(within_ms) },
            QueuedOutcome::Rejected { retry_after_ms, reservation, promised_until_ms } => {
                let promised_for = promised_until_ms.map(ms);
                ClaimReply::Rejected { after: ms(retry_after_ms), reservation, promised_for }
            }
            QueuedOutcome::NotOwner => ClaimReply::NotOwner,
        };
        let received = ReceivedResponse { from: Some(from), request_id, has_queue: true, reply };
        let is_delivered = self.limits().state().deliver(received);
        if is_delivered {
            return;
        }
        let account = self.limits().state().ended_account(request_id);
        match (outcome, account, self.exchange()) {
            (QueuedOutcome::Granted { grant }, Some(account), Some(exchange)) => {
                metrics::counter!("rudder_grants_returned_total", "reason" => "late").increment(1);
                log::debug!(account:% = account, reason = "late"; "a grant was returned");
                let message = PeerMessage::ReturnClaim(ReturnClaim { account, grant });
                exchange.send(&message, from).await;
            }
            _ => {
                metrics::counter!("rudder_claim_responses_ignored_total", "reason" => "no_claim")
                    .increment(1);
                log::debug!(
                    peer:% = from, request = request_id, reason = "no_claim";
                    "a response to a claim was ignored"
                );
            }
        }
    }

    /// Puts the token of a grant whose statement did not run back into the account's bucket.
    pub(crate) async fn take_back_grant(&self, account: &AccountName, grant: u64) {
        let scope = self.claim_scope(account).await;
        let is_put_back = scope.is_some_and(|scope| {
            let state = &mut *self.limits().state();
            state.queues.return_grant(&mut state.ledger, account, scope, grant)
        });
        let outcome = if is_put_back { "put_back" } else { "dropped" };
        metrics::counter!("rudder_grants_taken_back_total", "outcome" => outcome).increment(1);
        log::debug!(account:% = account, outcome = outcome; "a returned grant was received");
        self.limits().queue_changed.notify_one();
    }
}

/// Responds to another instance's claim that may wait.
pub(crate) async fn respond_to_queue_claim(
    engine: &ProxyEngine,
    claim: QueueClaim,
    from: SocketAddr,
) {
    let terms = ClaimTerms {
        priority: claim.priority,
        wait: Duration::from_millis(claim.wait_ms.into()),
        deadline: Duration::from_millis(claim.deadline_ms.into()),
        refused_before: claim.refused_before,
        reservation: claim.reservation,
    };
    if let Some(reason) = terms.irregularity() {
        metrics::counter!("rudder_claims_irregular_total", "reason" => reason).increment(1);
        log::debug!(
            account:% = claim.account, peer:% = from, reason = reason;
            "a claim states unusual terms"
        );
    }
    let claimant = QueueClaimant::Peer { from, request_id: claim.request_id };
    engine.queue_claim(&claim.account, terms, claimant).await;
}

/// Serves queued claims when tokens are refilled or waits end.
pub(crate) async fn serve_queues(engine: Arc<ProxyEngine>) {
    loop {
        let next = engine.limits().state().queues.next_service_at();
        let changed = engine.limits().queue_changed.notified();
        match next {
            None => changed.await,
            Some(at) => {
                let pause = at.saturating_sub(boot_time()).max(SERVICE_PAUSE);
                // A claim that arrives meanwhile may change the time of the next service.
                let _ = tokio::time::timeout(pause, changed).await;
            }
        }
        let due = engine.limits().state().queues.due(boot_time());
        for account in due {
            let scope = engine.claim_scope(&account).await;
            let notices = {
                let state = &mut *engine.limits().state();
                match scope {
                    Some(scope) => state.queues.serve(&mut state.ledger, &account, scope),
                    None => state.stop_counting(&account),
                }
            };
            engine.send_outcomes(&account, notices).await;
        }
        let tally = engine.limits().state().queues.take_tally();
        for (outcome, count) in [("kept", tally.kept), ("missed", tally.missed)] {
            if count > 0 {
                metrics::counter!("rudder_reservations_total", "outcome" => outcome)
                    .increment(count);
            }
        }
    }
}

fn record_outcome(account: &AccountName, priority: u8, outcome: QueueOutcome) {
    let label = match outcome {
        QueueOutcome::Granted { waited: false, .. } => "granted",
        QueueOutcome::Granted { waited: true, .. } => "granted_after_wait",
        QueueOutcome::Queued { .. } => "queued",
        QueueOutcome::Rejected(rejection) => rejection.reason,
        QueueOutcome::NotOwner => "not_owner",
    };
    metrics::counter!(
        "rudder_claim_decisions_total", "outcome" => label, "priority" => priority.to_string()
    )
    .increment(1);
    log::debug!(
        account:% = account, priority = priority, outcome = label; "a claim was decided"
    );
}

fn reply_of(outcome: QueueOutcome) -> ClaimReply {
    match outcome {
        QueueOutcome::Granted { grant, .. } => ClaimReply::Granted { grant: Some(grant) },
        QueueOutcome::Queued { within } => ClaimReply::Queued { within },
        QueueOutcome::Rejected(rejection) => ClaimReply::Rejected {
            after: rejection.retry_after,
            reservation: rejection.reservation,
            promised_for: rejection.promised_for,
        },
        QueueOutcome::NotOwner => ClaimReply::NotOwner,
    }
}

fn wire_outcome(outcome: QueueOutcome) -> QueuedOutcome {
    match outcome {
        QueueOutcome::Granted { grant, .. } => QueuedOutcome::Granted { grant },
        QueueOutcome::Queued { within } => {
            QueuedOutcome::Queued { within_ms: to_ms_rounded_up(within) }
        }
        QueueOutcome::Rejected(rejection) => QueuedOutcome::Rejected {
            retry_after_ms: to_ms_rounded_up(rejection.retry_after),
            reservation: rejection.reservation,
            promised_until_ms: rejection.promised_for.map(to_ms_rounded_up),
        },
        QueueOutcome::NotOwner => QueuedOutcome::NotOwner,
    }
}

/// Returns the outcome of a claim without a queue. Such a claim does not wait, so it is never
/// queued.
fn older_outcome(outcome: QueueOutcome) -> ClaimOutcome {
    match outcome {
        QueueOutcome::Granted { .. } => ClaimOutcome::Granted,
        QueueOutcome::Queued { within } => {
            ClaimOutcome::Spent { after_ms: to_ms_rounded_up(within) }
        }
        QueueOutcome::Rejected(rejection) => {
            ClaimOutcome::Spent { after_ms: to_ms_rounded_up(rejection.retry_after) }
        }
        QueueOutcome::NotOwner => ClaimOutcome::NotOwner,
    }
}

pub(super) fn to_ms_rounded_up(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
