//! Acknowledges a commit: reads the member's status after it, then waits for a majority of the
//! group.

use crate::exchange::ExchangeError;
use crate::group::{ConfirmOutcome, GroupState, PooledConnection};
use rudder_core::{ControlStatement, LogStamp, LogTerm, MemberRole, MemberStatus, stamp_of_commit};
use rudder_endpoint::{ControlError, WireError};
use rudder_settings::AckRule;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of a status request, as a multiple of the time after which an unresponsive
/// primary is suspected.
const STATUS_TIMEOUT_FACTOR: u32 = 2;

/// Queues a request for a member's status on a connection in use.
pub(crate) fn request_status(pooled: &mut PooledConnection) -> Result<(), ExchangeError> {
    let request = ControlStatement::Status.to_string();
    pooled.connection.queue_query(&request).map_err(|_| ExchangeError::MemberUnresponsive)
}

/// Reads the response to [`request_status`], and records it as requested at `status_requested_at`.
pub(crate) async fn read_status(
    group: &GroupState,
    member: usize,
    pooled: &mut PooledConnection,
    status_requested_at: Duration,
) -> Result<MemberStatus, ExchangeError> {
    // Detects a connection that stopped responding for good while new ones work. A status takes no
    // slot, so load never delays its response.
    let bound = group.timing.suspect_after * STATUS_TIMEOUT_FACTOR;
    match timeout(bound, pooled.connection.next_status()).await {
        Ok(Ok(status)) => {
            group.record_report(member, status_requested_at, Some(status));
            Ok(status)
        }
        Ok(Err(ControlError::Unreachable(_))) => Err(ExchangeError::Member(WireError::Closed)),
        Ok(Err(_)) | Err(_) => Err(ExchangeError::MemberUnresponsive),
    }
}

/// Returns the stamp of what was committed at `term`, from the member's own status after it, or
/// `None` if it cannot be determined. The status request must have been queued already, at
/// `status_requested_at` or later.
pub(crate) async fn commit_stamp(
    group: &GroupState,
    member: usize,
    pooled: &mut PooledConnection,
    term: Option<LogTerm>,
    status_requested_at: Duration,
) -> Option<LogStamp> {
    let after = read_status(group, member, pooled, status_requested_at).await.ok()?;
    stamp_of_commit(term?, &after)
}

/// Waits until a majority holds the commit. Returns `false` if its durability is unknown. Uses no
/// member connection, so that the few there are can serve others meanwhile.
pub(crate) async fn await_majority(group: &GroupState, member: usize, commit: LogStamp) -> bool {
    let nothing_to_lose = commit == LogStamp::default();
    if nothing_to_lose || group.service.ack == AckRule::Primary {
        return true;
    }
    let outcome = group.confirm_commit(commit, group.timing.ack_timeout).await;
    if outcome != ConfirmOutcome::Acknowledged {
        log::warn!(
            target: "rudder::acknowledge", service:% = group.service.name,
            member:% = group.members[member].name(), commit:% = commit,
            reason = if outcome == ConfirmOutcome::Superseded { "superseded" } else { "timed_out" };
            "commit not acknowledged"
        );
    }
    outcome == ConfirmOutcome::Acknowledged
}

/// Returns the term at which a member is primary, or `None` if it is not.
pub(crate) fn leading_term(status: &MemberStatus) -> Option<LogTerm> {
    (status.role == MemberRole::Primary).then_some(status.accepted)
}
