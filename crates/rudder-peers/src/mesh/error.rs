//! Errors of the mesh.

use crate::wire::WireError;
use displaydoc::Display;
use std::net::SocketAddr;

/// Reason for which the mesh could not be started.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum MeshError {
    /// cannot listen for peers on {address}: {source}
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// the budget of {0} bytes per second is below the 800 that heartbeats need
    Budget(u64),
}

impl std::error::Error for MeshError {}

/// Reason for which a request to a peer returned no reply. The peer may have processed the request
/// nevertheless.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum PeerError {
    /// no instance of this name is known
    NotKnown,
    /// the peer cannot be reached: {0}
    Unreachable(std::io::Error),
    /// the peer did not respond in time
    TimedOut,
    /// the response of the peer could not be decoded: {0}
    Malformed(WireError),
    /// the response belongs to another request
    Mismatched,
    /// the peer has no transfer budget left
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
