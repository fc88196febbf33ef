//! A client of the simple query protocol that costs as little as possible.

use bytes::{Buf, BufMut, BytesMut};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Protocol 3.0, as the startup message gives it.
const PROTOCOL_VERSION: i32 = 196_608;

/// A message's type byte and length.
const HEADER_BYTES: usize = 5;

/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;

/// The prepared statement's name with its end.
const PREPARED_NAME: &[u8] = b"point\0";

/// The unnamed portal, then the prepared statement's name.
const PREPARED_NAME_PAIR: &[u8] = b"\0point\0";

/// Whom to connect to, and as whom.
#[derive(Clone, Debug)]
pub(crate) struct BenchTarget {
    pub(crate) address: SocketAddr,
    pub(crate) database: String,
    pub(crate) user: String,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct BenchClient {
    stream: TcpStream,
    input: BytesMut,
}

impl BenchClient {
    /// Connects and logs in; the server must trust the user.
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
        client.ask(&startup).await?;
        Ok(client)
    }

    /// The message for a statement.
    pub(crate) fn request(statement: &str) -> BytesMut {
        let mut message = BytesMut::new();
        put_message(b'Q', &[statement.as_bytes(), &[0]].concat(), &mut message);
        message
    }

    /// The message that executes the prepared statement with one parameter, as text.
    pub(crate) fn execution(parameter: &str) -> BytesMut {
        let mut bind = BytesMut::new();
        bind.put_slice(PREPARED_NAME_PAIR);
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

    /// Prepares the statement that executions run.
    pub(crate) async fn prepare(&mut self, statement: &str) -> io::Result<()> {
        let mut parse = BytesMut::from(PREPARED_NAME);
        parse.put_slice(statement.as_bytes());
        parse.put_slice(&[0, 0, 0]);
        let mut message = BytesMut::new();
        put_message(b'P', &parse, &mut message);
        put_message(b'S', &[], &mut message);
        self.ask(&message).await
    }

    /// Runs a statement.
    pub(crate) async fn run(&mut self, statement: &str) -> io::Result<()> {
        self.ask(&Self::request(statement)).await
    }

    /// Sends a message and reads up to the end of its answer.
    pub(crate) async fn ask(&mut self, message: &[u8]) -> io::Result<()> {
        self.stream.write_all(message).await?;
        let mut failure = None;
        loop {
            while let Some((kind, length)) = self.complete_message() {
                if kind == b'E' {
                    let body = &self.input[HEADER_BYTES..length];
                    failure = Some(String::from_utf8_lossy(body).replace('\0', " "));
                }
                if kind == b'R' && self.input[HEADER_BYTES..HEADER_BYTES + 4] != [0; 4] {
                    return Err(io::Error::other("the server asks for a password"));
                }
                self.input.advance(length);
                if kind == b'Z' {
                    return failure.map_or(Ok(()), |failure| Err(io::Error::other(failure)));
                }
            }
            self.input.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                let failure = failure.unwrap_or_else(|| "the server closed".to_owned());
                return Err(io::Error::other(failure));
            }
        }
    }

    /// Type and full length of the next message, if all of it is here.
    fn complete_message(&self) -> Option<(u8, usize)> {
        let header = self.input.get(..HEADER_BYTES)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize + 1;
        if self.input.len() < length { None } else { Some((header[0], length)) }
    }
}

/// Appends a message of a type and a body.
fn put_message(kind: u8, body: &[u8], out: &mut BytesMut) {
    /// The length counts itself.
    const LENGTH_BYTES: usize = 4;
    out.put_u8(kind);
    out.put_i32(i32::try_from(body.len() + LENGTH_BYTES).unwrap_or(i32::MAX));
    out.put_slice(body);
}
