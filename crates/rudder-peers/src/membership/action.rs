//! What the membership asks its driver to do.

use crate::member::PeerEntry;
use crate::wire::DatagramBody;
use rudder_core::plain_data;
use std::net::SocketAddr;

plain_data! {
    /// A datagram to send.
    pub(crate) struct PeerAction {
        pub(crate) to: SocketAddr,
        pub(crate) body: DatagramBody,
        /// What must be the first of its news.
        pub(crate) first_update: Option<PeerEntry>,
    }
}
