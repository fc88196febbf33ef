//! Holders that follow a script.

use crate::forwarding::frame::{FrameDecoder, LinkActivity, length_codec, preamble};
use crate::forwarding::wire::{DeclineReason, HolderFrame, OriginFrame};
use crate::statement::{StatementError, StatementOutcome, StatementReply, TransactionState};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};

/// How a scripted holder treats the requests on its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HolderScript {
    /// Closes the connection once it has received a request.
    CloseOnRequest,
    /// Responds to the first request of a transaction and closes the connection at the next.
    CloseOnSecond,
    /// Responds to nothing, not even to pings.
    Silent,
    /// Responds to the first request and not to the next.
    SilentOnSecond,
    /// Responds twice to each request, and to a request that was never made.
    Repeat,
    /// Declines each request as overloaded.
    Decline,
    /// Responds to each request that it was not run, as after a wait for a connection.
    Busy,
    /// Responds with bytes that are no message.
    Garbage,
    /// States another version.
    OtherVersion,
    /// Reads without ever responding, as an older build does.
    OlderBuild,
}

/// A holder that follows a script.
pub(super) struct ScriptedHolder {
    pub(super) address: SocketAddr,
    /// Number of requests that it received.
    pub(super) requests: Arc<Mutex<usize>>,
}

impl ScriptedHolder {
    pub(super) async fn start(script: HolderScript) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(Mutex::new(0));
        let count = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(follow_script(script, stream, Arc::clone(&count)));
            }
        });
        Self { address, requests }
    }

    pub(super) fn request_count(&self) -> usize {
        *self.requests.lock().expect("no holder panics")
    }
}

async fn follow_script(script: HolderScript, mut stream: TcpStream, count: Arc<Mutex<usize>>) {
    let mut preamble_bytes = preamble();
    stream.read_exact(&mut preamble_bytes).await.expect("a preamble");
    if script == HolderScript::OlderBuild {
        let _ = stream.read_to_end(&mut Vec::new()).await;
        return;
    }
    if script == HolderScript::OtherVersion {
        preamble_bytes[2] += 1;
    }
    stream.write_all(&preamble_bytes).await.expect("a connection");
    let (reader, writer) = stream.into_split();
    let decoder = FrameDecoder::<OriginFrame>::new(LinkActivity::new());
    let mut frames = FramedRead::new(reader, decoder);
    let mut writer = FramedWrite::new(writer, length_codec());
    let mut received = 0;
    while let Some(Ok((frame, _))) = frames.next().await {
        let request = match frame {
            OriginFrame::Statement(request) | OriginFrame::Transaction { request, .. } => request,
            OriginFrame::RollBack { .. } => continue,
            OriginFrame::Ping => {
                let is_silent = script == HolderScript::Silent
                    || (script == HolderScript::SilentOnSecond && received > 1);
                if !is_silent {
                    send(&mut writer, &HolderFrame::Pong).await;
                }
                continue;
            }
        };
        *count.lock().expect("no holder panics") += 1;
        received += 1;
        let request_id = request.request_id;
        let reply = |request_id| {
            let outcome = StatementOutcome::Done("scripted".to_owned());
            let state = TransactionState::Open;
            let reply = StatementReply { rows: Vec::new(), outcome, state, position: None };
            HolderFrame::Reply { request_id, reply: reply.into() }
        };
        match script {
            HolderScript::CloseOnRequest => return,
            HolderScript::CloseOnSecond | HolderScript::SilentOnSecond if received == 1 => {
                send(&mut writer, &reply(request_id)).await;
            }
            HolderScript::CloseOnSecond => return,
            HolderScript::Repeat => {
                send(&mut writer, &reply(request_id + 1000)).await;
                send(&mut writer, &reply(request_id)).await;
                send(&mut writer, &reply(request_id)).await;
            }
            HolderScript::Decline => {
                let reason = DeclineReason::Overloaded;
                send(&mut writer, &HolderFrame::Declined { request_id, reason }).await;
            }
            HolderScript::Busy => {
                let text = "not run, retry after 100 ms: all connections are in use";
                let reply =
                    StatementReply::refusal(StatementError::Busy, text, TransactionState::Idle);
                send(&mut writer, &HolderFrame::Reply { request_id, reply: reply.into() }).await;
            }
            HolderScript::Garbage => {
                writer.send(Bytes::from_static(&[0xEE; 40])).await.expect("a connection");
            }
            _ => {}
        }
    }
}

async fn send<W: tokio::io::AsyncWrite + Unpin>(
    writer: &mut FramedWrite<W, tokio_util::codec::LengthDelimitedCodec>,
    frame: &HolderFrame,
) {
    let bytes = postcard::to_stdvec(frame).expect("a message");
    // The origin may have closed the connection.
    let _ = writer.send(Bytes::from(bytes)).await;
}
