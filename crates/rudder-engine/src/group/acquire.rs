//! Acquisition of a connection to one member, or to whichever of several members has one first.
//!
//! Load pattern: at saturation all members that could serve a read are full, and each of them frees
//! a connection every few milliseconds. A read that waits in the queue of a single member is
//! refused at its wait deadline although connections to other members became free. A read therefore
//! waits in the queues of all members that may serve it and takes the first connection granted.

use super::link::PooledLink;
use super::pool::{
    ConnectionGrant, ConnectionSlot, LinkRequest, MemberPool, QueueEntry, QueueRequest,
};
use crate::interfaces::LinkError;
use crate::statement::StatementError;
use displaydoc::Display;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Reason why no connection was acquired.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// all connections stayed in use
    WaitOver,
    /// the member cannot be reached: {0}
    Unreachable(LinkError),
}

/// The pool of a member that may serve the request.
#[derive(Clone)]
pub(crate) struct PoolChoice {
    /// Connection pool of the member.
    pub(crate) pool: Arc<MemberPool>,
    /// Number of connections to the member that must stay free for other requests.
    pub(crate) kept_free: u32,
}

/// A choice that is still usable, with the caller's entry in the queue of its pool.
struct QueuedChoice {
    /// Index among all choices.
    index: usize,
    choice: PoolChoice,
    sequence: Option<u64>,
    entry: Option<QueueEntry>,
}

impl QueuedChoice {
    fn join(&mut self, request: &LinkRequest) {
        let request = QueueRequest {
            link: request.clone(),
            is_preferred: self.index == 0,
            kept_free: self.choice.kept_free,
            sequence: self.sequence,
        };
        let entry = self.choice.pool.join_queue(request);
        self.sequence = Some(entry.sequence);
        self.entry = Some(entry);
    }

    /// Returns the grant if one is available without waiting.
    fn try_grant(&mut self) -> Option<ConnectionGrant> {
        self.entry.as_mut()?.granted.try_recv().ok()
    }

    fn poll_grant(&mut self, context: &mut Context<'_>) -> Poll<ConnectionGrant> {
        let Some(entry) = &mut self.entry else { return Poll::Pending };
        match Pin::new(&mut entry.granted).poll(context) {
            Poll::Ready(Ok(grant)) => Poll::Ready(grant),
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
        }
    }
}

impl MemberPool {
    /// Acquires a connection to this member. Waiting requests are served in order of rank, the
    /// lowest first.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: &LinkRequest,
        wait: Duration,
    ) -> Result<PooledLink, AcquireError> {
        let choice = PoolChoice { pool: Arc::clone(self), kept_free: 0 };
        acquire_any(&[choice], request, wait).await.map(|(_, link)| link)
    }
}

/// Acquires the first available connection to one of several members, which are given in order of
/// preference. Returns it with the index of its member.
pub(crate) async fn acquire_any(
    choices: &[PoolChoice],
    request: &LinkRequest,
    wait: Duration,
) -> Result<(usize, PooledLink), AcquireError> {
    let deadline = Instant::now() + wait;
    let mut reason = LinkError::Unreachable("dialing is paused after a recent failure".to_owned());
    let mut queued: Vec<QueuedChoice> = choices
        .iter()
        .enumerate()
        .filter(|(_, choice)| !choice.pool.is_unavailable())
        .map(|(index, choice)| QueuedChoice {
            index,
            choice: choice.clone(),
            sequence: None,
            entry: None,
        })
        .collect();
    while !queued.is_empty() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Ok((position, grant)) =
            tokio::time::timeout(remaining, first_grant(&mut queued, request)).await
        else {
            return Err(AcquireError::WaitOver);
        };
        let slot = match grant {
            ConnectionGrant::Link(link) => return Ok((queued[position].index, link)),
            ConnectionGrant::Dial(slot) => slot,
        };
        match dial_at(&mut queued, position, slot, request).await {
            Ok(link) => return Ok((queued[position].index, link)),
            Err(LinkError::Refused(StatementError::ConnectionLimit)) => {}
            Err(error) => {
                queued.remove(position);
                reason = error;
            }
        }
    }
    Err(AcquireError::Unreachable(reason))
}

/// Opens a connection. Meanwhile the entries in the other queues are dropped, as connections
/// granted there would be idle; their sequence numbers are kept for the next attempt.
async fn dial_at(
    queued: &mut [QueuedChoice],
    position: usize,
    slot: ConnectionSlot,
    request: &LinkRequest,
) -> Result<PooledLink, LinkError> {
    for choice in queued.iter_mut() {
        choice.entry = None;
    }
    queued[position].choice.pool.dial(slot, request.user.account()).await
}

/// Joins the queues in order until a connection is granted, then waits in all of them.
async fn first_grant(
    queued: &mut [QueuedChoice],
    request: &LinkRequest,
) -> (usize, ConnectionGrant) {
    for (position, choice) in queued.iter_mut().enumerate() {
        if choice.entry.is_none() {
            choice.join(request);
        }
        if let Some(grant) = choice.try_grant() {
            return (position, grant);
        }
    }
    poll_fn(|context| {
        for (position, choice) in queued.iter_mut().enumerate() {
            if let Poll::Ready(grant) = choice.poll_grant(context) {
                return Poll::Ready((position, grant));
            }
        }
        Poll::Pending
    })
    .await
}
