//! Buffered connection that splits the received bytes into frames.

use super::frame::{FramePart, HEADER_SIZE, StartupPacket, WireError, WireFrame};
use super::tag;
use bytes::{Buf, BytesMut};
use futures::future::poll_fn;
use rudder_core::ByteSize;
use rudder_decisions::MemoryReservation;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::io::poll_read_buf;

/// Size above which rows and COPY data are forwarded in parts, so that a large value is not held
/// in memory as a whole.
const SPLIT_THRESHOLD: usize = 64 * 1024;

/// Maximum number of bytes per read; a batch of small frames fits.
const READ_SIZE: usize = 16 * 1024;

/// Capacity that the write buffer of an idle connection may keep for its next response.
const IDLE_BUFFER_MAX: usize = 1024;

/// Number of unsent bytes at which the sender waits for the remote side to read.
const HIGH_WATER_MARK: usize = 256 * 1024;

/// The same, while memory is scarce.
const LOW_WATER_MARK: usize = 16 * 1024;

/// Maximum size of a login packet, the same as in `PostgreSQL`: 10,000 bytes.
const STARTUP_SIZE_MAX: usize = 10_000;

const TLS_REQUEST_CODE: i32 = 80_877_103;
const GSS_REQUEST_CODE: i32 = 80_877_104;
const CANCEL_REQUEST_CODE: i32 = 80_877_102;
const PROTOCOL_MAJOR: i32 = 3;

/// Bidirectional byte stream: plain TCP or TLS.
pub trait LinkStream: AsyncRead + AsyncWrite + Send + Sync + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Sync + Unpin> LinkStream for S {}

/// Byte stream with a read buffer that is split into frames, and a write buffer.
pub struct WireLink {
    stream: Box<dyn LinkStream>,
    incoming: BytesMut,
    outgoing: BytesMut,
    /// Bytes still to be returned of a frame that is returned in parts; 0 between frames.
    part_left: usize,
    /// Tag of the frame that is returned in parts.
    part_tag: u8,
    frame_size_max: ByteSize,
    /// Memory of both buffers, if it counts against a budget.
    memory: Option<MemoryReservation>,
}

impl WireLink {
    /// Wraps a stream. Frames other than rows and COPY data may have up to `frame_size_max` bytes.
    ///
    /// ```
    /// let (local, _remote) = tokio::io::duplex(64);
    /// let link = rudder_endpoint::WireLink::new(Box::new(local), rudder_core::ByteSize(1024));
    /// assert!(!link.has_buffered_frame());
    /// ```
    #[must_use]
    pub fn new(stream: Box<dyn LinkStream>, frame_size_max: ByteSize) -> Self {
        Self {
            stream,
            incoming: BytesMut::new(),
            outgoing: BytesMut::new(),
            part_left: 0,
            part_tag: 0,
            frame_size_max,
            memory: None,
        }
    }

    /// Counts the memory of both buffers against a budget. The connection fails when it is used up.
    ///
    /// ```
    /// use rudder_core::ByteSize;
    /// let budget = rudder_decisions::MemoryBudget::new(ByteSize(1 << 20));
    /// let (local, _remote) = tokio::io::duplex(64);
    /// let mut link = rudder_endpoint::WireLink::new(Box::new(local), ByteSize(1024));
    /// link.set_memory(budget.reservation(ByteSize(16 * 1024)));
    /// ```
    pub fn set_memory(&mut self, memory: MemoryReservation) {
        self.memory = Some(memory);
    }

    /// Returns the stream for an upgrade to TLS.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] if bytes were received before the upgrade: an attacker between the
    /// two ends could have injected them.
    pub fn into_stream(self) -> Result<Box<dyn LinkStream>, WireError> {
        if self.incoming.is_empty() {
            return Ok(self.stream);
        }
        Err(WireError::Malformed("bytes were sent ahead of the change to TLS"))
    }

