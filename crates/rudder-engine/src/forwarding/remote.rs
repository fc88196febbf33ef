//! The origin's side of a transaction that runs at a holder.

use super::choice::HolderTarget;
use super::client::{ForwardingClient, reply_limit};
use super::connection::HolderConnection;
use super::result::{ForwardFault, ForwardResult};
use super::wire::{OriginFrame, WireBegin, WireRequest};
use crate::engine::RouteAccess;
use crate::session::StatementJob;
use crate::statement::{StatementBody, StatementEffect, TransactionState};
use rudder_core::{InstanceName, LogStamp};
use std::sync::Arc;

/// A transaction at a holder. Dropping it before its end rolls it back there.
pub(crate) struct RemoteTransaction {
    connection: Arc<HolderConnection>,
    holder: InstanceName,
    number: u64,
    /// How the transaction begins; `None` once its first statement was sent.
    begin: Option<WireBegin>,
    /// Whether the holder may still have the transaction open.
    may_be_open: bool,
    wrote: bool,
}

impl RemoteTransaction {
    /// Prepares a transaction at a holder. It begins there with its first statement.
    pub(super) fn open(
        client: &ForwardingClient,
        holder: &HolderTarget,
        read_only: bool,
    ) -> Result<Self, ForwardFault> {
        let connection = client.connection(holder)?;
        let number = connection.begin_transaction();
        let begin = Some(WireBegin { read_only });
        let holder = holder.instance.clone();
        Ok(Self { connection, holder, number, begin, may_be_open: false, wrote: false })
    }

    /// Returns the holder.
    pub(crate) fn holder(&self) -> &InstanceName {
        &self.holder
    }

    /// Whether the loss of a job leaves its outcome unknown; the loss of any other rolls back.
    pub(super) fn leaves_doubt(&self, job: &StatementJob) -> bool {
        self.wrote && job.body == StatementBody::Commit
    }

    /// Runs a statement or the commit of the transaction.
    pub(crate) async fn run(
        &mut self,
        access: &RouteAccess,
        job: &StatementJob,
        floor: Option<LogStamp>,
    ) -> ForwardResult {
        let (transaction, begin) = (self.number, self.begin.take());
        self.may_be_open = true;
        self.wrote |= job.effect == StatementEffect::Write;
        let message = |request_id| {
            let request = WireRequest::new(request_id, access, job, floor);
            OriginFrame::Transaction { transaction, begin, request }
        };
        let result = self.connection.request(message, reply_limit(job)).await;
        self.may_be_open = match &result {
            ForwardResult::Reply(reply) => {
                reply.state == TransactionState::Open && job.body != StatementBody::Commit
            }
            ForwardResult::Declined(_) => false,
            ForwardResult::NotSent(_) => begin.is_none(),
            ForwardResult::Lost(_) => true,
        };
        result
    }
}

impl Drop for RemoteTransaction {
    fn drop(&mut self) {
        self.connection.end_transaction(self.number, self.may_be_open);
    }
}
