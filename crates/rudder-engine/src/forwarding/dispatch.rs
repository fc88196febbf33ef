//! Runs a caller's request at a holder or at this instance, and classifies a lost holder's request.

use super::choice::RequestPlace;
use super::remote::RemoteTransaction;
use super::result::{ForwardFault, ForwardResult};
use crate::engine::{ProxyEngine, RouteAccess};
use crate::session::{StatementJob, in_doubt, is_strict, retry_text_after};
use crate::statement::{StatementEffect, StatementError, StatementReply, TransactionState};
use rand::RngExt;
use rudder_core::{InstanceName, LogStamp};
use rudder_decisions::HOLDERS_MAX;
use std::time::{Duration, Instant};

/// Spread of the retry delays of requests that were rejected together.
const RETRY_JITTER_MS: std::ops::Range<u64> = 0..200;

/// One of this many forwarded requests that were served is logged.
const SERVED_SAMPLE: u64 = 64;

/// Start of a transaction.
pub(crate) enum RemoteStart {
    /// The transaction runs at this instance.
    Local,
    /// The transaction does not run: its first statement was rejected.
    Rejected(StatementReply),
    /// The transaction runs at a holder, which returned the result of the first statement.
    Remote(RemoteTransaction, ForwardResult),
}

impl ProxyEngine {
    /// Runs a single statement at a holder or at this instance.
    pub(crate) async fn run_single(
        &self,
        access: &RouteAccess,
        job: &StatementJob,
        floor: Option<LogStamp>,
    ) -> StatementReply {
        let mut lost_job = None;
        let strict = is_strict(&access.route, job.effect);
        // One more than there are holders, as the last choice may be that all are overloaded.
        for _ in 0..=HOLDERS_MAX {
            let holder = match self.choose_place(access, strict, floor) {
                RequestPlace::Local => break,
                RequestPlace::Holder(holder) => holder,
                // The read may have run at the lost holder, so "not run" would be wrong.
                RequestPlace::Busy { .. } if lost_job.is_some() => {
                    return timed_out("the instance that ran the read was lost");
                }
                RequestPlace::Busy { retry_after } => {
                    return reject(job, retry_after, TransactionState::Idle);
                }
            };
            let job = lost_job.as_ref().unwrap_or(job);
            let sent_at = Instant::now();
            let result = self.forwarding().client().run(&holder, access, job, floor).await;
            let leaves_doubt = job.effect == StatementEffect::Write;
            self.record_result(&holder.instance, job, sent_at, &result, leaves_doubt, false);
            let is_of_request = result.is_of_request();
            match result {
                ForwardResult::Reply(reply) => return reply,
                ForwardResult::Declined(_) | ForwardResult::NotSent(_) => {}
                ForwardResult::Lost(_) if leaves_doubt => {
                    return in_doubt("the instance that ran the statement was lost");
                }
                ForwardResult::Lost(_) if job.time_remaining().is_zero() => {
                    return timed_out("the instance that ran the read did not answer in time");
                }
                // The detection of the loss takes longer than a request may wait for a connection.
                ForwardResult::Lost(_) => lost_job = Some(job.with_renewed_wait(&access.route)),
            }
            if is_of_request {
                break;
            }
        }
        let Some(job) = lost_job else { return self.run_local(&access.route, job, floor).await };
        let reply = self.run_local(&access.route, &job, floor).await;
        if reply.error() == Some(&StatementError::Busy) {
            // The read may have run at the lost holder, so "not run" would be wrong.
            return timed_out("the instance that ran the read was lost");
        }
        reply
    }

    /// Sends the first statement of a transaction to a holder, unless this instance runs it.
    pub(crate) async fn start_transaction(
        &self,
        access: &RouteAccess,
        read_only: bool,
        job: &StatementJob,
        floor: Option<LogStamp>,
    ) -> RemoteStart {
        let strict = !read_only || is_strict(&access.route, StatementEffect::Read);
        for _ in 0..=HOLDERS_MAX {
            let holder = match self.choose_place(access, strict, floor) {
                RequestPlace::Local => break,
                RequestPlace::Holder(holder) => holder,
                RequestPlace::Busy { retry_after } => {
                    let reply = reject(job, retry_after, TransactionState::Failed);
                    return RemoteStart::Rejected(reply);
                }
            };
            let sent_at = Instant::now();
            let client = self.forwarding().client();
            let result = match RemoteTransaction::open(client, &holder, read_only) {
                Ok(mut remote) => {
                    let result = remote.run(access, job, floor).await;
                    let leaves_doubt = remote.leaves_doubt(job);
                    self.record_result(&holder.instance, job, sent_at, &result, leaves_doubt, true);
                    match result {
                        ForwardResult::Reply(_) | ForwardResult::Lost(_) => {
                            return RemoteStart::Remote(remote, result);
                        }
                        _ if result.is_of_request() => break,
                        ForwardResult::Declined(_) | ForwardResult::NotSent(_) => continue,
                    }
                }
                Err(reason) => ForwardResult::NotSent(reason),
            };
            self.record_result(&holder.instance, job, sent_at, &result, false, true);
        }
        RemoteStart::Local
    }

