//! Copies of the store's settings, members and instance list that instances fetch from each other.
//!
//! Load pattern: a fleet that follows the store polls it continuously for changes, each call is
//! paid for, and the store's rate grows more slowly than the fleet. Therefore one reader polls the
//! store, and the others fetch newer state from it and from each other. They poll the store
//! themselves as soon as no peer confirms the state in time.

use super::exchange::PeerExchange;
use super::list_change::{CopiedList, ListDigest};
use super::membership_state::PeerEntry;
use super::message::{CopyQuery, CopyResponse, PeerMessage};
use super::offset::RequestOffset;
use super::record_copy::{RECORDS_MARK, serve_records};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::forwarding::{FORWARDING_MARK, serve_forwarding};
use crate::group::MemberEntry;
use crate::settings::{FleetSettings, SettingsVersion};
use crate::store_snapshot::MembersVersion;
use crate::sync::lock;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use rudder_core::{InstanceName, MemberName, plain_data};
use rudder_decisions::InstanceCapacity;
use serde::{Deserialize, Serialize};
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::error::Elapsed;

/// Timeout for the next chunk of a copy: covers scheduling on a busy peer and a packet lost between
/// regions. The time for a whole copy grows with its size and with the number of concurrent
/// requests.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for a whole copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a copy that is sent in a datagram, so that it is not fragmented.
const DATAGRAM_BYTES_MAX: usize = 1200;

/// Timeout for a copy by datagram: a round trip between regions and scheduling on a slow machine.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which an encoded copy is sent again to others with the same request.
const COPY_VALIDITY: Duration = Duration::from_millis(100);

/// Maximum number of bytes read or written at a time.
const CHUNK_BYTES: usize = 16_384;

/// Maximum size of a copy that is read; the store holds values of up to a megabyte.
const COPY_BYTES_MAX: u64 = 4 << 20;

plain_data! {
    /// State that the requester already knows.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct CopyRequest {
        pub(crate) version: CopyVersion,
        pub(crate) members: ListDigest,
        pub(crate) entries: ListDigest,
    }
}

plain_data! {
    /// State of the store that the sender knows beyond a [`CopyRequest`].
    #[derive(Default, Serialize, Deserialize)]
    pub(crate) struct FleetCopy {
        pub(crate) settings: Option<FleetSettings>,
        pub(crate) members: Option<MembersCopy>,
        pub(crate) entries: Option<EntriesCopy>,
    }
}

plain_data! {
    /// Members of all services.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct MembersCopy {
        pub(crate) list: CopiedList<MemberEntry, MemberName>,
        pub(crate) version: MembersVersion,
    }
}

plain_data! {
    /// Instance list.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct EntriesCopy {
        pub(crate) list: CopiedList<PeerEntry, InstanceName>,
        /// Time at which the store had the list, relative to the request.
        pub(crate) read: Option<RequestOffset>,
    }
}

plain_data! {
    /// Capacities of the entries in a copy, in the same order. They follow the copy, as older builds
    /// ignore what follows it but could not decode entries with a further field.
    #[derive(Serialize, Deserialize)]
    struct CapacitiesCopy {
        capacities: Vec<Option<u32>>,
    }
}

impl CapacitiesCopy {
    /// Returns the capacities of a copy's entries, if there are any.
    fn of(copy: &FleetCopy) -> Option<Self> {
        let (CopiedList::Whole(entries) | CopiedList::Change { put: entries, .. }) =
            &copy.entries.as_ref()?.list;
        let capacity = |entry: &PeerEntry| entry.capacity.map(|capacity| capacity.0);
        let capacities: Vec<Option<u32>> = entries.iter().map(capacity).collect();
        capacities.iter().any(Option::is_some).then_some(Self { capacities })
    }

    fn apply_to(self, copy: &mut FleetCopy) {
        let list = copy.entries.as_mut().map(|entries| &mut entries.list);
        let Some(CopiedList::Whole(entries) | CopiedList::Change { put: entries, .. }) = list
        else {
            return;
        };
        for (entry, capacity) in entries.iter_mut().zip(self.capacities) {
            entry.capacity = capacity.map(InstanceCapacity);
        }
    }
}

/// Versions of the settings and members that an instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CopyVersion {
    pub(crate) settings: SettingsVersion,
    pub(crate) members: MembersVersion,
}

impl CopyVersion {
    /// Returns whether the settings or members of `other` are newer.
    pub(crate) fn lacks(self, other: Self) -> bool {
        other.settings > self.settings || other.members > self.members
    }
}

