//! The holder's side of a forwarding connection: runs the requests of one origin.

use super::frame::{
    ConnectionEnd, FrameDecoder, LinkActivity, WIRE_VERSION, encode_to_origin, length_codec,
    preamble,
};
use super::held::{HeldTransactions, TransactionCommand};
use super::wire::{
    DeclineReason, ForwardedRequest, HolderFrame, OriginFrame, WireBegin, WireRequest,
};
use super::workload::WorkGuard;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::identity::DrainPhase;
use crate::session::is_strict;
use crate::statement::{StatementReply, TransactionState};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use rudder_core::ByteSize;
use rudder_decisions::{MemoryBudget, MemoryReservation};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};

/// Timeout for the rest of the preamble.
const PREAMBLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after which a connection without messages is closed: longer than the idle timeout of the
/// origin, which sends pings while requests are pending.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(45);

/// Timeout for sending one message; the largest one takes 4 s on a slow link. Replies that an origin
/// does not read would otherwise fill the memory.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of a reply that does not count against the budget, several times its usual size.
const REPLY_EXEMPT: ByteSize = ByteSize(16 * 1024);

/// Copies of a reply: its rows and its encoded form.
const REPLY_COPIES: usize = 2;

/// Maximum number of replies that wait to be written. Requests wait beyond it.
const REPLY_QUEUE_MAX: usize = 64;

/// Where the results of an origin's requests are sent.
#[derive(Clone)]
pub(super) struct ReplySender {
    peer: SocketAddr,
    frames: mpsc::Sender<QueuedReply>,
    memory: Arc<MemoryBudget>,
}

/// A message in the queue for writing, and the memory that it occupies.
struct QueuedReply {
    bytes: Bytes,
    _memory: MemoryReservation,
}

impl ReplySender {
    pub(super) async fn reply(&self, request_id: u64, reply: StatementReply) {
        let mut memory = self.memory.reservation(REPLY_EXEMPT);
        let size = ByteSize((REPLY_COPIES * reply.rows_size()) as u64);
        let frame = match memory.resize(size) {
            Ok(()) => HolderFrame::Reply { request_id, reply: reply.into() },
            Err(_) => HolderFrame::Undeliverable { request_id },
        };
        let bytes = encode_to_origin(&frame)
            .or_else(|| encode_to_origin(&HolderFrame::Undeliverable { request_id }));
        drop(frame);
        self.send_reserved(request_id, bytes, memory).await;
    }

    async fn decline(&self, request_id: u64, id: &str, reason: DeclineReason) {
        metrics::counter!("rudder_forward_declined_total", "reason" => reason.to_string())
            .increment(1);
        log::info!(
            request = id, origin:% = self.peer, reason:% = reason, outcome = "declined";
            "a forwarded request was declined"
        );
        let frame = HolderFrame::Declined { request_id, reason };
        self.send(request_id, encode_to_origin(&frame)).await;
    }

    async fn send(&self, request_id: u64, bytes: Option<Bytes>) {
        self.send_reserved(request_id, bytes, self.memory.reservation(REPLY_EXEMPT)).await;
    }

    async fn send_reserved(
        &self,
        request_id: u64,
        bytes: Option<Bytes>,
        memory: MemoryReservation,
    ) {
        let Some(bytes) = bytes else { return };
        if self.frames.send(QueuedReply { bytes, _memory: memory }).await.is_err() {
            log::info!(
                origin:% = self.peer, number = request_id, reason = "connection_ended";
                "the result of a forwarded request was not sent"
            );
        }
    }
}

/// Serves a forwarding connection whose mark has been read.
pub(crate) async fn serve_forwarding(
    engine: Arc<ProxyEngine>,
    mut stream: TcpStream,
    peer: SocketAddr,
) {
    let end = match agree_on_version(&mut stream).await {
        Ok(()) => serve_frames(&engine, stream, peer).await,
        Err(end) => end,
    };
    if matches!(end, ConnectionEnd::Malformed | ConnectionEnd::Repeated | ConnectionEnd::Version) {
        super::count_rejected_frame(end);
    }
    log::info!(origin:% = peer, reason:% = end; "a connection of an origin ended");
}

