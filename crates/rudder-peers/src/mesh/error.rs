//! The errors of the mesh.

use crate::wire::WireError;
use displaydoc::Display;
use std::net::SocketAddr;

/// Why the mesh could not be started.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum MeshError {
    /// cannot listen for peers on {address}: {source}
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// the budget of {0} bytes per second is below the 800 that heartbeats need
    Budget(u64),
}

impl std::error::Error for MeshError {}

/// Why a request to a peer brought no reply. The peer may have acted on it nevertheless.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum PeerError {
    /// no instance of this name is known
    NotKnown,
    /// the peer cannot be reached: {0}
    Unreachable(std::io::Error),
    /// the peer did not answer in time
    TimedOut,
    /// the peer's answer was not understood: {0}
    Malformed(WireError),
    /// the peer answered another request
    Mismatched,
    /// the peer has no budget for this at present
    Busy,
}

impl std::error::Error for PeerError {}

impl From<std::io::Error> for PeerError {
    fn from(error: std::io::Error) -> Self {
        Self::Unreachable(error)
    }
}

impl From<WireError> for PeerError {
    fn from(error: WireError) -> Self {
        Self::Malformed(error)
    }
}
