//! Encoding and decoding of messages, with bounds on the size of received ones.

use super::datagram::{PeerDatagram, WireDatagram};
use super::entry::WireEntry;
use super::error::WireError;
use super::hint::WireHint;
use super::request::{RequestFrame, ResponseFrame, WireRequest, WireResponse};
use crate::hints::PeerHint;
use crate::member::PeerEntry;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Protocol version, sent as the first byte of each message.
const WIRE_VERSION: u8 = 1;

/// Maximum size of a datagram. It stays below the smallest MTU on the path (1280 in IPv6), so that
/// datagrams are not fragmented and the loss of one fragment never loses a whole datagram.
pub(crate) const DATAGRAM_BYTES_MAX: usize = 1200;

/// Maximum size of a frame: a settings revision of up to one megabyte, with room for its list of
/// files.
pub(crate) const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;

pub(crate) fn encode_datagram(datagram: &PeerDatagram) -> Result<Vec<u8>, WireError> {
    encode(&WireDatagram::from(datagram), DATAGRAM_BYTES_MAX)
}

pub(crate) fn decode_datagram(bytes: &[u8]) -> Result<PeerDatagram, WireError> {
    decode::<WireDatagram>(bytes, DATAGRAM_BYTES_MAX)?.try_into()
}

pub(crate) fn encode_request(frame: &RequestFrame) -> Result<Vec<u8>, WireError> {
    encode(&WireRequest::from(frame), FRAME_BYTES_MAX)
}

pub(crate) fn decode_request(bytes: &[u8]) -> Result<RequestFrame, WireError> {
    decode::<WireRequest>(bytes, FRAME_BYTES_MAX)?.try_into()
}

pub(crate) fn encode_response(frame: &ResponseFrame) -> Result<Vec<u8>, WireError> {
    encode(&WireResponse::from(frame), FRAME_BYTES_MAX)
}

pub(crate) fn decode_response(bytes: &[u8]) -> Result<ResponseFrame, WireError> {
    decode::<WireResponse>(bytes, FRAME_BYTES_MAX)?.try_into()
}

/// Returns the bytes that an entry adds to a datagram.
pub(crate) fn encoded_entry_size(entry: &PeerEntry) -> usize {
    encoded_size(&WireEntry::from(entry))
}

/// Returns the bytes that a hint adds to a datagram.
pub(crate) fn encoded_hint_size(hint: &PeerHint) -> usize {
    encoded_size(&WireHint::from(hint))
}

fn encoded_size<T: Serialize>(wire: &T) -> usize {
    postcard::to_stdvec(wire).map_or(DATAGRAM_BYTES_MAX, |bytes| bytes.len())
}

fn encode<T: Serialize>(wire: &T, bytes_max: usize) -> Result<Vec<u8>, WireError> {
    let bytes = postcard::to_extend(wire, vec![WIRE_VERSION]).map_err(|_| WireError::Encode)?;
    if bytes.len() > bytes_max {
        return Err(WireError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message. Protects against malicious and corrupted input: the length is bounded before
/// anything is allocated, lengths inside the message cannot exceed it, and each value is validated.
fn decode<T: DeserializeOwned>(bytes: &[u8], bytes_max: usize) -> Result<T, WireError> {
    if bytes.len() > bytes_max {
        return Err(WireError::TooLong(bytes.len()));
    }
    let (&version, rest) = bytes.split_first().ok_or(WireError::Empty)?;
    if version != WIRE_VERSION {
        return Err(WireError::Version(version));
    }
    let (wire, trailing) = postcard::take_from_bytes(rest).map_err(|_| WireError::Malformed)?;
    if !trailing.is_empty() {
        return Err(WireError::Trailing(trailing.len()));
    }
    Ok(wire)
}
