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
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use rudder_core::plain_data;
use serde::{Deserialize, Serialize};
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long the next part of a copy may take: a busy peer's turn, a packet lost between regions. The
/// time of a whole copy grows with its size and with how many ask for it at once.
const PART_LIMIT: Duration = Duration::from_millis(1500);

/// The most time for a copy.
const COPY_LIMIT: Duration = Duration::from_secs(15);

/// The most that is read or written at a time.
const PART_BYTES: usize = 16_384;

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
    for part in encode_copy(&copy)?.chunks(PART_BYTES) {
        part_limited(stream.write_all(part)).await?;
    }
    Ok(())
}

/// A copy as it is sent. Names recur in each of its entries, so it is compressed.
pub(super) fn encode_copy(copy: &FleetCopy) -> std::io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(copy).map_err(std::io::Error::other)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    encoder.finish()
}

/// Reads a copy as it was sent.
pub(super) fn decode_copy(bytes: &[u8]) -> std::io::Result<FleetCopy> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes).take(COPY_BYTES_MAX).read_to_end(&mut plain)?;
    postcard::from_bytes(&plain).map_err(std::io::Error::other)
}

async fn part_limited<T>(part: impl Future<Output = std::io::Result<T>>) -> std::io::Result<T> {
    let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    tokio::time::timeout(PART_LIMIT, part).await.map_err(timed_out)?
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
    let mut stream = part_limited(TcpStream::connect(peer)).await?;
    let bytes = postcard::to_stdvec(&request).map_err(std::io::Error::other)?;
    let length = u16::try_from(bytes.len()).map_err(std::io::Error::other)?;
    let framed = [length.to_be_bytes().as_slice(), &bytes].concat();
    stream.write_all(&framed).await?;
    let mut answer = Vec::new();
    let mut stream = stream.take(COPY_BYTES_MAX);
    loop {
        answer.reserve(PART_BYTES);
        if part_limited(stream.read_buf(&mut answer)).await? == 0 {
            return decode_copy(&answer);
        }
    }
}
