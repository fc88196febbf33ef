//! Clients of the PostgreSQL protocol that send what and how they like, and an ordinary one.

use super::traffic::{AttemptResult, OrdinarySession};
use bytes::BytesMut;
use postgres_protocol::message::frontend;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio_postgres::{Client, NoTls};

const USER: &str = "copyist";
const DATABASE: &str = "scores-orders";

/// Tag of the message that ends the answer to a batch.
const READY_TAG: u8 = b'Z';

/// Receive buffer of a client that does not read, so that its answers fill it soon.
const SMALL_RECEIVE_BUFFER: u32 = 4096;

/// Time after which an ordinary client gives up on its login.
const LOGIN_LIMIT: Duration = Duration::from_secs(2);

/// Returns the frame of a simple query.
pub(crate) fn query_frame(text: &str) -> BytesMut {
    let mut frame = BytesMut::new();
    frontend::query(text, &mut frame).expect("the text has no zero byte");
    frame
}

/// Returns the frame that prepares a statement.
pub(crate) fn parse_frame(name: &str, text: &str) -> BytesMut {
    let mut frame = BytesMut::new();
    frontend::parse(name, text, [], &mut frame).expect("the text has no zero byte");
    frame
}

pub(crate) fn sync_frame() -> BytesMut {
    let mut frame = BytesMut::new();
    frontend::sync(&mut frame);
    frame
}

/// Connection whose errors end its client: a process that refuses it may close it at any time.
pub(crate) struct RawFrames {
    stream: TcpStream,
    /// Transaction status of the last answer: `I`, `T` or `E`.
    status: u8,
}

impl RawFrames {
    pub(crate) async fn open(address: SocketAddr) -> Option<Self> {
        TcpStream::connect(address).await.ok().map(Self::of)
    }

    fn of(stream: TcpStream) -> Self {
        Self { stream, status: b'I' }
    }

    /// Whether the last answer left a transaction open.
    pub(crate) fn in_transaction(&self) -> bool {
        self.status == b'T'
    }

    /// Logs in.
    pub(crate) async fn start(address: SocketAddr) -> Option<Self> {
        Self::open(address).await?.started().await
    }

    /// Logs in with a small receive buffer.
    pub(crate) async fn start_unread(address: SocketAddr) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
        Self::of(socket.connect(address).await.ok()?).started().await
    }

    async fn started(mut self) -> Option<Self> {
        let mut startup = BytesMut::new();
        let parameters = [("user", USER), ("database", DATABASE)];
        frontend::startup_message(parameters, &mut startup).expect("the names have no zero byte");
        self.send(&startup).await?;
        self.read_until_ready().await?;
        Some(self)
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }

    /// Sends a batch and reads its whole answer.
    pub(crate) async fn run(&mut self, bytes: &[u8]) -> Option<()> {
        self.send(bytes).await?;
        self.read_until_ready().await
    }

    pub(crate) async fn read_until_ready(&mut self) -> Option<()> {
        loop {
            let tag = self.stream.read_u8().await.ok()?;
            let length = self.stream.read_u32().await.ok()?;
            let mut body = vec![0; length as usize - 4];
            self.stream.read_exact(&mut body).await.ok()?;
            if tag == READY_TAG {
                self.status = *body.first()?;
                return Some(());
            }
        }
    }

    /// Reads and drops all that comes until the connection is closed.
    pub(crate) async fn read_to_end(&mut self) -> Option<()> {
        let mut buffer = vec![0; 64 * 1024];
        while self.stream.read(&mut buffer).await.ok()? > 0 {}
        Some(())
    }
}

/// Session of an ordinary caller.
pub(crate) struct FrameSession(Client);

impl OrdinarySession for FrameSession {
    type Target = SocketAddr;

    async fn open(target: &SocketAddr) -> Option<Self> {
        let (host, port) = (target.ip(), target.port());
        let options =
            format!("host={host} port={port} user={USER} dbname={DATABASE} sslmode=disable");
        let login = tokio_postgres::connect(&options, NoTls);
        let (client, connection) = tokio::time::timeout(LOGIN_LIMIT, login).await.ok()?.ok()?;
        tokio::spawn(connection);
        Some(Self(client))
    }

    async fn request(&mut self, number: u64, is_write: bool) -> AttemptResult {
        let text = if is_write {
            format!("INSERT INTO parts VALUES ({number})")
        } else {
            "SELECT 1".to_owned()
        };
        match self.0.simple_query(&text).await {
            Ok(_) => AttemptResult::Served,
            Err(error) => {
                let detail = error.as_db_error().and_then(|error| error.detail());
                let not_run = detail.is_some_and(|detail| detail.contains("not_run"));
                if not_run { AttemptResult::NotRun } else { AttemptResult::Lost }
            }
        }
    }
}
