//! Errors that end the program.

use crate::logs::LogError;
use crate::process::ProcessError;
use displaydoc::Display;
use rudder_peers::MeshError;
use rudder_platform::PlatformError;
use rudder_store::StoreError;
use std::net::SocketAddr;

/// Error that keeps the proxy from starting or ends it early.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum ProxyError {
    /// exactly one of --settings and --platform is required
    Mode,
    /// {0}
    Process(ProcessError),
    /// {0}
    Platform(PlatformError),
    /// cannot listen on {address}: {reason}
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// cannot use the TLS certificate or key: {0}
    Tls(String),
    /// cannot use the platform's address: {0}
    Store(StoreError),
    /// cannot open the socket for peers: {0}
    Peers(MeshError),
    /// cannot set up logging: {0}
    Logs(LogError),
    /// cannot start the async runtime: {0}
    Runtime(std::io::Error),
}

impl std::error::Error for ProxyError {}

impl From<ProcessError> for ProxyError {
    fn from(error: ProcessError) -> Self {
        Self::Process(error)
    }
}

impl From<PlatformError> for ProxyError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<MeshError> for ProxyError {
    fn from(error: MeshError) -> Self {
        Self::Peers(error)
    }
}

impl From<StoreError> for ProxyError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<LogError> for ProxyError {
    fn from(error: LogError) -> Self {
        Self::Logs(error)
    }
}
