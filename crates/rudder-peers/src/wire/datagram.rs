//! Messages sent over UDP.

use super::entry::WireEntry;
use super::error::WireError;
use super::hint::WireHint;
use crate::hints::PeerHint;
use crate::member::PeerEntry;
use rudder_core::{InstanceName, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// A datagram: its sender, a request or response, and piggybacked updates and hints.
    pub(crate) struct PeerDatagram {
        /// Entry of the sender.
        pub(crate) sender: PeerEntry,
        /// Digest of the sender's table of instances; equal tables have equal digests.
        pub(crate) digest: u32,
        /// Digest of the group terms that the sender knows.
        pub(crate) groups: u32,
        /// Greatest settings revision that the sender knows; zero if none.
        pub(crate) revision: u64,
        pub(crate) body: DatagramBody,
        /// Piggybacked membership updates.
        pub(crate) updates: Vec<PeerEntry>,
        pub(crate) hints: Vec<PeerHint>,
    }
}

/// Request or response that a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DatagramBody {
    /// Requests an acknowledgement. `target` is the instance expected at the address, if known.
    Probe { sequence: u32, target: Option<InstanceName> },
    /// Requests that the receiver probe `target`, whose entry is the first update of this datagram.
    IndirectProbe { sequence: u32, target: InstanceName },
    /// Acknowledges a probe.
    Ack { sequence: u32 },
    /// Acknowledges an indirect probe; the first update is the entry that the target sent of
    /// itself.
    RelayedAck { sequence: u32 },
    /// Carries only updates and hints; expects no response.
    Push,
    /// Carries hints for the receiver only, which are not relayed; expects no response.
    Direct,
}

impl DatagramBody {
    /// Returns the sequence number of the sender's own probe if this body requests one.
    pub(crate) fn probe_sequence(&self) -> Option<u32> {
        match self {
            Self::Probe { sequence, .. } | Self::IndirectProbe { sequence, .. } => Some(*sequence),
            Self::Ack { .. } | Self::RelayedAck { .. } | Self::Push | Self::Direct => None,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireDatagram {
    sender: WireEntry,
    digest: u32,
    groups: u32,
    revision: u64,
    body: WireBody,
    updates: Vec<WireEntry>,
    hints: Vec<WireHint>,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireBody {
    Probe { sequence: u32, target: Option<String> },
    IndirectProbe { sequence: u32, target: String },
    Ack { sequence: u32 },
    RelayedAck { sequence: u32 },
    Push,
    Direct,
}

impl From<&PeerDatagram> for WireDatagram {
    fn from(datagram: &PeerDatagram) -> Self {
        Self {
            sender: (&datagram.sender).into(),
            digest: datagram.digest,
            groups: datagram.groups,
            revision: datagram.revision,
            body: (&datagram.body).into(),
            updates: datagram.updates.iter().map(WireEntry::from).collect(),
            hints: datagram.hints.iter().map(WireHint::from).collect(),
        }
    }
}

impl TryFrom<WireDatagram> for PeerDatagram {
    type Error = WireError;

    fn try_from(wire: WireDatagram) -> Result<Self, WireError> {
        let updates: Result<_, WireError> =
            wire.updates.into_iter().map(PeerEntry::try_from).collect();
        let hints: Result<_, WireError> = wire.hints.into_iter().map(PeerHint::try_from).collect();
        Ok(Self {
            sender: wire.sender.try_into()?,
            digest: wire.digest,
            groups: wire.groups,
            revision: wire.revision,
            body: wire.body.try_into()?,
            updates: updates?,
            hints: hints?,
        })
    }
}

impl From<&DatagramBody> for WireBody {
    fn from(body: &DatagramBody) -> Self {
        match body {
            DatagramBody::Probe { sequence, target } => Self::Probe {
                sequence: *sequence,
                target: target.as_ref().map(ToString::to_string),
            },
            DatagramBody::IndirectProbe { sequence, target } => {
                Self::IndirectProbe { sequence: *sequence, target: target.to_string() }
            }
            DatagramBody::Ack { sequence } => Self::Ack { sequence: *sequence },
            DatagramBody::RelayedAck { sequence } => Self::RelayedAck { sequence: *sequence },
            DatagramBody::Push => Self::Push,
            DatagramBody::Direct => Self::Direct,
        }
    }
}

impl TryFrom<WireBody> for DatagramBody {
    type Error = WireError;

    fn try_from(wire: WireBody) -> Result<Self, WireError> {
        Ok(match wire {
            WireBody::Probe { sequence, target } => {
                Self::Probe { sequence, target: target.map(|name| name.parse()).transpose()? }
            }
            WireBody::IndirectProbe { sequence, target } => {
                Self::IndirectProbe { sequence, target: target.parse()? }
            }
            WireBody::Ack { sequence } => Self::Ack { sequence },
            WireBody::RelayedAck { sequence } => Self::RelayedAck { sequence },
            WireBody::Push => Self::Push,
            WireBody::Direct => Self::Direct,
        })
    }
}
