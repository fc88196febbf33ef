//! Clients of the line protocol that send what and how they like, and an ordinary one.

use super::traffic::{AttemptResult, OrdinarySession};
use rudder_standins::LineClient;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Database of the abusive clients and of the ordinary callers.
pub(crate) const DATABASE: &str = "db-bounded";

/// Maximum length of a message.
pub(crate) const MESSAGE_MAX: usize = 1 << 20;

/// Size of the pieces of a message that is not sent at once.
pub(crate) const PIECE: usize = 4096;

/// Bytes that a message needs besides its filling.
const MESSAGE_MARGIN: usize = 64;

/// Receive buffer of a client that does not read, so that its answers fill it soon.
const SMALL_RECEIVE_BUFFER: u32 = 4096;

/// Time after which an ordinary client gives up on `STARTUP`.
const STARTUP_LIMIT: Duration = Duration::from_secs(2);

/// Returns a text of letters that fills a message just up to its maximum.
pub(crate) fn filling() -> String {
    filling_of(MESSAGE_MAX - MESSAGE_MARGIN)
}

pub(crate) fn filling_of(bytes: usize) -> String {
    "x".repeat(bytes)
}

/// Connection whose errors end its client: a process that refuses it may close it at any time.
pub(crate) struct RawLines(TcpStream);

impl RawLines {
    pub(crate) async fn open(address: SocketAddr) -> Option<Self> {
        TcpStream::connect(address).await.ok().map(Self)
    }

    /// Opens a connection with a small receive buffer.
    pub(crate) async fn open_unread(address: SocketAddr) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
        socket.connect(address).await.ok().map(Self)
    }

    /// Opens a session.
    pub(crate) async fn start(address: SocketAddr) -> Option<Self> {
        Self::open(address).await?.started().await
    }

    /// Opens a session with a small receive buffer.
    pub(crate) async fn start_unread(address: SocketAddr) -> Option<Self> {
        Self::open_unread(address).await?.started().await
    }

    async fn started(mut self) -> Option<Self> {
        self.send(&format!("STARTUP {DATABASE} abusive\r\n")).await?;
        self.read_until("READY").await?;
        Some(self)
    }

    pub(crate) async fn send(&mut self, text: &str) -> Option<()> {
        self.0.write_all(text.as_bytes()).await.ok()
    }

    /// Sends a text in pieces, with a pause after each.
    pub(crate) async fn send_in_pieces(
        &mut self,
        text: &str,
        piece: usize,
        pause: Duration,
    ) -> Option<()> {
        for part in text.as_bytes().chunks(piece) {
            self.0.write_all(part).await.ok()?;
            tokio::time::sleep(pause).await;
        }
        Some(())
    }

    /// Sends a query and reads its whole answer.
    pub(crate) async fn query(&mut self, text: &str) -> Option<()> {
        self.send(&format!("QUERY q {text}\r\n")).await?;
        self.read_until("READY").await
    }

    /// Reads until a line that begins with `word` has ended.
    pub(crate) async fn read_until(&mut self, word: &str) -> Option<()> {
        let mut line: Vec<u8> = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = self.0.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
            for byte in &buffer[..count] {
                if *byte != b'\n' {
                    // Only the start of a line is compared.
                    if line.len() < word.len() {
                        line.push(*byte);
                    }
                } else if line == word.as_bytes() {
                    return Some(());
                } else {
                    line.clear();
                }
            }
        }
    }

    /// Reads a byte.
    pub(crate) async fn read_byte(&mut self) -> Option<u8> {
        self.0.read_u8().await.ok()
    }

    /// Reads and drops all that comes until the connection is closed.
    pub(crate) async fn read_to_end(&mut self) -> Option<()> {
        let mut buffer = vec![0; 64 * 1024];
        while self.0.read(&mut buffer).await.ok()? > 0 {}
        Some(())
    }
}

/// Session of an ordinary caller.
pub(crate) struct LineSession(LineClient);

impl OrdinarySession for LineSession {
    type Target = SocketAddr;

    async fn open(target: &SocketAddr) -> Option<Self> {
        let startup = format!("{DATABASE} ordinary");
        let connect = LineClient::connect(*target, &startup);
        let (client, line) = tokio::time::timeout(STARTUP_LIMIT, connect).await.ok()?.ok()?;
        line.starts_with("READY").then_some(Self(client))
    }

    async fn request(&mut self, number: u64, is_write: bool) -> AttemptResult {
        let id = format!("ordinary{number}");
        let item = number % 64;
        let text = if is_write {
            format!("WRITE item{item} {number}")
        } else {
            format!("READ item{item}")
        };
        match self.0.query(&id, &text).await {
            Ok(reply) if reply.is_done() => AttemptResult::Served,
            Ok(reply) => match reply.code() {
                "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "CONNLIMIT" => {
                    AttemptResult::NotRun
                }
                _ => AttemptResult::Lost,
            },
            Err(_) => AttemptResult::Lost,
        }
    }
}
