//! Requests with unusable contents, and requests that the holder cannot accept.

use super::fixture::{TestInstance, access, id, pair, session, write};
use crate::engine::RouteAccess;
use crate::forwarding::wire::{DeclineReason, ForwardedRequest, WireBody, WireReply, WireRequest};
use crate::session::StatementJob;
use crate::statement::{
    StatementBody, StatementEffect, StatementError, StatementOutcome, StatementReply,
    TransactionState,
};
use rudder_core::LogStamp;
use std::time::Duration;

pub(super) fn job(access: &RouteAccess) -> StatementJob {
    let body = StatementBody::Text("PUT x".to_owned());
    StatementJob::new(id("w1"), body, StatementEffect::Write, None, &[], access)
}

pub(super) fn request(origin: &TestInstance, request_id: u64) -> WireRequest {
    let access = access(origin, "strict");
    WireRequest::new(request_id, &access, &job(&access), None)
}

/// Clocks of instances differ; only remaining times keep a deadline.
#[tokio::test]
async fn deadlines_travel_as_remaining_times() {
    let (origin, _holder) = pair().await;
    let access = access(&origin, "strict");
    let sent = job(&access);
    tokio::time::sleep(Duration::from_millis(30)).await;

    let request = WireRequest::new(1, &access, &sent, Some(LogStamp::new(1, 4)));
    let received = ForwardedRequest::try_from(request).expect("a valid request");

    let (wait, time) = (received.job.wait_remaining(), received.job.time_remaining());
    assert!(wait <= Duration::from_millis(470) && wait > Duration::from_millis(300), "{wait:?}");
    assert!(time <= Duration::from_millis(2970) && time > Duration::from_millis(2700), "{time:?}");
    assert_eq!((received.access, received.floor), (access, Some(LogStamp::new(1, 4))));
}

/// A request that is over or has an absurd deadline must not occupy the holder.
#[tokio::test]
async fn past_and_absurd_deadlines_are_declined() {
    let (origin, _holder) = pair().await;
    let request = request(&origin, 1);

    let past = WireRequest { time: Duration::ZERO, ..request.clone() };
    let absurd = WireRequest { time: Duration::MAX, ..request.clone() };
    let mut slow_route = request.clone();
    slow_route.route.statement_timeout = Duration::MAX;
    let long_wait = WireRequest { wait: Duration::MAX, ..request };

    let decline = |request| ForwardedRequest::try_from(request).err();
    assert_eq!(decline(past), Some(DeclineReason::Expired));
    assert_eq!(decline(absurd), Some(DeclineReason::Invalid));
    assert_eq!(decline(slow_route), Some(DeclineReason::Invalid));
    let accepted = ForwardedRequest::try_from(long_wait).expect("a wait within the deadline");
    assert!(accepted.job.wait_remaining() <= Duration::from_secs(3));
}

/// A request without a priority must not pass those of the operators' priorities.
#[tokio::test]
async fn a_missing_priority_is_the_lowest() {
    let (origin, _holder) = pair().await;
    let mut request = request(&origin, 1);
    request.route.priority = None;

    let received = ForwardedRequest::try_from(request).expect("a valid request");

    assert_eq!(received.job.priority, u8::MAX);
}

/// The name on the member's connection is derived from the statement, which is therefore needed.
#[tokio::test]
async fn an_execution_without_its_statement_is_declined() {
    let (origin, _holder) = pair().await;
    let body = WireBody::Execute { arguments: "7".to_owned() };

    let request = WireRequest { body, ..request(&origin, 1) };

    assert_eq!(ForwardedRequest::try_from(request).err(), Some(DeclineReason::Invalid));
}

/// An error that arrives as another one would promise something else to the caller.
#[test]
fn replies_are_the_same_after_the_transfer() {
    let errors = [
        StatementError::Busy,
        StatementError::Aborted,
        StatementError::Lagging,
        StatementError::ReadOnly,
        StatementError::Misrouted,
        StatementError::ConnectionLimit,
        StatementError::Failed,
        StatementError::UnknownName,
        StatementError::TimedOut,
        StatementError::InDoubt,
        StatementError::NoDatabase,
        StatementError::Unauthorized,
        StatementError::TooLarge,
        StatementError::Malformed,
        StatementError::Other("E77".to_owned()),
    ];
    for error in errors {
        let outcome = StatementOutcome::Error { error, text: "not run".to_owned() };
        let reply = StatementReply {
            rows: vec!["a".to_owned()],
            outcome,
            state: TransactionState::Failed,
            position: Some(LogStamp::new(3, 4)),
        };

        let bytes = postcard::to_stdvec(&WireReply::from(reply.clone())).expect("bytes");
        let wire: WireReply = postcard::from_bytes(&bytes).expect("a reply");

        assert_eq!(StatementReply::from(wire), reply);
    }
}

/// A holder with older settings would dial members for an account that it does not know.
#[tokio::test]
async fn an_account_that_the_holder_does_not_know_is_served_by_the_origin() {
    let (origin, holder) = pair().await;
    let own = access(&origin, "strict").account.expect("an account").to_string();
    let mut left = super::fixture::accounts();
    left.retain(|name| *name != own);
    holder.engine.apply_settings(super::fixture::settings(2, &left, 10));
    let mut session = session(&origin, "strict").await;

    let reply = write(&mut session, "PUT x").await;

    assert_eq!(reply.error(), None);
    assert_eq!((origin.log.lines().len(), holder.log.lines().len()), (1, 0));
}

/// Without a bound on requests in progress, a burst takes the memory of a small holder.
#[tokio::test]
async fn requests_beyond_the_bound_are_declined() {
    let (_origin, holder) = pair().await;
    let service = "records".parse().expect("a name");
    let wait = Duration::from_secs(1);
    let admit = || holder.engine.admit_forwarded(&service, true, wait, 1);

    let admitted: Vec<_> = (0..256).map(|_| admit().expect("admitted")).collect();

    assert_eq!(admit().err(), Some(DeclineReason::Overloaded));
    drop(admitted);
    assert!(admit().is_ok());
    assert_eq!(
        holder.engine.admit_forwarded(&service, true, wait, 17 << 20).err(),
        Some(DeclineReason::Overloaded)
    );
}