    /// Runs a later statement or the commit of a transaction at its holder.
    pub(crate) async fn continue_transaction(
        &self,
        remote: &mut RemoteTransaction,
        access: &RouteAccess,
        job: &StatementJob,
        floor: Option<LogStamp>,
    ) -> ForwardResult {
        let sent_at = Instant::now();
        let result = remote.run(access, job, floor).await;
        let leaves_doubt = remote.leaves_doubt(job);
        self.record_result(remote.holder(), job, sent_at, &result, leaves_doubt, true);
        result
    }

    fn record_result(
        &self,
        holder: &InstanceName,
        job: &StatementJob,
        sent_at: Instant,
        result: &ForwardResult,
        leaves_doubt: bool,
        is_transaction: bool,
    ) {
        self.record_holder(holder, job.account.as_ref(), result);
        if result.may_have_run(is_transaction) {
            job.record_run();
        }
        record_outcome(holder, job, sent_at, result, leaves_doubt);
    }
}

/// Returns the refusal of a request that no holder can run for now.
fn reject(job: &StatementJob, retry_after: Duration, state: TransactionState) -> StatementReply {
    let jitter = Duration::from_millis(rand::rng().random_range(RETRY_JITTER_MS));
    let retry_after = retry_after + jitter;
    metrics::counter!("rudder_forwarded_total", "outcome" => "rejected").increment(1);
    log::info!(
        request:% = job.id, service:% = job.service, reason = "holders_overloaded",
        retry_after_ms = retry_after.as_millis(), outcome = "not_run";
        "a statement was refused"
    );
    let text = retry_text_after(retry_after, "the connections of the account are in use");
    StatementReply::refusal(StatementError::Busy, &text, state)
}

/// Returns the reply to a read that may have run.
fn timed_out(text: &str) -> StatementReply {
    StatementReply::refusal(StatementError::TimedOut, text, TransactionState::Idle)
}

/// Updates the metrics, and logs each request that was not served and a sample of the others.
fn record_outcome(
    holder: &InstanceName,
    job: &StatementJob,
    sent_at: Instant,
    result: &ForwardResult,
    leaves_doubt: bool,
) {
    let (outcome, reason) = match result {
        ForwardResult::Reply(reply) => match reply.error() {
            None => ("served", String::new()),
            Some(error) => ("refused", error.label().to_owned()),
        },
        ForwardResult::Declined(reason) => ("declined", reason.to_string()),
        ForwardResult::NotSent(ForwardFault::Connecting) => ("connecting", String::new()),
        ForwardResult::NotSent(reason) => ("not_sent", reason.to_string()),
        ForwardResult::Lost(reason) if leaves_doubt => ("in_doubt", reason.to_string()),
        ForwardResult::Lost(reason) => ("lost", reason.to_string()),
    };
    let elapsed = sent_at.elapsed();
    metrics::counter!("rudder_forwarded_total", "outcome" => outcome).increment(1);
    metrics::histogram!("rudder_forward_seconds").record(elapsed.as_secs_f64());
    // The sample is chosen by a hash of the request id, so that all instances log the same
    // requests.
    let is_sampled =
        || xxhash_rust::xxh3::xxh3_64(job.id.0.as_bytes()).is_multiple_of(SERVED_SAMPLE);
    match outcome {
        "served" if is_sampled() => log::info!(
            request:% = job.id, service:% = job.service, holder:% = holder,
            took_ms = elapsed.as_millis(), outcome = outcome;
            "a forwarded request was served"
        ),
        "served" | "connecting" => {}
        _ => log::info!(
            request:% = job.id, service:% = job.service, holder:% = holder,
            reason = reason.as_str(), took_ms = elapsed.as_millis(), outcome = outcome;
            "a forwarded request was not served"
        ),
    }
}