/// Serves copies of this instance's state, and forwarded requests, to peers that connect.
pub(crate) async fn serve_copies(engine: Arc<ProxyEngine>, listener: TcpListener) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(reason:% = error; "a peer's connection was not accepted");
                tokio::time::sleep(COPY_TIMEOUT / 10).await;
                continue;
            }
        };
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            match serve_connection(&engine, stream, peer).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::info!(
                    peer:% = peer, reason:% = error; "the store's state was not sent to a peer"
                ),
                Err(_) => log::info!(
                    peer:% = peer, reason = "timeout"; "the store's state was not sent to a peer"
                ),
            }
        });
    }
}

/// Serves a copy, or the records or forwarded requests if the connection starts with their mark.
async fn serve_connection(
    engine: &Arc<ProxyEngine>,
    mut stream: TcpStream,
    peer: SocketAddr,
) -> Result<std::io::Result<()>, Elapsed> {
    let deadline = tokio::time::Instant::now() + COPY_TIMEOUT;
    let length = match tokio::time::timeout_at(deadline, stream.read_u16()).await? {
        Ok(FORWARDING_MARK) => {
            serve_forwarding(Arc::clone(engine), stream, peer).await;
            return Ok(Ok(()));
        }
        Ok(RECORDS_MARK) => {
            return tokio::time::timeout_at(deadline, serve_records(engine, stream)).await;
        }
        Ok(length) => length,
        Err(error) => return Ok(Err(error)),
    };
    tokio::time::timeout_at(deadline, serve_copy(engine, stream, length)).await
}

async fn serve_copy(
    engine: &ProxyEngine,
    mut stream: TcpStream,
    length: u16,
) -> std::io::Result<()> {
    let received_at = boot_time();
    let mut bytes = vec![0; length.into()];
    stream.read_exact(&mut bytes).await?;
    let request: CopyRequest = postcard::from_bytes(&bytes).map_err(std::io::Error::other)?;
    let bytes = engine.encoded_copy().encode(engine, request, received_at)?;
    for chunk in bytes.chunks(CHUNK_BYTES) {
        with_chunk_timeout(stream.write_all(chunk)).await?;
    }
    Ok(())
}

/// Encoded copy as it was last sent.
///
/// Load pattern: while a fleet starts, the instances of a failure domain all fetch the same copy
/// within seconds, and encoding it takes several milliseconds of a core.
#[derive(Default)]
pub(crate) struct EncodedCopy {
    last: Mutex<Option<CachedCopy>>,
}

struct CachedCopy {
    request: CopyRequest,
    /// State that the copy was made of.
    known: CopyRequest,
    valid_until: Duration,
    bytes: Arc<[u8]>,
}

impl EncodedCopy {
    /// Encodes what `engine` knows beyond a request that was received at `received_at`.
    fn encode(
        &self,
        engine: &ProxyEngine,
        request: CopyRequest,
        received_at: Duration,
    ) -> std::io::Result<Arc<[u8]>> {
        let known = engine.copy_request();
        if let Some(cached) = &*lock(&self.last)
            && cached.request == request
            && cached.known == known
            && received_at < cached.valid_until
        {
            return Ok(Arc::clone(&cached.bytes));
        }
        // Times in a copy are relative to the receipt of its request. Relative to the end of the
        // validity they are never later than the actual ones, whenever the copy is used.
        let valid_until = received_at + COPY_VALIDITY;
        let bytes: Arc<[u8]> = encode_copy(&engine.fleet_copy(request, valid_until))?.into();
        let cached = CachedCopy { request, known, valid_until, bytes: Arc::clone(&bytes) };
        *lock(&self.last) = Some(cached);
        Ok(bytes)
    }
}

/// Encodes a copy for sending. Names recur in each of its entries, so it is compressed.
pub(super) fn encode_copy(copy: &FleetCopy) -> std::io::Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(copy).map_err(std::io::Error::other)?;
    if let Some(capacities) = CapacitiesCopy::of(copy) {
        let appended = postcard::to_stdvec(&capacities).map_err(std::io::Error::other)?;
        bytes.extend(appended);
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    encoder.finish()
}

/// Decodes a received copy.
pub(super) fn decode_copy(bytes: &[u8]) -> std::io::Result<FleetCopy> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes).take(COPY_BYTES_MAX).read_to_end(&mut plain)?;
    let (mut copy, appended) =
        postcard::take_from_bytes::<FleetCopy>(&plain).map_err(std::io::Error::other)?;
    if !appended.is_empty() {
        let capacities: CapacitiesCopy =
            postcard::from_bytes(appended).map_err(std::io::Error::other)?;
        capacities.apply_to(&mut copy);
    }
    Ok(copy)
}