async fn agree_on_version(stream: &mut TcpStream) -> Result<(), ConnectionEnd> {
    stream.set_nodelay(true)?;
    let version = tokio::time::timeout(PREAMBLE_TIMEOUT, stream.read_u8());
    let version = version.await.map_err(|_| ConnectionEnd::Silent)??;
    stream.write_all(&preamble()).await?;
    if version == WIRE_VERSION { Ok(()) } else { Err(ConnectionEnd::Version) }
}

async fn serve_frames(
    engine: &Arc<ProxyEngine>,
    stream: TcpStream,
    peer: SocketAddr,
) -> ConnectionEnd {
    engine.forwarding().suspension().start();
    let (reader, writer) = stream.into_split();
    let (sender, frames) = mpsc::channel(REPLY_QUEUE_MAX);
    let origin = OriginConnection {
        engine: Arc::clone(engine),
        replies: ReplySender {
            peer,
            frames: sender,
            memory: Arc::clone(engine.caller_memory().replies()),
        },
        transactions: HeldTransactions::default(),
        last_request_id: 0,
    };
    // The transactions of the origin are rolled back when `origin` is dropped.
    tokio::select! {
        end = origin.receive(reader) => end,
        end = transmit(writer, frames) => end,
    }
}

async fn transmit(
    writer: OwnedWriteHalf,
    mut frames: mpsc::Receiver<QueuedReply>,
) -> ConnectionEnd {
    let mut writer = FramedWrite::new(writer, length_codec());
    while let Some(reply) = frames.recv().await {
        match tokio::time::timeout(SEND_TIMEOUT, writer.send(reply.bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return ConnectionEnd::Silent,
        }
    }
    ConnectionEnd::Closed
}

/// Connection of one origin.
struct OriginConnection {
    engine: Arc<ProxyEngine>,
    replies: ReplySender,
    transactions: HeldTransactions,
    last_request_id: u64,
}

impl OriginConnection {
    async fn receive(mut self, reader: OwnedReadHalf) -> ConnectionEnd {
        let decoder = FrameDecoder::<OriginFrame>::new(LinkActivity::new());
        let mut frames = FramedRead::new(reader, decoder);
        loop {
            let next = tokio::time::timeout(RECEIVE_TIMEOUT, frames.next()).await;
            let (frame, size) = match next {
                Err(_) => return ConnectionEnd::Silent,
                Ok(None) => return ConnectionEnd::Closed,
                Ok(Some(Err(error))) => return error.into(),
                Ok(Some(Ok(received))) => received,
            };
            let result = match frame {
                OriginFrame::Ping => {
                    self.replies.send(0, encode_to_origin(&HolderFrame::Pong)).await;
                    Ok(())
                }
                OriginFrame::RollBack { transaction } => {
                    self.transactions.roll_back(transaction);
                    Ok(())
                }
                OriginFrame::Statement(request) => self.run_statement(request, size).await,
                OriginFrame::Transaction { transaction, begin, request } => {
                    self.run_in_transaction(transaction, begin, request, size).await
                }
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// A number that is not greater than the one before would let one request's result be taken for
    /// another's. No response can be given to it, so the connection is closed.
    fn check_request_id(&mut self, request_id: u64) -> Result<(), ConnectionEnd> {
        if request_id <= self.last_request_id {
            return Err(ConnectionEnd::Repeated);
        }
        self.last_request_id = request_id;
        Ok(())
    }

    async fn run_statement(
        &mut self,
        request: WireRequest,
        size: usize,
    ) -> Result<(), ConnectionEnd> {
        let request_id = request.request_id;
        self.check_request_id(request_id)?;
        let id = request.id.clone();
        let (request, mut guard) = match self.admit(request, size) {
            Ok(admitted) => admitted,
            Err(reason) => {
                self.replies.decline(request_id, &id, reason).await;
                return Ok(());
            }
        };
        let (engine, replies) = (Arc::clone(&self.engine), self.replies.clone());
        tokio::spawn(async move {
            let ForwardedRequest { access, job, floor } = request;
            let reply = engine.run_local(&access.route, &job, floor).await;
            guard.record_reply(&reply);
            replies.reply(request_id, reply).await;
            drop(guard);
        });
        Ok(())
    }

    async fn run_in_transaction(
        &mut self,
        transaction: u64,
        begin: Option<WireBegin>,
        request: WireRequest,
        size: usize,
    ) -> Result<(), ConnectionEnd> {
        let request_id = request.request_id;
        self.check_request_id(request_id)?;
        let id = request.id.clone();
        let Some(begin) = begin else {
            return match self.check_age().and_then(|()| ForwardedRequest::try_from(request)) {
                Ok(request) => {
                    let command = TransactionCommand { request_id, request };
                    self.transactions.run(transaction, command, &self.replies).await
                }
                // A statement that is not run aborts the transaction like any other error.
                Err(reason) => {
                    self.transactions.roll_back(transaction);
                    self.replies.decline(request_id, &id, reason).await;
                    Ok(())
                }
            };
        };
        match self.admit(request, size) {
            Ok((request, guard)) => {
                let command = TransactionCommand { request_id, request };
                let engine = Arc::clone(&self.engine);
                self.transactions.begin(
                    engine,
                    transaction,
                    begin.read_only,
                    command,
                    self.replies.clone(),
                    guard,
                )
            }
            Err(reason) => {
                self.replies.decline(request_id, &id, reason).await;
                Ok(())
            }
        }
    }

    /// Rejects requests that may have been given up while this process did not run.
    fn check_age(&self) -> Result<(), DeclineReason> {
        match self.engine.forwarding().suspension().may_have_waited(Instant::now()) {
            true => Err(DeclineReason::Expired),
            false => Ok(()),
        }
    }

    /// Checks whether this instance runs new work of an origin now.
    fn admit(
        &self,
        request: WireRequest,
        size: usize,
    ) -> Result<(ForwardedRequest, WorkGuard), DeclineReason> {
        if self.engine.drain_phase() != DrainPhase::Serving {
            return Err(DeclineReason::Draining);
        }
        self.check_age()?;
        let request = ForwardedRequest::try_from(request)?;
        self.check_known(&request.access)?;
        let strict = is_strict(&request.access.route, request.job.effect);
        let guard = self.engine.admit_forwarded(
            &request.access.route.service,
            strict,
            request.job.wait_remaining(),
            size,
        )?;
        Ok((request, guard))
    }

    /// Accounts and services that this instance does not know yet are left to the origin: members
    /// would be dialed for accounts that the settings may never have had.
    fn check_known(&self, access: &RouteAccess) -> Result<(), DeclineReason> {
        let settings = self.engine.settings();
        let accounts = settings.as_ref().and_then(|settings| settings.accounts.as_ref());
        if let Some(account) = &access.account
            && !accounts.is_some_and(|accounts| accounts.contains(account))
        {
            return Err(DeclineReason::UnknownAccount);
        }
        let groups = self.engine.groups();
        let found = groups.binary_search_by(|group| group.service().cmp(&access.route.service));
        match found {
            Ok(index) if !groups[index].members().is_empty() => Ok(()),
            Ok(_) | Err(_) => Err(DeclineReason::UnknownService),
        }
    }
}

/// Returns the reply to a statement of a transaction that this instance has rolled back.
pub(super) fn rolled_back() -> StatementReply {
    let text = "not run, the transaction was rolled back; nothing of it is kept";
    let error = crate::statement::StatementError::Aborted;
    StatementReply::refusal(error, text, TransactionState::Failed)
}
