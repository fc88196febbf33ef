//! Link for TCP streams.

use super::conditions::{LinkConditions, LinkDirection, LinkFault, LinkSettings};
use bytes::{Bytes, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum number of bytes read at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// Maximum number of chunks in flight in one direction of a connection. It bounds memory like a
/// TCP window.
const CHUNKS_IN_FLIGHT: usize = 256;

/// Delay after a failed accept before the next attempt.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// A TCP forwarder that delays, drops or holds traffic. It stops when dropped.
///
/// Several chunks can be in flight within one one-way delay, so throughput is not bounded by one
/// chunk per delay. Timers are accurate to about a millisecond.
#[derive(Debug)]
pub struct LinkStandin {
    address: SocketAddr,
    conditions: Arc<LinkConditions>,
    /// Resets the existing connections when cancelled; replaced by each reset.
    connections: Arc<Mutex<CancellationToken>>,
    stop: CancellationToken,
}

impl LinkStandin {
    /// Starts a link. Must be called from within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address cannot be bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// use std::time::Duration;
    /// let mut settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// settings.delay = Duration::from_millis(4);
    /// let link = LinkStandin::start(&settings).await?;
    /// assert_ne!(link.address().port(), 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub async fn start(settings: &LinkSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let link = Self {
            address,
            conditions: Arc::new(LinkConditions::new(settings)),
            connections: Arc::new(Mutex::new(stop.child_token())),
            stop,
        };
        tokio::spawn(accept(
            listener,
            settings.target,
            Arc::clone(&link.conditions),
            Arc::clone(&link.connections),
            link.stop.clone(),
        ));
        Ok(link)
    }

    /// Returns the address on which the link listens.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// assert!(LinkStandin::start(&settings).await?.address().ip().is_loopback());
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes delay and jitter for what enters from now on.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// use std::time::Duration;
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// let link = LinkStandin::start(&settings).await?;
    /// link.set_delay(Duration::from_millis(12), Duration::from_millis(3));
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_delay(&self, delay: Duration, jitter: Duration) {
        self.conditions.set_delay(delay, jitter);
    }

    /// Sets the fault of one direction; [`LinkFault::None`] heals it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkDirection, LinkFault, LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// let link = LinkStandin::start(&settings).await?;
    /// link.set_fault(LinkDirection::Backward, LinkFault::Drop);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_fault(&self, direction: LinkDirection, fault: LinkFault) {
        self.conditions.set_fault(direction, fault);
    }

    /// Drops traffic in both directions.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// LinkStandin::start(&settings).await?.cut();
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn cut(&self) {
        self.set_fault(LinkDirection::Forward, LinkFault::Drop);
        self.set_fault(LinkDirection::Backward, LinkFault::Drop);
    }

    /// Clears the faults of both directions.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// LinkStandin::start(&settings).await?.heal();
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn heal(&self) {
        self.set_fault(LinkDirection::Forward, LinkFault::None);
        self.set_fault(LinkDirection::Backward, LinkFault::None);
    }

    /// Returns how many connections lost bytes by a fault, counting each direction separately.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// assert_eq!(LinkStandin::start(&settings).await?.silenced_connections(), 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn silenced_connections(&self) -> u64 {
        self.conditions.dropped_count()
    }

    /// Resets all existing connections at both ends.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// LinkStandin::start(&settings).await?.reset();
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn reset(&self) {
        let fresh = self.stop.child_token();
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *connections, fresh).cancel();
    }
}

impl Drop for LinkStandin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    conditions: Arc<LinkConditions>,
    connections: Arc<Mutex<CancellationToken>>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((inbound, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let reset_token = connections.lock().unwrap_or_else(PoisonError::into_inner).clone();
        tokio::spawn(forward_connection(inbound, target, Arc::clone(&conditions), reset_token));
    }
}

/// Forwards one connection until both ends have closed it or it is reset.
async fn forward_connection(
    inbound: TcpStream,
    target: SocketAddr,
    conditions: Arc<LinkConditions>,
    reset_token: CancellationToken,
) {
    let connecting = async {
        conditions.wait_until_healed(LinkDirection::Forward).await;
        tokio::time::sleep_until(conditions.due_time()).await;
        TcpStream::connect(target).await
    };
    let outbound = tokio::select! {
        () = reset_token.cancelled() => None,
        outbound = connecting => outbound.ok(),
    };
    let Some(outbound) = outbound else {
        // A refused connection to the target appears to the caller as a reset.
        let _ = inbound.set_zero_linger();
        return;
    };
    // Otherwise small messages would wait for acknowledgements in addition to the delay.
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (mut inbound, mut outbound) = (inbound, outbound);
    let (inbound_reader, inbound_writer) = inbound.split();
    let (outbound_reader, outbound_writer) = outbound.split();
    let forward =
        forward_direction(inbound_reader, outbound_writer, &conditions, LinkDirection::Forward);
    let backward =
        forward_direction(outbound_reader, inbound_writer, &conditions, LinkDirection::Backward);
    let both = async { tokio::join!(forward, backward) };
    let failed = tokio::select! {
        () = reset_token.cancelled() => true,
        (forward, backward) = both => forward.is_err() || backward.is_err(),
    };
    if failed {
        let _ = inbound.set_zero_linger();
        let _ = outbound.set_zero_linger();
    }
}

/// Forwards one direction, each chunk after its delay and in order.
async fn forward_direction(
    reader: impl AsyncRead + Unpin,
    writer: impl AsyncWrite + Unpin,
    conditions: &LinkConditions,
    direction: LinkDirection,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let reading = read_chunks(reader, sender, conditions);
    let writing = write_chunks(writer, receiver, conditions, direction);
    tokio::try_join!(reading, writing).map(drop)
}

/// Reads chunks and queues each with its due time. An empty chunk marks the end of the stream.
async fn read_chunks(
    mut reader: impl AsyncRead + Unpin,
    sender: mpsc::Sender<(Instant, Bytes)>,
    conditions: &LinkConditions,
) -> io::Result<()> {
    let mut last = Instant::now();
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        let count = reader.read_buf(&mut buffer).await?;
        // Jitter must not reorder a stream.
        last = last.max(conditions.due_time());
        let sent = sender.send((last, buffer.split().freeze())).await;
        if count == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

/// Writes each chunk when it is due.
async fn write_chunks(
    mut writer: impl AsyncWrite + Unpin,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    conditions: &LinkConditions,
    direction: LinkDirection,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        if conditions.wait_until_released(direction).await == LinkFault::Drop {
            // The receiver could not parse bytes that follow lost ones, so the connection stays
            // silent until it is reset.
            conditions.count_dropped();
            return std::future::pending().await;
        }
        if chunk.is_empty() {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk).await?;
    }
    Ok(())
}
