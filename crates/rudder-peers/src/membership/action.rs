//! What the membership asks its driver to do.

use crate::member::PeerEntry;
use crate::wire::DatagramBody;
use std::net::SocketAddr;

/// What the membership asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerAction {
    /// Send a datagram. `first` must be the first of its news.
    Send { to: SocketAddr, body: DatagramBody, first: Option<PeerEntry> },
    /// Fetch the table of the peer at this address.
    FetchTable { from: SocketAddr },
}
