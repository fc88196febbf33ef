//! Link for UDP datagrams.

use super::conditions::{LinkConditions, LinkDirection, LinkFault, LinkSettings};
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

/// Maximum size of a datagram.
const DATAGRAM_BYTES: usize = 64 << 10;

/// A UDP forwarder with delay, jitter (which reorders datagrams), loss and faults. It stops when
/// dropped.
///
/// Each sender gets its own socket to the target, so responses can be returned to that sender.
#[derive(Debug)]
pub struct DatagramLinkStandin {
    address: SocketAddr,
    conditions: Arc<LinkConditions>,
    stop: CancellationToken,
}

impl DatagramLinkStandin {
    /// Starts a link. Must be called from within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address cannot be bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{DatagramLinkStandin, LinkSettings};
    /// let settings = LinkSettings::loopback("127.0.0.1:7000".parse()?);
    /// assert_ne!(DatagramLinkStandin::start(&settings).await?.address().port(), 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub async fn start(settings: &LinkSettings) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(settings.listen).await?);
        let link = Self {
            address: socket.local_addr()?,
            conditions: Arc::new(LinkConditions::new(settings)),
            stop: CancellationToken::new(),
        };
        let forwarder = DatagramForwarder {
            inbound: socket,
            target: settings.target,
            conditions: Arc::clone(&link.conditions),
            stop: link.stop.clone(),
        };
        tokio::spawn(async move {
            tokio::select! {
                () = forwarder.stop.cancelled() => {}
                () = forwarder.forward() => {}
            }
        });
        Ok(link)
    }

    /// Returns the address on which the link listens.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{DatagramLinkStandin, LinkSettings};
    /// let settings = LinkSettings::loopback("127.0.0.1:7000".parse()?);
    /// assert!(DatagramLinkStandin::start(&settings).await?.address().ip().is_loopback());
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets delay, jitter and the share of lost datagrams in percent.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{DatagramLinkStandin, LinkSettings};
    /// use std::time::Duration;
    /// let settings = LinkSettings::loopback("127.0.0.1:7000".parse()?);
    /// let link = DatagramLinkStandin::start(&settings).await?;
    /// link.set_delay(Duration::from_millis(12), Duration::from_millis(3), 2);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_delay(&self, delay: Duration, jitter: Duration, loss_percent: u32) {
        self.conditions.set_delay(delay, jitter);
        self.conditions.set_loss(loss_percent);
    }

    /// Sets the fault of one direction; [`LinkFault::None`] heals it.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{DatagramLinkStandin, LinkDirection, LinkFault, LinkSettings};
    /// let settings = LinkSettings::loopback("127.0.0.1:7000".parse()?);
    /// let link = DatagramLinkStandin::start(&settings).await?;
    /// link.set_fault(LinkDirection::Forward, LinkFault::Drop);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_fault(&self, direction: LinkDirection, fault: LinkFault) {
        self.conditions.set_fault(direction, fault);
    }
}

impl Drop for DatagramLinkStandin {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

struct DatagramForwarder {
    inbound: Arc<UdpSocket>,
    target: SocketAddr,
    conditions: Arc<LinkConditions>,
    stop: CancellationToken,
}

impl DatagramForwarder {
    async fn forward(&self) {
        let mut senders: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = self.inbound.recv_from(&mut buffer).await else {
                pause_after_error().await;
                continue;
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            let outbound = match senders.binary_search_by_key(&sender, |(known, _)| *known) {
                Ok(index) => Arc::clone(&senders[index].1),
                Err(index) => {
                    let Ok(outbound) = self.open_socket(sender).await else { continue };
                    senders.insert(index, (sender, Arc::clone(&outbound)));
                    outbound
                }
            };
            let target = self.target;
            self.send_later(LinkDirection::Forward, outbound, target, datagram);
        }
    }

    /// Opens a socket to the target for one sender and starts to forward the responses to it.
    async fn open_socket(&self, sender: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let outbound =
            Arc::new(UdpSocket::bind(SocketAddr::new(self.inbound.local_addr()?.ip(), 0)).await?);
        let backward = DatagramForwarder {
            inbound: Arc::clone(&self.inbound),
            target: sender,
            conditions: Arc::clone(&self.conditions),
            stop: self.stop.clone(),
        };
        let socket = Arc::clone(&outbound);
        tokio::spawn(async move {
            tokio::select! {
                () = backward.stop.cancelled() => {}
                () = backward.forward_responses(&socket) => {}
            }
        });
        Ok(outbound)
    }

    async fn forward_responses(&self, outbound: &UdpSocket) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = outbound.recv_from(&mut buffer).await else {
                pause_after_error().await;
                continue;
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            let inbound = Arc::clone(&self.inbound);
            self.send_later(LinkDirection::Backward, inbound, self.target, datagram);
        }
    }

    fn send_later(
        &self,
        direction: LinkDirection,
        socket: Arc<UdpSocket>,
        target: SocketAddr,
        datagram: Bytes,
    ) {
        if self.conditions.fault(direction) == LinkFault::Drop || self.conditions.draws_loss() {
            self.conditions.count_dropped();
            return;
        }
        let due = self.conditions.due_time();
        let conditions = Arc::clone(&self.conditions);
        let stop = self.stop.clone();
        let sending = async move {
            tokio::time::sleep_until(due).await;
            if conditions.wait_until_released(direction).await == LinkFault::None {
                // A datagram that cannot be sent is lost, as on a real link.
                let _ = socket.send_to(&datagram, target).await;
            }
        };
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = sending => {}
            }
        });
    }
}

/// Pauses after a receive error, as the next receive fails if an earlier datagram was refused and
/// the loop must not spin.
async fn pause_after_error() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}