async fn with_chunk_timeout<T>(
    operation: impl Future<Output = std::io::Result<T>>,
) -> std::io::Result<T> {
    let timed_out = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    tokio::time::timeout(CHUNK_TIMEOUT, operation).await.map_err(timed_out)?
}

/// Copy that this instance awaits by datagram.
#[derive(Default)]
pub(crate) struct PendingCopy {
    state: Mutex<PendingState>,
}

#[derive(Default)]
struct PendingState {
    request_id: u64,
    sender: Option<oneshot::Sender<Option<Vec<u8>>>>,
}

impl PendingCopy {
    /// Starts to await a copy, in place of any earlier one.
    fn begin(&self) -> (u64, oneshot::Receiver<Option<Vec<u8>>>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        state.request_id += 1;
        state.sender = Some(sender);
        (state.request_id, receiver)
    }

    /// Completes the awaited copy, if the response belongs to it.
    pub(crate) fn complete(&self, response: CopyResponse) {
        let mut state = lock(&self.state);
        if response.request_id == state.request_id
            && let Some(sender) = state.sender.take()
        {
            // The requester may have switched to a connection meanwhile.
            let _ = sender.send(response.copy);
        }
    }
}

/// Responds to a request for a copy.
pub(crate) async fn respond_with_copy(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    query: CopyQuery,
    from: SocketAddr,
) {
    let copy = match engine.encoded_copy().encode(engine, query.request, boot_time()) {
        Ok(bytes) => (bytes.len() <= DATAGRAM_BYTES_MAX).then(|| bytes.to_vec()),
        Err(error) => {
            log::error!(reason:% = error; "a copy could not be encoded");
            None
        }
    };
    let response = CopyResponse { request_id: query.request_id, copy };
    exchange.send(&PeerMessage::Copy(response), from).await;
}

/// Fetches what an instance knows beyond `request`: by datagram, or over a connection if the
/// response is missing, cannot be decoded or is too long for a datagram.
pub(crate) async fn fetch_copy(
    engine: &ProxyEngine,
    peer: SocketAddr,
    request: CopyRequest,
) -> Option<FleetCopy> {
    if let Some(bytes) = request_by_datagram(engine, peer, request).await {
        match decode_copy(&bytes) {
            Ok(copy) => return Some(copy),
            Err(error) => log::warn!(peer:% = peer, reason:% = error; "a copy is malformed"),
        }
    }
    fetch_by_connection(peer, request).await
}

async fn request_by_datagram(
    engine: &ProxyEngine,
    peer: SocketAddr,
    request: CopyRequest,
) -> Option<Vec<u8>> {
    let (request_id, response) = engine.pending_copy().begin();
    let message = PeerMessage::FetchCopy(CopyQuery { request_id, request });
    engine.exchange()?.send(&message, peer).await;
    // Without a response, a connection attempt shows whether the peer is running.
    tokio::time::timeout(DATAGRAM_TIMEOUT, response).await.ok()?.ok()?
}

async fn fetch_by_connection(peer: SocketAddr, request: CopyRequest) -> Option<FleetCopy> {
    match tokio::time::timeout(COPY_TIMEOUT, request_by_connection(peer, request)).await {
        Ok(Ok(copy)) => return Some(copy),
        Ok(Err(error)) => {
            log::info!(peer:% = peer, reason:% = error; "fetching a copy failed");
        }
        Err(_) => log::info!(peer:% = peer, reason = "timeout"; "fetching a copy failed"),
    }
    None
}

async fn request_by_connection(
    peer: SocketAddr,
    request: CopyRequest,
) -> std::io::Result<FleetCopy> {
    let mut stream = with_chunk_timeout(TcpStream::connect(peer)).await?;
    let request = postcard::to_stdvec(&request).map_err(std::io::Error::other)?;
    let length = u16::try_from(request.len()).map_err(std::io::Error::other)?;
    let framed = [length.to_be_bytes().as_slice(), &request].concat();
    stream.write_all(&framed).await?;
    let mut bytes = Vec::new();
    let mut stream = stream.take(COPY_BYTES_MAX);
    loop {
        bytes.reserve(CHUNK_BYTES);
        if with_chunk_timeout(stream.read_buf(&mut bytes)).await? == 0 {
            return decode_copy(&bytes);
        }
    }
}
