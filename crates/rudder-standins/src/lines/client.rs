//! Client of the line protocol.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Response to one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineReply {
    /// Rows, in the order received.
    pub rows: Vec<String>,
    /// `COMPLETE` with its proof (member id and request id), or `ERROR` with code and text.
    pub outcome: String,
    /// `READY` with session state and log position.
    pub ready: String,
}

impl LineReply {
    /// Returns whether the statement succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.outcome.starts_with("COMPLETE")
    }

    /// Returns the session's state after the statement: `I` (idle), `T` (in a transaction) or `E`
    /// (failed transaction).
    #[must_use]
    pub fn state(&self) -> &str {
        self.ready.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the error code, or an empty string if the statement succeeded.
    #[must_use]
    pub fn code(&self) -> &str {
        match self.outcome.strip_prefix("ERROR ") {
            Some(rest) => rest.split(' ').next().unwrap_or(""),
            None => "",
        }
    }

    /// Returns the data of the first row without the session values that the stand-in appends.
    #[must_use]
    pub fn data(&self) -> &str {
        self.rows.first().and_then(|row| row.split('|').next()).unwrap_or("")
    }
}

/// An open client session.
pub struct LineClient {
    lines: Lines<BufReader<OwnedReadHalf>>,
    writer: OwnedWriteHalf,
}

impl LineClient {
    /// Connects, sends `STARTUP` with the given arguments and returns the first response line.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or closed before a line is received.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LineClient, LineGroup};
    /// let group = LineGroup::start("scores", 3, std::time::Duration::ZERO).await?;
    /// let member = &group.members()[0];
    /// let startup = format!("scores someone {}", member.id);
    /// let (mut client, line) = LineClient::connect(member.address, &startup).await?;
    /// assert_eq!(line, "READY I 1.0");
    /// assert!(client.query("q1", "WRITE page anna").await?.is_done());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn connect(address: SocketAddr, startup: &str) -> io::Result<(Self, String)> {
        let stream = TcpStream::connect(address).await?;
        let (reader, writer) = stream.into_split();
        let mut client = Self { lines: BufReader::new(reader).lines(), writer };
        client.send(&format!("STARTUP {startup}")).await?;
        let line = client.line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok((client, line))
    }

    /// Sends one line.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub async fn send(&mut self, line: &str) -> io::Result<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).await
    }

    /// Receives the next line; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn line(&mut self) -> io::Result<Option<String>> {
        self.lines.next_line().await
    }

    /// Sends a query and receives its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the response is complete.
    ///
    /// See the example of [`LineClient::connect`].
    pub async fn query(&mut self, id: &str, text: &str) -> io::Result<LineReply> {
        self.send(&format!("QUERY {id} {text}")).await?;
        self.reply().await
    }

    /// Receives one response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the response is complete.
    pub async fn reply(&mut self) -> io::Result<LineReply> {
        let mut rows = Vec::new();
        loop {
            let line = self.line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            match line.strip_prefix("DATAROW ") {
                Some(row) => rows.push(row.to_owned()),
                None => {
                    let ready = self.line().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
                    return Ok(LineReply { rows, outcome: line, ready });
                }
            }
        }
    }
}
