//! Framing of a forwarding connection: each side first sends the preamble with its version, then
//! messages in `postcard`, each behind its length.

use super::wire::{HolderFrame, OriginFrame};
use crate::sync::lock;
use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// First two bytes of a forwarding connection. A request for a copy starts with its length, which
/// is never that large.
pub(crate) const FORWARDING_MARK: u16 = 0xFFFF;

/// Version of the messages. Peers with another version do not forward to each other.
pub(crate) const WIRE_VERSION: u8 = 1;

/// Maximum size of a message. A caller's line has up to 1 MiB, and a request contains at most the
/// line, a prepared statement and the session values.
pub(super) const FRAME_BYTES_MAX: usize = 4 << 20;

/// Rate that a link between instances has at least; a message may take this long to arrive before
/// the peer counts as silent. The slowest links carry 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 1_000_000;

/// Returns the bytes that each side sends first.
pub(crate) fn preamble() -> [u8; 3] {
    let [first, second] = FORWARDING_MARK.to_be_bytes();
    [first, second, WIRE_VERSION]
}

/// Reason why a forwarding connection ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// closed_by_peer
    Closed,
    /// silent
    Silent,
    /// broken
    Broken,
    /// malformed
    Malformed,
    /// idle
    Idle,
    /// version
    Version,
    /// repeated_request
    Repeated,
}

impl From<std::io::Error> for ConnectionEnd {
    /// The length codec reports an excessive length as invalid data.
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::InvalidData => Self::Malformed,
            std::io::ErrorKind::UnexpectedEof => Self::Closed,
            _ => Self::Broken,
        }
    }
}

/// When a peer was last heard, and how long messages to it may still be on their way.
#[derive(Clone, Debug)]
pub(super) struct LinkActivity(Arc<Mutex<ActivityTimes>>);

#[derive(Debug)]
struct ActivityTimes {
    received_at: Instant,
    /// Time after `received_at` that the link may need for what was written.
    transfer: Duration,
}

impl LinkActivity {
    pub(super) fn new() -> Self {
        let times = ActivityTimes { received_at: Instant::now(), transfer: Duration::ZERO };
        Self(Arc::new(Mutex::new(times)))
    }

    fn record_received(&self) {
        let now = Instant::now();
        let mut times = lock(&self.0);
        times.transfer = times.transfer.saturating_sub(now - times.received_at);
        times.received_at = now;
    }

    /// Records that bytes were handed to the network stack, which may take long to transfer them.
    pub(super) fn record_written(&self, bytes: usize) {
        let micros = (bytes as u64).saturating_mul(1_000_000) / LINK_BYTES_PER_SECOND;
        lock(&self.0).transfer += Duration::from_micros(micros);
    }

    /// Returns the time at which the peer counts as silent, if it was expected to send something
    /// since `since` and may take `timeout` for it.
    pub(super) fn silent_at(&self, since: Instant, timeout: Duration) -> Instant {
        let times = lock(&self.0);
        let since = since.max(times.received_at);
        since + timeout + times.transfer.saturating_sub(since - times.received_at)
    }
}

/// Decodes messages of type `T`. Each received part of a message counts as activity of the peer, so
/// that a long message on a slow link is not taken for silence.
pub(super) struct FrameDecoder<T> {
    lengths: LengthDelimitedCodec,
    activity: LinkActivity,
    message: PhantomData<fn() -> T>,
}

impl<T> FrameDecoder<T> {
    pub(super) fn new(activity: LinkActivity) -> Self {
        Self { lengths: length_codec(), activity, message: PhantomData }
    }
}

impl<T: DeserializeOwned> Decoder for FrameDecoder<T> {
    type Item = (T, usize);
    type Error = std::io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<(T, usize)>, std::io::Error> {
        if !source.is_empty() {
            self.activity.record_received();
        }
        let Some(bytes) = self.lengths.decode(source)? else { return Ok(None) };
        let invalid = |error| std::io::Error::new(std::io::ErrorKind::InvalidData, error);
        match postcard::take_from_bytes(&bytes) {
            Ok((message, [])) => Ok(Some((message, bytes.len()))),
            Ok(_) => Err(invalid(postcard::Error::DeserializeBadEncoding)),
            Err(error) => Err(invalid(error)),
        }
    }
}

/// Returns the codec of the lengths.
pub(super) fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}

/// Encodes a message; `None` if it is too large to be sent.
fn encode(message: &impl Serialize) -> Option<Bytes> {
    match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= FRAME_BYTES_MAX => Some(bytes.into()),
        Ok(bytes) => {
            log::info!(bytes = bytes.len(); "a message is too large to be forwarded");
            None
        }
        Err(error) => {
            log::error!(reason:% = error; "a message could not be encoded");
            None
        }
    }
}

/// Encodes a message to a holder; `None` if it is too large to be sent.
pub(super) fn encode_to_holder(message: &OriginFrame) -> Option<Bytes> {
    encode(message)
}

/// Encodes a message to an origin; `None` if it is too large to be sent.
pub(super) fn encode_to_origin(message: &HolderFrame) -> Option<Bytes> {
    encode(message)
}
