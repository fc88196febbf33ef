//! Framing over TCP: the length in four bytes, followed by the message.

use super::error::PeerError;
use crate::wire::{FRAME_BYTES_MAX, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of one read. More memory is allocated only as bytes arrive, so that a peer that
/// announces a large length does not cause a large allocation.
const CHUNK_BYTES: u64 = 64 * 1024;

pub(super) async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), PeerError> {
    let length = u32::try_from(bytes.len()).map_err(|_| WireError::TooLong(bytes.len()))?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(bytes).await?;
    metrics::counter!("rudder_peer_bytes_total", "kind" => "stream")
        .increment(u64::from(length) + 4);
    Ok(())
}

pub(super) async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>, PeerError> {
    let length = stream.read_u32().await?;
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > FRAME_BYTES_MAX {
        return Err(WireError::TooLong(length).into());
    }
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let missing = u64::try_from(length - bytes.len()).unwrap_or(u64::MAX);
        let read = (&mut *stream).take(missing.min(CHUNK_BYTES)).read_to_end(&mut bytes).await?;
        if read == 0 {
            return Err(WireError::Malformed.into());
        }
    }
    Ok(bytes)
}
