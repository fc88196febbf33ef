//! Transactions that this instance runs for an origin.

use super::frame::ConnectionEnd;
use super::server::{ReplySender, rolled_back};
use super::wire::ForwardedRequest;
use super::workload::WorkGuard;
use crate::engine::ProxyEngine;
use crate::identity::DrainPhase;
use crate::session::OpenTransaction;
use crate::statement::{StatementBody, TransactionState};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time beyond the idle timeout of transactions after which this instance rolls back by itself. The
/// origin ends an idle transaction first, as it sees when the caller's next statement arrives.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Statements of one transaction that wait: callers send one at a time.
const COMMANDS_MAX: usize = 2;

/// Statement or commit of a transaction.
pub(super) struct TransactionCommand {
    pub(super) request_id: u64,
    pub(super) request: ForwardedRequest,
}

/// Open transactions of one origin. Dropping an entry rolls its transaction back.
#[derive(Default)]
pub(super) struct HeldTransactions {
    /// Sorted by number.
    open: Vec<(u64, mpsc::Sender<TransactionCommand>)>,
    last: u64,
}

impl HeldTransactions {
    /// Begins a transaction with its first statement.
    pub(super) fn begin(
        &mut self,
        engine: Arc<ProxyEngine>,
        transaction: u64,
        read_only: bool,
        first: TransactionCommand,
        replies: ReplySender,
        guard: WorkGuard,
    ) -> Result<(), ConnectionEnd> {
        if transaction <= self.last {
            return Err(ConnectionEnd::Repeated);
        }
        self.last = transaction;
        self.open.retain(|(_, commands)| !commands.is_closed());
        let (sender, commands) = mpsc::channel(COMMANDS_MAX);
        self.open.push((transaction, sender));
        let open = OpenTransaction::new_local(read_only, first.request.access.clone());
        let held = HeldTransaction { engine, commands, replies, guard };
        tokio::spawn(held.run(open, first));
        Ok(())
    }

    /// Passes a statement to its transaction.
    pub(super) async fn run(
        &mut self,
        transaction: u64,
        command: TransactionCommand,
        replies: &ReplySender,
    ) -> Result<(), ConnectionEnd> {
        let request_id = command.request_id;
        let found = self.open.binary_search_by_key(&transaction, |(number, _)| *number);
        let Ok(index) = found else {
            replies.reply(request_id, rolled_back()).await;
            return Ok(());
        };
        match self.open[index].1.try_send(command) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Full(_)) => Err(ConnectionEnd::Repeated),
            Err(mpsc::error::TrySendError::Closed(_)) => {
                self.open.remove(index);
                replies.reply(request_id, rolled_back()).await;
                Ok(())
            }
        }
    }

    /// Rolls a transaction back, if it is still open.
    pub(super) fn roll_back(&mut self, transaction: u64) {
        self.open.retain(|(number, _)| *number != transaction);
    }
}

/// A transaction of an origin.
struct HeldTransaction {
    engine: Arc<ProxyEngine>,
    commands: mpsc::Receiver<TransactionCommand>,
    replies: ReplySender,
    guard: WorkGuard,
}

impl HeldTransaction {
    async fn run(mut self, mut open: OpenTransaction, first: TransactionCommand) {
        let mut next = Some(first);
        while let Some(TransactionCommand { request_id, request }) = next {
            let ForwardedRequest { job, floor, .. } = request;
            if job.body == StatementBody::Commit {
                let reply = open.commit(&self.engine, &job, floor).await;
                self.replies.reply(request_id, reply).await;
                return self.reject_queued().await;
            }
            let reply = open.run(&self.engine, &job, floor).await;
            self.guard.record_reply(&reply);
            let is_open = reply.state != TransactionState::Failed;
            if !is_open {
                // The rollback precedes the reply, so that it does not depend on the origin.
                open.abandon();
                self.replies.reply(request_id, reply).await;
                return self.reject_queued().await;
            }
            self.replies.reply(request_id, reply).await;
            next = self.next_command().await;
        }
        open.abandon();
        self.reject_queued().await;
    }

    /// Returns the next statement; `None` if the transaction has to be rolled back: by request or
    /// because the origin's connection ended, after the idle timeout, or because this instance is
    /// about to end.
    async fn next_command(&mut self) -> Option<TransactionCommand> {
        let mut drain = self.engine.watch_drain();
        let idle_timeout = self.engine.transaction_idle() + IDLE_MARGIN;
        let reason = tokio::select! {
            biased;
            command = self.commands.recv() => match command {
                Some(command) => return Some(command),
                None => "origin",
            },
            () = tokio::time::sleep(idle_timeout) => "idle",
            _ = drain.wait_for(|phase| *phase >= DrainPhase::Closing) => "draining",
        };
        log::info!(
            reason = reason, outcome = "rolled_back"; "a transaction of an origin was rolled back"
        );
        None
    }

    /// Responds to statements that arrived while the transaction ended.
    async fn reject_queued(mut self) {
        self.commands.close();
        while let Some(command) = self.commands.recv().await {
            self.replies.reply(command.request_id, rolled_back()).await;
        }
    }
}
