//! Datagram socket of one instance.

use super::message::PeerMessage;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Maximum size of a datagram: the records of some hundred services.
const DATAGRAM_MAX: usize = 16_384;

/// Sends and receives peers' datagrams.
#[derive(Clone)]
pub(crate) struct PeerExchange {
    socket: Arc<UdpSocket>,
}

impl PeerExchange {
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self { socket: Arc::new(UdpSocket::bind(address).await?) })
    }

    /// Returns the address of the socket.
    #[cfg(test)]
    pub(crate) fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("a bound socket")
    }

    /// Sends a datagram; delivery is not guaranteed.
    pub(crate) async fn send(&self, message: &PeerMessage, to: SocketAddr) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAX => bytes,
            Ok(bytes) => {
                log::error!(bytes = bytes.len(); "a datagram to a peer exceeds the maximum size");
                return;
            }
            Err(error) => {
                log::error!(reason:% = error; "a datagram to a peer could not be serialized");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!(peer:% = to, reason:% = error; "a datagram was not sent");
        }
    }

    /// Sends a datagram to several receivers.
    pub(crate) async fn send_all(&self, message: &PeerMessage, receivers: &[SocketAddr]) {
        for receiver in receivers {
            self.send(message, *receiver).await;
        }
    }

    /// Receives the next datagram that can be parsed.
    pub(crate) async fn receive(&self) -> (PeerMessage, SocketAddr) {
        let mut bytes = vec![0; DATAGRAM_MAX];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => match postcard::from_bytes(&bytes[..length]) {
                    Ok(message) => return (message, from),
                    Err(error) => {
                        metrics::counter!("rudder_datagrams_malformed_total").increment(1);
                        log::debug!(peer:% = from, reason:% = error; "a datagram is malformed");
                    }
                },
                // The receiver of an earlier datagram refused it; the socket remains usable.
                Err(error) => log::debug!(reason:% = error; "a datagram was rejected"),
            }
        }
    }
}
