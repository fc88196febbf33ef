//! A pooled connection and the exchanges on it.

use super::link_session::LinkSession;
use super::pool::MemberPool;
use crate::interfaces::{LinkError, MemberLink};
use crate::statement::{MemberCommand, StatementReply, TransactionState};
use rudder_core::AccountName;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An exchange without complete replies. The connection is closed, as a late reply must not reach
/// the next caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExchangeError {
    /// Cause of the failure.
    pub(crate) reason: LinkError,
    /// Whether the member may have received the commands.
    pub(crate) sent: bool,
}

/// A connection that returns to its pool when dropped. It is closed instead if a reply is
/// outstanding or a transaction is open.
pub(crate) struct PooledLink {
    pool: Arc<MemberPool>,
    link: Option<Box<dyn MemberLink>>,
    /// Client account that the connection was opened for; `None` without one.
    account: Option<AccountName>,
    session: LinkSession,
    state: TransactionState,
    /// Whether replies are outstanding.
    awaiting_reply: bool,
    used_at: Instant,
    /// Whether the connection counts towards the pool's open connections.
    counted: bool,
}

impl PooledLink {
    pub(crate) fn new(
        pool: Arc<MemberPool>,
        link: Box<dyn MemberLink>,
        account: Option<AccountName>,
    ) -> Self {
        Self {
            pool,
            link: Some(link),
            account,
            session: LinkSession::default(),
            state: TransactionState::Idle,
            awaiting_reply: false,
            used_at: Instant::now(),
            counted: true,
        }
    }

    pub(crate) fn pool(&self) -> &Arc<MemberPool> {
        &self.pool
    }

    /// Client account that the connection was opened for.
    pub(crate) fn account(&self) -> Option<&AccountName> {
        self.account.as_ref()
    }

    pub(crate) fn session(&self) -> &LinkSession {
        &self.session
    }

    pub(crate) fn used_at(&self) -> Instant {
        self.used_at
    }

    /// Transaction state after the last reply.
    pub(crate) fn state(&self) -> TransactionState {
        self.state
    }

    /// Whether the connection may serve another caller.
    pub(crate) fn is_reusable(&self) -> bool {
        self.link.is_some() && !self.awaiting_reply && self.state == TransactionState::Idle
    }

    /// Sends commands in one write and waits for all replies.
    pub(crate) async fn exchange(
        &mut self,
        commands: &[MemberCommand],
        timeout: Duration,
    ) -> Result<Vec<StatementReply>, ExchangeError> {
        let started_at = Instant::now();
        // Stays set if this future is dropped before it completes, so that the connection is
        // closed.
        self.awaiting_reply = true;
        let mut sent = false;
        let round_trip = Self::send_and_receive(self.link.as_mut(), commands, &mut sent);
        let result = match tokio::time::timeout(timeout, round_trip).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::Silent),
        };
        match result {
            Ok(replies) => {
                self.apply_replies(commands, &replies);
                Ok(replies)
            }
            Err(reason) => {
                self.link = None;
                if reason == LinkError::Silent {
                    self.pool.close_unused_since(started_at);
                }
                Err(ExchangeError { reason, sent })
            }
        }
    }

    async fn send_and_receive(
        link: Option<&mut Box<dyn MemberLink>>,
        commands: &[MemberCommand],
        sent: &mut bool,
    ) -> Result<Vec<StatementReply>, LinkError> {
        let link = link.ok_or_else(|| LinkError::Broken("connection already closed".to_owned()))?;
        *sent = true;
        link.send(commands).await?;
        let mut replies = Vec::with_capacity(commands.len());
        for _ in commands {
            replies.push(link.receive().await?);
        }
        Ok(replies)
    }

    fn apply_replies(&mut self, commands: &[MemberCommand], replies: &[StatementReply]) {
        for (command, reply) in commands.iter().zip(replies) {
            if reply.error().is_none() {
                self.session.apply(command);
            }
        }
        if let Some(last) = replies.last() {
            self.state = last.state;
        }
        self.awaiting_reply = false;
        self.used_at = Instant::now();
    }

    /// Closes the connection.
    pub(crate) fn close(mut self) {
        self.link = None;
    }

    /// Closes the connection but keeps its slot for the connection that replaces it.
    pub(super) fn close_for_replacement(mut self) {
        self.link = None;
        self.counted = false;
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        let reusable = self.is_reusable();
        let Some(link) = self.link.take().filter(|_| reusable) else {
            if self.counted {
                self.pool.release_slot();
            }
            return;
        };
        self.session.trim();
        MemberPool::return_link(Self {
            pool: Arc::clone(&self.pool),
            link: Some(link),
            account: self.account.take(),
            session: std::mem::take(&mut self.session),
            state: TransactionState::Idle,
            awaiting_reply: false,
            used_at: self.used_at,
            counted: true,
        });
    }
}
