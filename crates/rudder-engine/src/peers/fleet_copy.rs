//! What the store says of settings and members, handed from one instance to another.
//!
//! Load pattern: a fleet that follows the store asks it again and again whether anything changed,
//! each call is paid for, and the store's rate grows more slowly than the fleet. So only the
//! readers of each failure domain ask, and the others fetch what is new from them; they ask the
//! store themselves as soon as no reader's word is fresh.

use crate::engine::ProxyEngine;
use crate::group::MemberEntry;
use crate::settings::{FleetSettings, SettingsVersion};
use crate::store_snapshot::MembersVersion;
use rudder_core::plain_data;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The most time for a copy: some hundred kilobytes between regions, a packet lost.
const COPY_LIMIT: Duration = Duration::from_millis(1500);

/// The longest copy that is read; the store holds values of up to a megabyte.
const COPY_BYTES_MAX: u64 = 4 << 20;

plain_data! {
    /// What an instance knows of the store's word.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct FleetCopy {
        pub(crate) settings: FleetSettings,
        /// The members of all services.
        pub(crate) members: Vec<MemberEntry>,
        /// Their version.
        pub(crate) members_version: MembersVersion,
    }
}

/// Which settings and members an instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CopyVersion {
    pub(crate) settings: SettingsVersion,
    pub(crate) members: MembersVersion,
}

impl CopyVersion {
    /// Whether something in `other` is newer.
    pub(crate) fn lacks(self, other: Self) -> bool {
        other.settings > self.settings || other.members > self.members
    }
}

/// Hands what this instance knows to whoever connects.
pub(crate) async fn serve_copies(engine: Arc<ProxyEngine>, listener: TcpListener) {
    loop {
        let (mut stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(reason:% = error; "a peer's connection was not accepted");
                tokio::time::sleep(COPY_LIMIT / 10).await;
                continue;
            }
        };
        let Some(copy) = engine.fleet_copy() else { continue };
        tokio::spawn(async move {
            let bytes = match postcard::to_stdvec(&copy) {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::error!(reason:% = error; "a copy cannot be written for a peer");
                    return;
                }
            };
            let copy = stream.write_all(&bytes);
            if !matches!(tokio::time::timeout(COPY_LIMIT, copy).await, Ok(Ok(()))) {
                log::debug!(peer:% = peer; "a peer did not take a copy");
            }
        });
    }
}

/// Asks an instance for what it knows.
pub(crate) async fn fetch_copy(peer: SocketAddr) -> Option<FleetCopy> {
    let fetch = async {
        let stream = TcpStream::connect(peer).await?;
        let mut bytes = Vec::new();
        stream.take(COPY_BYTES_MAX).read_to_end(&mut bytes).await?;
        Ok::<_, std::io::Error>(bytes)
    };
    let bytes = match tokio::time::timeout(COPY_LIMIT, fetch).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => {
            log::info!(peer:% = peer, reason:% = error; "a peer's copy was not had");
            return None;
        }
        Err(_) => {
            log::info!(peer:% = peer, reason = "timeout"; "a peer's copy was not had");
            return None;
        }
    };
    match postcard::from_bytes(&bytes) {
        Ok(copy) => Some(copy),
        Err(error) => {
            log::info!(peer:% = peer, reason:% = error; "a peer's copy is unreadable");
            None
        }
    }
}
