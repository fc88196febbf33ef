//! Output of the membership state machine.

use crate::member::PeerEntry;
use crate::wire::DatagramBody;
use rudder_core::plain_data;
use std::net::SocketAddr;

plain_data! {
    /// Datagram to send.
    pub(crate) struct PeerAction {
        pub(crate) to: SocketAddr,
        pub(crate) body: DatagramBody,
        /// Entry that must be the first update of the datagram.
        pub(crate) first_update: Option<PeerEntry>,
    }
}
