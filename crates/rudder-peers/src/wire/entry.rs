//! Wire encoding of instance entries.

use super::error::WireError;
use crate::member::{Incarnation, PeerEntry, PeerState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireEntry {
    name: String,
    address: SocketAddr,
    domain: String,
    incarnation: u64,
    state: u8,
}

impl From<&PeerEntry> for WireEntry {
    fn from(entry: &PeerEntry) -> Self {
        Self {
            name: entry.name.as_str().to_owned(),
            address: entry.address,
            domain: entry.domain.as_str().to_owned(),
            incarnation: entry.incarnation.0,
            state: match entry.state {
                PeerState::Live => 0,
                PeerState::Suspect => 1,
                PeerState::Leaving => 2,
                PeerState::Removed => 3,
            },
        }
    }
}

impl TryFrom<WireEntry> for PeerEntry {
    type Error = WireError;

    fn try_from(wire: WireEntry) -> Result<Self, WireError> {
        let state = match wire.state {
            0 => PeerState::Live,
            1 => PeerState::Suspect,
            2 => PeerState::Leaving,
            3 => PeerState::Removed,
            code => return Err(WireError::Code(code)),
        };
        Ok(Self {
            name: wire.name.parse()?,
            address: wire.address,
            domain: wire.domain.parse()?,
            incarnation: Incarnation(wire.incarnation),
            state,
        })
    }
}
