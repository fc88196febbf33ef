//! Copies of all records of primaries, which instances fetch from each other over a connection.
//!
//! Load pattern: a fleet before a thousand services starts. All records together exceed a datagram
//! by far, and if each instance read them from the store, the store's calls and the bytes between
//! regions would grow with instances times services.

use super::digest::RecordsDigest;
use super::message::RecordCopy;
use crate::engine::ProxyEngine;
use crate::sync::lock;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Read as _, Write as _};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// First bytes of a connection on which records are fetched, in place of the length of another
/// request.
pub(super) const RECORDS_MARK: u16 = 0xfffd;

/// Maximum size of the records that are read: those of about fifty thousand services.
const RECORDS_BYTES_MAX: u64 = 8 << 20;

/// Timeout for a copy: some 40 KB over a link of 20 Mbit/s that hundreds of instances share.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// Encoded records as they were last sent. While a fleet starts, hundreds of instances fetch the
/// same ones.
#[derive(Default)]
pub(crate) struct EncodedRecords {
    last: Mutex<Option<(RecordsDigest, Arc<[u8]>)>>,
}

impl EncodedRecords {
    fn encode(&self, engine: &ProxyEngine) -> std::io::Result<Arc<[u8]>> {
        let digest = engine.records_digest();
        if let Some((known, bytes)) = &*lock(&self.last)
            && *known == digest
        {
            return Ok(Arc::clone(bytes));
        }
        let bytes: Arc<[u8]> = encode_records(&engine.known_records())?.into();
        *lock(&self.last) = Some((digest, Arc::clone(&bytes)));
        Ok(bytes)
    }
}

/// Encodes records. Names recur in them, so they are compressed.
pub(super) fn encode_records(records: &[RecordCopy]) -> std::io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(records).map_err(std::io::Error::other)?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes)?;
    encoder.finish()
}

/// Decodes received records.
pub(super) fn decode_records(bytes: &[u8]) -> std::io::Result<Vec<RecordCopy>> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes).take(RECORDS_BYTES_MAX).read_to_end(&mut plain)?;
    postcard::from_bytes(&plain).map_err(std::io::Error::other)
}

/// Sends all records on a connection whose mark has been read.
pub(super) async fn serve_records(
    engine: &ProxyEngine,
    mut stream: TcpStream,
) -> std::io::Result<()> {
    let bytes = engine.encoded_records().encode(engine)?;
    stream.write_all(&bytes).await
}

/// Fetches all records that a peer knows.
pub(crate) async fn fetch_records(peer: SocketAddr) -> Option<Vec<RecordCopy>> {
    let reason = match tokio::time::timeout(COPY_TIMEOUT, request_records(peer)).await {
        Ok(Ok(records)) => return Some(records),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    log::info!(peer:% = peer, reason = reason.as_str(); "fetching the records of a peer failed");
    None
}

async fn request_records(peer: SocketAddr) -> std::io::Result<Vec<RecordCopy>> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.write_u16(RECORDS_MARK).await?;
    let mut bytes = Vec::new();
    stream.take(RECORDS_BYTES_MAX).read_to_end(&mut bytes).await?;
    decode_records(&bytes)
}
