//! Frames and the errors of cutting them.

use bytes::Bytes;
use displaydoc::Display;
use rudder_core::ByteSize;

/// Bytes of a frame's tag and length.
pub(crate) const HEADER_SIZE: usize = 5;

/// Which part of a frame some bytes are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramePart {
    /// The whole frame.
    Whole,
    /// Its beginning, header included; more parts follow.
    Start,
    /// A part in the middle.
    Middle,
    /// Its end.
    End,
}

/// A frame, or a part of a large row or COPY frame, with its header where it begins.
#[derive(Clone, Debug)]
pub struct WireFrame {
    /// The frame's tag.
    pub tag: u8,
    /// Which part the bytes are.
    pub part: FramePart,
    /// The bytes, header included in the first part.
    pub bytes: Bytes,
}

impl WireFrame {
    /// The body of a whole frame: everything after tag and length.
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

/// The first packet of a connection, which has no tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// The caller asks for TLS.
    TlsRequest,
    /// The caller asks for GSS encryption.
    GssRequest,
    /// The caller asks to cancel another connection's statement.
    CancelRequest {
        /// The process id given at that connection's login.
        process_id: i32,
        /// The secret given at that connection's login.
        secret: i32,
    },
    /// A login with its parameters, in the caller's order.
    Login(Vec<(String, String)>),
}

/// Why a connection's bytes cannot be read or sent.
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
        /// The announced size.
        size: ByteSize,
        /// The greatest size allowed.
        limit: ByteSize,
    },
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
