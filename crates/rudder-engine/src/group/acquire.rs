//! How a caller comes by a connection: to one member, or to the first of several that has one.
//!
//! Load pattern: at saturation the members that could serve a read are all full, and connections
//! come free at each of them every few milliseconds. A read that stands in the queue of one member
//! is sent away when its time is over, although others have come free meanwhile. So it stands in
//! the queues of all that may serve it, and takes the first connection that it is given.

use super::link::PooledLink;
use super::pool::{
    ConnectionGrant, ConnectionSlot, LinkRequest, MemberPool, QueueEntry, QueueRequest,
};
use crate::border::LinkError;
use crate::statement::StatementError;
use displaydoc::Display;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Why no connection was had.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// all connections stayed in use
    WaitOver,
    /// the member cannot be reached: {0}
    Down(LinkError),
}

/// A member that may serve.
#[derive(Clone)]
pub(crate) struct PoolChoice {
    /// Its connections.
    pub(crate) pool: Arc<MemberPool>,
    /// Connections to it that must stay free for others.
    pub(crate) kept_free: u32,
}

/// A choice that is still open, with the caller's place in its queue.
struct QueuedChoice {
    /// Where it stands among all choices.
    index: usize,
    choice: PoolChoice,
    sequence: Option<u64>,
    entry: Option<QueueEntry>,
}

impl QueuedChoice {
    fn join(&mut self, request: &LinkRequest) {
        let request = QueueRequest {
            link: request.clone(),
            kept_free: self.choice.kept_free,
            sequence: self.sequence,
        };
        let entry = self.choice.pool.join_queue(request);
        self.sequence = Some(entry.sequence);
        self.entry = Some(entry);
    }

    /// What was granted without waiting.
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
    /// Takes a connection to this member; the least rank goes first among those that wait.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: &LinkRequest,
        wait: Duration,
    ) -> Result<PooledLink, AcquireError> {
        let choice = PoolChoice { pool: Arc::clone(self), kept_free: 0 };
        acquire_any(&[choice], request, wait).await.map(|(_, link)| link)
    }
}

/// Takes the first connection that comes free to one of several members, of which the first one
/// is liked best. Returns it with the index of its member.
pub(crate) async fn acquire_any(
    choices: &[PoolChoice],
    request: &LinkRequest,
    wait: Duration,
) -> Result<(usize, PooledLink), AcquireError> {
    let give_up = Instant::now() + wait;
    let mut reason = LinkError::Unreachable("tried a moment ago".to_owned());
    let mut open: Vec<QueuedChoice> = choices
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
    while !open.is_empty() {
        let left = give_up.saturating_duration_since(Instant::now());
        let Ok((position, grant)) =
            tokio::time::timeout(left, first_grant(&mut open, request)).await
        else {
            return Err(AcquireError::WaitOver);
        };
        let slot = match grant {
            ConnectionGrant::Link(link) => return Ok((open[position].index, link)),
            ConnectionGrant::Dial(slot) => slot,
        };
        match dial_at(&mut open, position, slot, request).await {
            Ok(link) => return Ok((open[position].index, link)),
            Err(LinkError::Refused(StatementError::ConnectionLimit)) => {}
            Err(error) => {
                open.remove(position);
                reason = error;
            }
        }
    }
    Err(AcquireError::Down(reason))
}

/// Opens the connection. The places in the other queues are given up meanwhile, as what is granted
/// there would stand idle; the turns are kept.
async fn dial_at(
    open: &mut [QueuedChoice],
    position: usize,
    slot: ConnectionSlot,
    request: &LinkRequest,
) -> Result<PooledLink, LinkError> {
    for choice in open.iter_mut() {
        choice.entry = None;
    }
    open[position].choice.pool.dial(slot, request.user.account()).await
}

/// Joins the queues one after the other until a connection is granted, and then waits in all.
async fn first_grant(open: &mut [QueuedChoice], request: &LinkRequest) -> (usize, ConnectionGrant) {
    for (position, choice) in open.iter_mut().enumerate() {
        if choice.entry.is_none() {
            choice.join(request);
        }
        if let Some(grant) = choice.try_grant() {
            return (position, grant);
        }
    }
    poll_fn(|context| {
        for (position, choice) in open.iter_mut().enumerate() {
            if let Poll::Ready(grant) = choice.poll_grant(context) {
                return Poll::Ready((position, grant));
            }
        }
        Poll::Pending
    })
    .await
}
