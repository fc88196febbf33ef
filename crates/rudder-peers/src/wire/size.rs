//! Encoded sizes of messages, for capacity planning.

use super::codec::{encode_datagram, encode_response};
use super::datagram::{DatagramBody, PeerDatagram};
use super::request::{PeerTableFrame, ResponseFrame};
use crate::budget::DATAGRAM_OVERHEAD_BYTES;
use crate::hints::PeerHint;
use crate::member::PeerEntry;

/// Returns the size in bytes of a heartbeat from `sender` that carries these updates and hints,
/// including IP and UDP headers; zero if it does not fit into one datagram.
///
/// ```
/// use rudder_peers::{Incarnation, PeerEntry, PeerState, heartbeat_bytes};
/// let sender = PeerEntry {
///     name: "i1".parse()?,
///     address: ([127, 0, 0, 1], 7000).into(),
///     domain: "bangor".parse()?,
///     incarnation: Incarnation(1),
///     state: PeerState::Live,
/// };
/// assert!(heartbeat_bytes(&sender, &[], &[]) < 100);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn heartbeat_bytes(sender: &PeerEntry, updates: &[PeerEntry], hints: &[PeerHint]) -> u64 {
    let datagram = PeerDatagram {
        sender: sender.clone(),
        digest: u32::MAX,
        groups: u32::MAX,
        revision: u64::from(u16::MAX),
        body: DatagramBody::Ack { sequence: u32::MAX },
        updates: updates.to_vec(),
        hints: hints.to_vec(),
    };
    encode_datagram(&datagram).map_or(0, |bytes| length_of(&bytes) + DATAGRAM_OVERHEAD_BYTES)
}

/// Returns the size in bytes of a table of instances as transferred over TCP; zero if it does not
/// fit into one frame.
///
/// ```
/// # use rudder_peers::{Incarnation, PeerEntry, PeerState, table_bytes};
/// # let sender = PeerEntry {
/// #     name: "i1".parse()?,
/// #     address: ([127, 0, 0, 1], 7000).into(),
/// #     domain: "bangor".parse()?,
/// #     incarnation: Incarnation(1),
/// #     state: PeerState::Live,
/// # };
/// let entries = vec![sender.clone(); 100];
/// assert!(table_bytes(&sender, &entries) > 50 * table_bytes(&sender, &[]));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn table_bytes(sender: &PeerEntry, entries: &[PeerEntry]) -> u64 {
    let table = PeerTableFrame { sender: sender.clone(), entries: entries.to_vec() };
    response_bytes(&ResponseFrame::Table { number: 1, table })
}

/// Returns the size in bytes of a list of group primaries as transferred over TCP; zero if it does
/// not fit into one frame.
///
/// ```
/// # use rudder_peers::groups_bytes;
/// assert!(groups_bytes(&"i1".parse()?, &[]) < 20);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn groups_bytes(sender: &rudder_core::InstanceName, hints: &[PeerHint]) -> u64 {
    let (sender, hints) = (sender.clone(), hints.to_vec());
    response_bytes(&ResponseFrame::Groups { number: 1, sender, hints })
}

fn response_bytes(response: &ResponseFrame) -> u64 {
    encode_response(response).map_or(0, |bytes| length_of(&bytes))
}

fn length_of(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
