//! Datagram socket of one instance.

use super::authority::AuthorityTrailer;
use super::message::{PeerMessage, RecordsResponse};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Maximum size of a datagram: the records of some hundred services.
const DATAGRAM_MAX: usize = 16_384;

/// Datagram of a peer.
#[derive(Debug)]
pub(crate) struct ReceivedDatagram {
    pub(crate) message: PeerMessage,
    pub(crate) from: SocketAddr,
    /// Bytes after the message, if they are understood.
    pub(crate) trailer: Option<AuthorityTrailer>,
}

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
        self.send_encoded(postcard::to_stdvec(message), to).await;
    }

    /// Sends the records, followed by what this instance knows of the counting authority.
    pub(crate) async fn send_records(
        &self,
        response: RecordsResponse,
        trailer: Option<&AuthorityTrailer>,
        to: SocketAddr,
    ) {
        let trailer = trailer.map_or_else(|| Ok(Vec::new()), AuthorityTrailer::to_bytes);
        let encoded = postcard::to_stdvec(&PeerMessage::Records(response));
        let encoded = encoded.and_then(|mut bytes| {
            bytes.extend(trailer?);
            Ok(bytes)
        });
        self.send_encoded(encoded, to).await;
    }

    async fn send_encoded(&self, encoded: Result<Vec<u8>, postcard::Error>, to: SocketAddr) {
        let bytes = match encoded {
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
    pub(crate) async fn receive(&self) -> ReceivedDatagram {
        let mut bytes = vec![0; DATAGRAM_MAX];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => match postcard::take_from_bytes(&bytes[..length]) {
                    Ok((message, rest)) => {
                        let carries_trailer = matches!(message, PeerMessage::Records(_));
                        let trailer =
                            carries_trailer.then(|| AuthorityTrailer::parse(rest)).flatten();
                        return ReceivedDatagram { message, from, trailer };
                    }
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
