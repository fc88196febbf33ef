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
        message.put_u8(b'Q');
        message.put_i32(i32::try_from(statement.len() + 5).unwrap_or(i32::MAX));
        message.put_slice(statement.as_bytes());
        message.put_u8(0);
        message
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