    /// Returns the write buffer, whose bytes are sent with the next read or flush.
    pub fn write_buffer(&mut self) -> &mut BytesMut {
        &mut self.outgoing
    }

    /// Whether a frame, or a part of one, can be returned without waiting.
    #[must_use]
    pub fn has_buffered_frame(&self) -> bool {
        if self.part_left > 0 {
            return !self.incoming.is_empty();
        }
        self.incoming.len() >= HEADER_SIZE && self.incoming.len() >= self.frame_size()
    }

    /// Whether the write buffer should be flushed before more bytes are appended.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        let is_scarce = self.memory.as_ref().is_some_and(MemoryReservation::is_scarce);
        self.outgoing.len() >= if is_scarce { LOW_WATER_MARK } else { HIGH_WATER_MARK }
    }

    /// Whether the connection is open and nothing was received. Does not wait for bytes.
    pub async fn is_idle(&mut self) -> bool {
        if !self.incoming.is_empty() {
            return false;
        }
        poll_fn(|cx| match self.poll_receive(cx) {
            Poll::Pending => Poll::Ready(true),
            Poll::Ready(_) => Poll::Ready(false),
        })
        .await
    }

    /// Returns the next frame, or the next part of a large row or COPY frame. Sends the write
    /// buffer while it waits.
    ///
    /// # Errors
    ///
    /// [`WireError`] when the remote side closed the connection, the connection failed, or the
    /// bytes are not a frame.
    pub async fn next_frame(&mut self) -> Result<WireFrame, WireError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            poll_fn(|cx| self.poll_exchange(cx)).await?;
        }
    }

    /// Waits until a frame, or a part of one, can be returned without waiting. Sends the write
    /// buffer meanwhile. Cancelling the wait loses no bytes.
    ///
    /// # Errors
    ///
    /// [`WireError`] when the remote side closed the connection or the connection failed.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// use tokio::io::AsyncWriteExt;
    /// let (local, mut remote) = tokio::io::duplex(64);
    /// let mut link = rudder_endpoint::WireLink::new(Box::new(local), rudder_core::ByteSize(1024));
    /// remote.write_all(b"S\0\0\0\x04").await.unwrap();
    /// link.wait_for_frame().await.unwrap();
    /// assert!(link.has_buffered_frame());
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn wait_for_frame(&mut self) -> Result<(), WireError> {
        while !self.has_buffered_frame() {
            poll_fn(|cx| self.poll_exchange(cx)).await?;
        }
        Ok(())
    }

    /// Returns the allocated size of both buffers.
    ///
    /// ```
    /// let (local, _remote) = tokio::io::duplex(64);
    /// let link = rudder_endpoint::WireLink::new(Box::new(local), rudder_core::ByteSize(1024));
    /// assert_eq!(link.buffer_size(), rudder_core::ByteSize(0));
    /// ```
    #[must_use]
    pub fn buffer_size(&self) -> ByteSize {
        ByteSize((self.incoming.capacity() + self.outgoing.capacity()) as u64)
    }

    /// Sets the maximum size of frames other than rows and COPY data.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// use rudder_core::ByteSize;
    /// use tokio::io::AsyncWriteExt;
    /// let (local, mut remote) = tokio::io::duplex(64);
    /// let mut link = rudder_endpoint::WireLink::new(Box::new(local), ByteSize(8));
    /// link.set_frame_size_max(ByteSize(9));
    /// remote.write_all(b"Q\0\0\0\x08abc\0").await.unwrap();
    /// assert_eq!(link.next_frame().await.unwrap().body(), b"abc\0");
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn set_frame_size_max(&mut self, frame_size_max: ByteSize) {
        self.frame_size_max = frame_size_max;
    }

    /// Returns the first packet of a caller's connection.
    ///
    /// # Errors
    ///
    /// [`WireError`] as for [`WireLink::next_frame`].
    pub async fn next_startup_packet(&mut self) -> Result<StartupPacket, WireError> {
        loop {
            if let Some(packet) = self.take_startup()? {
                return Ok(packet);
            }
            poll_fn(|cx| self.poll_exchange(cx)).await?;
        }
    }

    /// Sends the whole write buffer.
    ///
    /// # Errors
    ///
    /// [`WireError`] when the connection failed.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        poll_fn(|cx| {
            ready!(self.poll_send(cx))?;
            Pin::new(&mut self.stream).poll_flush(cx).map_err(WireError::from)
        })
        .await
    }

    fn frame_size(&self) -> usize {
        let length = (&self.incoming[1..HEADER_SIZE]).get_u32();
        length as usize + 1
    }

    fn take_frame(&mut self) -> Result<Option<WireFrame>, WireError> {
        if self.part_left > 0 {
            return Ok(self.take_part());
        }
        if self.incoming.len() < HEADER_SIZE {
            return Ok(None);
        }
        let tag = self.incoming[0];
        let size = self.frame_size();
        if size < HEADER_SIZE {
            return Err(WireError::Malformed("a length is below four"));
        }
        if self.incoming.len() >= size {
            let bytes = self.incoming.split_to(size).freeze();
            if size > SPLIT_THRESHOLD {
                self.release_memory();
            }
            return Ok(Some(WireFrame { tag, part: FramePart::Whole, bytes }));
        }
        let in_parts = size > SPLIT_THRESHOLD && matches!(tag, tag::DATA_ROW | tag::COPY_DATA);
        if in_parts {
            return Ok(Some(self.start_parts(tag, size)));
        }
        let limit = self.frame_size_max;
        if size as u64 > limit.0 {
            return Err(WireError::TooLong { size: ByteSize(size as u64), limit });
        }
        // No memory is reserved for the declared size; the buffer grows as bytes are received.
        Ok(None)
    }

    fn start_parts(&mut self, tag: u8, size: usize) -> WireFrame {
        let bytes = self.incoming.split().freeze();
        self.part_left = size - bytes.len();
        self.part_tag = tag;
        WireFrame { tag, part: FramePart::Start, bytes }
    }

    fn take_part(&mut self) -> Option<WireFrame> {
        if self.incoming.is_empty() {
            return None;
        }
        let size = self.incoming.len().min(self.part_left);
        let bytes = self.incoming.split_to(size).freeze();
        self.part_left -= size;
        let part = if self.part_left == 0 { FramePart::End } else { FramePart::Middle };
        Some(WireFrame { tag: self.part_tag, part, bytes })
    }

    fn take_startup(&mut self) -> Result<Option<StartupPacket>, WireError> {
        if self.incoming.len() < 4 {
            return Ok(None);
        }
        let size = (&self.incoming[..4]).get_u32() as usize;
        if !(8..=STARTUP_SIZE_MAX).contains(&size) {
            return Err(WireError::Malformed("the first packet is not a PostgreSQL login"));
        }
        if self.incoming.len() < size {
            return Ok(None);
        }
        let mut packet = self.incoming.split_to(size).freeze();
        packet.advance(4);
        let code = packet.get_i32();
        match code {
            TLS_REQUEST_CODE => Ok(Some(StartupPacket::TlsRequest)),
            GSS_REQUEST_CODE => Ok(Some(StartupPacket::GssRequest)),
            CANCEL_REQUEST_CODE if packet.len() >= 8 => {
                let process_id = packet.get_i32();
                let secret = packet.get_i32();
                Ok(Some(StartupPacket::CancelRequest { process_id, secret }))
            }
            _ if code >> 16 == PROTOCOL_MAJOR => read_parameters(&packet).map(Some),
            _ => Err(WireError::Malformed("the protocol version is not 3")),
        }
    }

    fn poll_exchange(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), WireError>> {
        // Sends and receives in one step: a member that stops reading until its own responses
        // are read would otherwise block both sides for ever.
        match self.poll_send(cx) {
            Poll::Ready(Ok(())) => {
                if let Poll::Ready(Err(error)) = Pin::new(&mut self.stream).poll_flush(cx) {
                    return Poll::Ready(Err(error.into()));
                }
            }
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => {}
        }
        self.poll_receive(cx)
    }

    fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), WireError>> {
        while !self.outgoing.is_empty() {
            let Poll::Ready(sent) = Pin::new(&mut self.stream).poll_write(cx, &self.outgoing)
            else {
                self.reserve_memory(self.incoming.capacity())?;
                return Poll::Pending;
            };
            let sent = sent?;
            if sent == 0 {
                return Poll::Ready(Err(WireError::Closed));
            }
            self.outgoing.advance(sent);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), WireError>> {
        let count = if self.incoming.is_empty() && self.part_left == 0 {
            ready!(self.poll_receive_first(cx))?
        } else {
            if self.incoming.capacity() == self.incoming.len() {
                self.grow_incoming()?;
            }
            ready!(poll_read_buf(Pin::new(&mut self.stream), cx, &mut self.incoming))?
        };
        if count == 0 {
            return Poll::Ready(Err(WireError::Closed));
        }
        Poll::Ready(Ok(()))
    }

    /// Enlarges the read buffer, for a frame of known size no further than to its end.
    fn grow_incoming(&mut self) -> Result<(), WireError> {
        let length = self.incoming.len();
        let frame_size =
            if length < HEADER_SIZE || self.part_left > 0 { READ_SIZE } else { self.frame_size() };
        let capacity = (2 * length).min(frame_size).max(length + READ_SIZE);
        self.reserve_memory(capacity)?;
        // `BytesMut::reserve` would double the buffer, also for the last bytes of a large frame.
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.incoming);
        self.incoming = grown;
        Ok(())
    }

    /// Accounts for a read buffer of this capacity and for the bytes that are not sent yet.
    fn reserve_memory(&mut self, incoming: usize) -> Result<(), WireError> {
        let size = ByteSize((incoming + self.outgoing.len()) as u64);
        let Some(memory) = &mut self.memory else { return Ok(()) };
        memory.resize(size).map_err(|_| WireError::NoMemory)
    }

    /// Accounts for buffers that have become smaller.
    fn release_memory(&mut self) {
        let size = ByteSize((self.incoming.capacity() + self.outgoing.len()) as u64);
        if let Some(memory) = &mut self.memory
            && memory.resize(size).is_err()
        {
            log::debug!("the write buffer of a connection has grown beyond the memory budget");
        }
    }

    /// Receives the first bytes into a buffer on the stack, so that a waiting connection holds no
    /// read buffer: thousands of connections are idle at a time.
    fn poll_receive_first(&mut self, cx: &mut Context<'_>) -> Poll<std::io::Result<usize>> {
        let mut buffer = [const { MaybeUninit::uninit() }; READ_SIZE];
        let mut read = ReadBuf::uninit(&mut buffer);
        if Pin::new(&mut self.stream).poll_read(cx, &mut read)?.is_pending() {
            self.incoming = BytesMut::new();
            self.release_memory();
            if self.outgoing.is_empty() && self.outgoing.capacity() > IDLE_BUFFER_MAX {
                self.outgoing = BytesMut::new();
            }
            return Poll::Pending;
        }
        self.incoming.extend_from_slice(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }
}

fn read_parameters(packet: &[u8]) -> Result<StartupPacket, WireError> {
    let mut fields = packet.split(|&byte| byte == 0).map(std::str::from_utf8);
    let mut parameters = Vec::new();
    loop {
        let name = match fields.next() {
            Some(Ok("")) | None => return Ok(StartupPacket::Login(parameters)),
            Some(Ok(name)) => name.to_owned(),
            Some(Err(_)) => return Err(WireError::Malformed("a login parameter is not UTF-8")),
        };
        match fields.next() {
            Some(Ok(value)) => parameters.push((name, value.to_owned())),
            _ => return Err(WireError::Malformed("a login parameter has no value")),
        }
    }
}
