//! The messages that travel over UDP.

use super::entry::WireEntry;
use super::error::WireError;
use super::hint::WireHint;
use crate::hints::PeerHint;
use crate::member::PeerEntry;
use rudder_core::{InstanceName, plain_data};
use serde::{Deserialize, Serialize};

plain_data! {
    /// A datagram: who sends it, what it asks or answers, and what rides along.
    pub(crate) struct PeerDatagram {
        /// The sender about itself.
        pub(crate) sender: PeerEntry,
        /// Digest of the sender's table of instances; equal tables have equal digests.
        pub(crate) digest: u32,
        /// Digest of the terms that the sender knows of.
        pub(crate) groups: u32,
        /// The greatest settings revision that the sender knows of; zero if none.
        pub(crate) revision: u64,
        pub(crate) body: DatagramBody,
        /// News of members.
        pub(crate) updates: Vec<PeerEntry>,
        pub(crate) hints: Vec<PeerHint>,
    }
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DatagramBody {
    /// Asks for an acknowledgement. `target` is who is believed to listen there.
    Probe { sequence: u32, target: Option<InstanceName> },
    /// Asks the receiver to probe `target`, whose entry is the first news of this datagram.
    IndirectProbe { sequence: u32, target: InstanceName },
    /// Answers a probe.
    Ack { sequence: u32 },
    /// Answers an indirect probe: the first news is what the target said about itself.
    RelayedAck { sequence: u32 },
    /// Asks nothing; it only carries news and hints.
    Push,
    /// Asks nothing; its hints are for the receiver alone and are not passed on.
    Direct,
}

impl DatagramBody {
    /// The number of the sender's own probe that this body asks about, if it asks.
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
