//! A link for streams.

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

/// Bytes read at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// Chunks on their way in one direction of a connection; they bound memory like a TCP window.
const CHUNKS_IN_FLIGHT: usize = 256;

/// How long a failed accept waits before the next.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// A TCP forwarder that delays, swallows or holds what passes. It stops when dropped.
///
/// The delay is one way: bytes that enter within a delay of each other travel together, so
/// throughput is not bounded by one chunk per delay. Timers are exact to about a millisecond.
#[derive(Debug)]
pub struct LinkStandin {
    address: SocketAddr,
    conditions: Arc<LinkConditions>,
    /// Ends the connections that exist now; replaced by each reset.
    connections: Arc<Mutex<CancellationToken>>,
    stop: CancellationToken,
}

impl LinkStandin {
    /// Starts a link. Must be called from within a tokio runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
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

    /// Where the link listens.
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

    /// Swallows or holds one direction, or heals it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkDirection, LinkFault, LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// let link = LinkStandin::start(&settings).await?;
    /// link.set_fault(LinkDirection::Backward, LinkFault::Swallow);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_fault(&self, direction: LinkDirection, fault: LinkFault) {
        self.conditions.set_fault(direction, fault);
    }

    /// Swallows both directions.
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
        self.set_fault(LinkDirection::Forward, LinkFault::Swallow);
        self.set_fault(LinkDirection::Backward, LinkFault::Swallow);
    }

    /// Ends the faults of both directions.
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

    /// How many connections lost bytes by a fault, each direction counted on its own.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LinkSettings, LinkStandin};
    /// let settings = LinkSettings::loopback("127.0.0.1:5432".parse()?);
    /// assert_eq!(LinkStandin::start(&settings).await?.silenced(), 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn silenced(&self) -> u64 {
        self.conditions.dropped_count()
    }

    /// Resets all connections at both ends.
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

/// Carries one connection until both ends closed it or it is reset.
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
        // A target that refuses shows at the near end as a reset.
        let _ = inbound.set_zero_linger();
        return;
    };
    // Without this, small messages wait for acknowledgements on top of the delay.
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

/// Passes one direction on, each chunk after its delay and in order.
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

/// Reads chunks and notes when each comes out. The end of the stream is an empty chunk.
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
        // A stream keeps its order, whatever the jitter.
        last = last.max(conditions.due_time());
        let sent = sender.send((last, buffer.split().freeze())).await;
        if count == 0 || sent.is_err() {
            return Ok(());
        }
    }
}

/// Writes chunks when they are due.
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
        if conditions.wait_until_released(direction).await == LinkFault::Swallow {
            // What came after lost bytes would make no sense to the receiver, so the connection
            // stays silent; it ends by a reset only.
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
