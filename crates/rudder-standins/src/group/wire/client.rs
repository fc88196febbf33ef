//! The socket of a session: messages in, coalesced writes out.

use crate::group::member::GroupMember;
use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;

/// Output is written once it reaches this size, though more follows.
const WRITE_BYTES: usize = 64 << 10;

/// A client's connection.
#[derive(Debug)]
pub(crate) struct ClientStream {
    member: Arc<GroupMember>,
    stream: TcpStream,
    input: BytesMut,
    /// What waits to be written.
    pub(crate) output: BytesMut,
    context: DecodeContext,
    life: CancellationToken,
}

impl ClientStream {
    /// A fresh connection of a member.
    pub(crate) fn new(
        member: Arc<GroupMember>,
        stream: TcpStream,
        life: CancellationToken,
    ) -> Self {
        Self {
            member,
            life,
            stream,
            input: BytesMut::with_capacity(READ_BYTES),
            output: BytesMut::with_capacity(READ_BYTES),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Tells the decoder that encryption has been settled.
    pub(crate) fn end_negotiation(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Tells the decoder that ordinary messages follow.
    pub(crate) fn end_startup(&mut self) {
        self.context.awaiting_frontend_startup = false;
    }

    /// The next message; `None` when the client closed the connection.
    pub(crate) async fn next_message(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let decoded = PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
            if decoded.is_some() {
                return Ok(decoded);
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// The type byte of the next message, without taking it.
    pub(crate) async fn peek_type(&mut self) -> io::Result<Option<u8>> {
        while self.input.is_empty() {
            if !self.fill().await? {
                return Ok(None);
            }
        }
        Ok(self.input.first().copied())
    }

    /// Writes what waits, then reads; false when the client closed the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        self.flush().await?;
        self.input.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.input).await? > 0)
    }

    /// Writes what waits. A frozen member writes nothing until it is thawed.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.member.wait_thawed().await;
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    /// Writes what waits if it is much.
    pub(crate) async fn flush_large(&mut self) -> io::Result<()> {
        if self.output.len() >= WRITE_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Closes the connection in the ordinary way.
    pub(crate) async fn close(&mut self) {
        // The client may be gone already, which is no matter for the member.
        let _ = self.flush().await;
        let _ = self.stream.shutdown().await;
    }
}

impl Drop for ClientStream {
    /// A killed member's connections end by a reset, as when its process or machine fails.
    fn drop(&mut self) {
        if self.life.is_cancelled() {
            // A socket that is closed already needs no reset.
            let _ = self.stream.set_zero_linger();
        }
    }
}
