//! Encoding of the messages between instances: a version byte, followed by `postcard`.
//!
//! The wire types mirror the domain types but hold plain strings and numbers, so that a change of a
//! domain type does not silently change the encoding. Every received value is validated when it is
//! converted into a domain type.

mod codec;
mod datagram;
mod entry;
mod error;
mod hint;
mod request;
mod size;
#[cfg(test)]
mod tests;

pub(crate) use codec::{
    DATAGRAM_BYTES_MAX, FRAME_BYTES_MAX, decode_datagram, decode_request, decode_response,
    encode_datagram, encode_request, encode_response, encoded_entry_size, encoded_hint_size,
};
pub(crate) use datagram::{DatagramBody, PeerDatagram};
pub use error::WireError;
pub use request::{PeerReply, PeerRequest};
pub(crate) use request::{PeerTableFrame, RequestBody, RequestFrame, ResponseFrame};
pub use size::{groups_bytes, heartbeat_bytes, table_bytes};
