//! A PostgreSQL client with minimal overhead, so that the load generator does not distort the
//! figures.

use bytes::{Buf, BufMut, BytesMut};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Version 3.0 of the wire protocol, as encoded in the startup message.
const PROTOCOL_VERSION: i32 = 196_608;

/// Size of a message's type byte and length field.
const HEADER_BYTES: usize = 5;

/// Space reserved in the input buffer for each read.
const READ_BYTES: usize = 16 << 10;

/// Name of the prepared statement, with its terminating zero byte.
const PREPARED_NAME: &[u8] = b"point\0";

/// Name of the unnamed portal, followed by the name of the prepared statement.
const BIND_NAMES: &[u8] = b"\0point\0";

/// Server address and login parameters of a connection.
#[derive(Clone, Debug)]
pub(crate) struct BenchTarget {
    pub(crate) address: SocketAddr,
    pub(crate) database: String,
    pub(crate) user: String,
}

/// A connection to a member or a proxy.
#[derive(Debug)]
pub(crate) struct BenchClient {
    stream: TcpStream,
    input: BytesMut,
}

impl BenchClient {
    /// Connects and logs in. Password authentication is not supported.
    pub(crate) async fn connect(target: &BenchTarget) -> io::Result<Self> {
        let stream = TcpStream::connect(target.address).await?;
        stream.set_nodelay(true)?;
        let mut client = Self { stream, input: BytesMut::with_capacity(READ_BYTES) };
        let mut startup = BytesMut::new();
        startup.put_i32(0);
        startup.put_i32(PROTOCOL_VERSION);
        for text in ["user", &target.user, "database", &target.database, ""] {
            startup.put_slice(text.as_bytes());
            startup.put_u8(0);
        }
        let length = i32::try_from(startup.len()).unwrap_or(i32::MAX);
        startup[..4].copy_from_slice(&length.to_be_bytes());
        client.exchange(&startup).await?;
        Ok(client)
    }

    /// Returns the message that runs `statement` by the simple query protocol.
    pub(crate) fn query_message(statement: &str) -> BytesMut {
        let mut message = BytesMut::new();
        put_message(b'Q', &[statement.as_bytes(), &[0]].concat(), &mut message);
        message
    }

    /// Returns the messages that run the prepared statement with one parameter in text format.
    pub(crate) fn execute_messages(parameter: &str) -> BytesMut {
        let mut bind = BytesMut::new();
        bind.put_slice(BIND_NAMES);
        bind.put_slice(&[0, 0, 0, 1]);
        bind.put_i32(i32::try_from(parameter.len()).unwrap_or(i32::MAX));
        bind.put_slice(parameter.as_bytes());
        bind.put_slice(&[0, 0]);
        let mut message = BytesMut::new();
        put_message(b'B', &bind, &mut message);
        put_message(b'E', &[0, 0, 0, 0, 0], &mut message);
        put_message(b'S', &[], &mut message);
        message
    }

    /// Prepares the statement that [`Self::execute_messages`] runs.
    pub(crate) async fn prepare(&mut self, statement: &str) -> io::Result<()> {
        let mut parse = BytesMut::from(PREPARED_NAME);
        parse.put_slice(statement.as_bytes());
        parse.put_slice(&[0, 0, 0]);
        let mut message = BytesMut::new();
        put_message(b'P', &parse, &mut message);
        put_message(b'S', &[], &mut message);
        self.exchange(&message).await
    }

    /// Runs `statement` by the simple query protocol.
    pub(crate) async fn run(&mut self, statement: &str) -> io::Result<()> {
        self.exchange(&Self::query_message(statement)).await
    }

    /// Sends `message` and reads its response up to `ReadyForQuery`, or returns the server's error.
    pub(crate) async fn exchange(&mut self, message: &[u8]) -> io::Result<()> {
        self.stream.write_all(message).await?;
        let mut failure = None;
        loop {
            while let Some((kind, length)) = self.complete_message() {
                if kind == b'E' {
                    let body = &self.input[HEADER_BYTES..length];
                    failure = Some(String::from_utf8_lossy(body).replace('\0', " "));
                }
                if kind == b'R' && self.input[HEADER_BYTES..HEADER_BYTES + 4] != [0; 4] {
                    return Err(io::Error::other(
                        "the server requires password authentication, which is not supported",
                    ));
                }
                self.input.advance(length);
                if kind == b'Z' {
                    return failure.map_or(Ok(()), |failure| Err(io::Error::other(failure)));
                }
            }
            self.input.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                let failure =
                    failure.unwrap_or_else(|| "the server closed the connection".to_owned());
                return Err(io::Error::other(failure));
            }
        }
    }

    /// Returns the type and the full length of the next message if it is buffered completely.
    fn complete_message(&self) -> Option<(u8, usize)> {
        let header = self.input.get(..HEADER_BYTES)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize + 1;
        if self.input.len() < length { None } else { Some((header[0], length)) }
    }
}

/// Appends a message with type byte `kind` and the given body to `out`.
fn put_message(kind: u8, body: &[u8], out: &mut BytesMut) {
    /// Size of the length field, which is included in the length.
    const LENGTH_BYTES: usize = 4;
    out.put_u8(kind);
    out.put_i32(i32::try_from(body.len() + LENGTH_BYTES).unwrap_or(i32::MAX));
    out.put_slice(body);
}
