//! Client socket of a session: decodes messages and coalesces writes.

use crate::group::member::GroupMember;
use bytes::BytesMut;
use pgwire::messages::{DecodeContext, PgWireFrontendMessage, ProtocolVersion};
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Minimum free space in the input buffer for each read, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Size at which buffered output is written although more follows, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Connection of a client.
#[derive(Debug)]
pub(crate) struct ClientStream {
    member: Arc<GroupMember>,
    stream: TcpStream,
    input: BytesMut,
    /// Encoded messages that are not written yet.
    pub(crate) output: BytesMut,
    context: DecodeContext,
    run_token: CancellationToken,
}

impl ClientStream {
    /// Wraps a newly accepted connection.
    pub(crate) fn new(
        member: Arc<GroupMember>,
        stream: TcpStream,
        run_token: CancellationToken,
    ) -> Self {
        Self {
            member,
            run_token,
            stream,
            input: BytesMut::with_capacity(READ_BYTES),
            output: BytesMut::with_capacity(READ_BYTES),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Switches the decoder from encryption negotiation to the startup message.
    pub(crate) fn end_negotiation(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Switches the decoder from the startup message to regular messages.
    pub(crate) fn end_startup(&mut self) {
        self.context.awaiting_frontend_startup = false;
    }

    /// Reads the next message; `None` if the client closed the connection.
    pub(crate) async fn next_message(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let decoded = PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
            if decoded.is_some() {
                return Ok(decoded);
            }
            if !self.read_more().await? {
                return Ok(None);
            }
        }
    }

    /// Returns the type byte of the next message without consuming the message.
    pub(crate) async fn peek_type(&mut self) -> io::Result<Option<u8>> {
        while self.input.is_empty() {
            if !self.read_more().await? {
                return Ok(None);
            }
        }
        Ok(self.input.first().copied())
    }

    /// Writes the buffered output, then reads; false if the client closed the connection.
    async fn read_more(&mut self) -> io::Result<bool> {
        self.flush().await?;
        self.input.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.input).await? > 0)
    }

    /// Writes the buffered output. A frozen member writes nothing until it is thawed.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.member.wait_thawed().await;
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    /// Writes the buffered output if it has reached `WRITE_BYTES`.
    pub(crate) async fn flush_large(&mut self) -> io::Result<()> {
        if self.output.len() >= WRITE_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Flushes the output and closes the connection.
    pub(crate) async fn close(&mut self) {
        // The client may have closed the connection already, so errors are ignored.
        let _ = self.flush().await;
        let _ = self.stream.shutdown().await;
    }
}

impl Drop for ClientStream {
    /// Resets the connection if the member was killed, as a failed process or machine does.
    fn drop(&mut self) {
        if self.run_token.is_cancelled() {
            // This fails only if the socket is already closed.
            let _ = self.stream.set_zero_linger();
        }
    }
}
