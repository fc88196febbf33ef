//! Frames, startup packets and the errors of reading them.

use bytes::Bytes;
use displaydoc::Display;
use rudder_core::ByteSize;

/// Size of a frame's tag and length in bytes.
pub(crate) const HEADER_SIZE: usize = 5;

/// Part of a frame that a [`WireFrame`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramePart {
    /// The whole frame.
    Whole,
    /// The first part, with the header; more parts follow.
    Start,
    /// A part between the first and the last.
    Middle,
    /// The last part.
    End,
}

/// Frame, or part of a large row or COPY frame; the first part holds the header.
#[derive(Clone, Debug)]
pub struct WireFrame {
    /// Tag of the frame, also in later parts.
    pub tag: u8,
    /// Part of the frame that the bytes hold.
    pub part: FramePart,
    /// Bytes of the part; the first part includes the header.
    pub bytes: Bytes,
}

impl WireFrame {
    /// Returns the body of a whole frame: everything after tag and length.
    ///
    /// ```
    /// use rudder_endpoint::{FramePart, WireFrame};
    /// let frame = WireFrame { tag: b'Z', part: FramePart::Whole, bytes: b"Z\0\0\0\x05I"[..].into() };
    /// assert_eq!(frame.body(), b"I");
    /// ```
    #[must_use]
    pub fn body(&self) -> &[u8] {
        self.bytes.get(HEADER_SIZE..).unwrap_or_default()
    }
}

/// First packet of a connection, which has no tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// The caller asks for TLS.
    TlsRequest,
    /// The caller asks for GSS encryption.
    GssRequest,
    /// The caller asks to cancel another connection's statement.
    CancelRequest {
        /// Process id assigned at that connection's login.
        process_id: i32,
        /// Secret assigned at that connection's login.
        secret: i32,
    },
    /// Login with its parameters, in the order the caller sent them.
    Login(Vec<(String, String)>),
}

/// Error of reading frames from a connection or writing to it.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum WireError {
    /// the other side closed the connection
    Closed,
    /// the connection failed: {0}
    Failed(std::io::Error),
    /// the bytes are not a frame of the PostgreSQL protocol 3.0: {0}
    Malformed(&'static str),
    /// a message of {size} bytes is longer than the allowed {limit}
    TooLong {
        /// Size that the frame's header declares.
        size: ByteSize,
        /// Maximum size allowed.
        limit: ByteSize,
    },
    /// too much memory is in use
    NoMemory,
}

impl std::error::Error for WireError {}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::UnexpectedEof => Self::Closed,
            _ => Self::Failed(error),
        }
    }
}
