//! What the store says of settings and members, handed from one instance to another.
//!
//! Load pattern: a fleet that follows the store asks it again and again whether anything changed,
//! each call is paid for, and the store's rate grows more slowly than the fleet. So one reader
//! asks, and the others fetch what is new from it and from each other; they ask the store
//! themselves as soon as nobody tells them in time.

use super::digest::EntriesDigest;
use super::membership_state::PeerEntry;
use super::offset::QuestionOffset;
use crate::clock::boot_time;
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
    /// What an instance knows already.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct CopyRequest {
        pub(crate) version: CopyVersion,
        pub(crate) entries: EntriesDigest,
    }
}

plain_data! {
    /// What another one knows of the store's word beyond that.
    #[derive(Default, Serialize, Deserialize)]
    pub(crate) struct FleetCopy {
        pub(crate) settings: Option<FleetSettings>,
        pub(crate) members: Option<MembersCopy>,
        pub(crate) entries: Option<EntriesCopy>,
    }
}

plain_data! {
    /// The members of all services.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct MembersCopy {
        pub(crate) members: Vec<MemberEntry>,
        pub(crate) version: MembersVersion,
    }
}

plain_data! {
    /// The list of instances.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct EntriesCopy {
        pub(crate) entries: Vec<PeerEntry>,
        /// When the store had it so, counted from the request.
        pub(crate) read: Option<QuestionOffset>,
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

/// Hands what this instance knows to whoever connects and asks.
pub(crate) async fn serve_copies(engine: Arc<ProxyEngine>, listener: TcpListener) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(reason:% = error; "a peer's connection was not accepted");
                tokio::time::sleep(COPY_LIMIT / 10).await;
                continue;
            }
        };
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            match tokio::time::timeout(COPY_LIMIT, serve_copy(&engine, stream)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::info!(peer:% = peer, reason:% = error; "a peer had no copy"),
                Err(_) => log::info!(peer:% = peer, reason = "timeout"; "a peer had no copy"),
            }
        });
    }
}

async fn serve_copy(engine: &ProxyEngine, mut stream: TcpStream) -> std::io::Result<()> {
    let received_at = boot_time();
    let length = stream.read_u16().await?;
    let mut bytes = vec![0; length.into()];
    stream.read_exact(&mut bytes).await?;
    let request: CopyRequest = postcard::from_bytes(&bytes).map_err(std::io::Error::other)?;
    let copy = engine.fleet_copy(request, received_at);
    let bytes = postcard::to_stdvec(&copy).map_err(std::io::Error::other)?;
    stream.write_all(&bytes).await
}

/// Asks an instance for what it knows beyond `request`.
pub(crate) async fn fetch_copy(peer: SocketAddr, request: CopyRequest) -> Option<FleetCopy> {
    match tokio::time::timeout(COPY_LIMIT, exchange_copy(peer, request)).await {
        Ok(Ok(copy)) => return Some(copy),
        Ok(Err(error)) => {
            log::info!(peer:% = peer, reason:% = error; "a peer's copy was not had");
        }
        Err(_) => log::info!(peer:% = peer, reason = "timeout"; "a peer's copy was not had"),
    }
    None
}

async fn exchange_copy(peer: SocketAddr, request: CopyRequest) -> std::io::Result<FleetCopy> {
    let mut stream = TcpStream::connect(peer).await?;
    let bytes = postcard::to_stdvec(&request).map_err(std::io::Error::other)?;
    let length = u16::try_from(bytes.len()).map_err(std::io::Error::other)?;
    let framed = [length.to_be_bytes().as_slice(), &bytes].concat();
    stream.write_all(&framed).await?;
    let mut answer = Vec::new();
    stream.take(COPY_BYTES_MAX).read_to_end(&mut answer).await?;
    postcard::from_bytes(&answer).map_err(std::io::Error::other)
}
