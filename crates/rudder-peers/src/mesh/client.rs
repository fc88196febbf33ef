//! Client side of requests over TCP.

use super::error::PeerError;
use super::frame::{read_frame, write_frame};
use crate::wire::{RequestBody, RequestFrame, ResponseFrame, decode_response, encode_request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;

/// Counter that numbers requests, so that a response to another request is recognised.
#[derive(Debug, Default)]
pub(super) struct RequestCounter(AtomicU64);

impl RequestCounter {
    pub(super) fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}

/// Connection to a peer, for a few sequential requests.
pub(super) struct PeerConnection<'a> {
    stream: TcpStream,
    counter: &'a RequestCounter,
}

impl<'a> PeerConnection<'a> {
    pub(super) async fn open(
        address: SocketAddr,
        counter: &'a RequestCounter,
    ) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, counter })
    }

    /// Sends a request and waits for the response. After an error the connection must not be used
    /// again.
    ///
    /// Each request has its own number, and a connection is closed when a request on it was
    /// abandoned, so that a response cannot reach another request.
    pub(super) async fn request(&mut self, body: RequestBody) -> Result<ResponseFrame, PeerError> {
        let number = self.counter.next();
        let bytes = encode_request(&RequestFrame { number, body })?;
        write_frame(&mut self.stream, &bytes).await?;
        let response = decode_response(&read_frame(&mut self.stream).await?)?;
        if response.number() == number { Ok(response) } else { Err(PeerError::Mismatched) }
    }
}

/// Runs an exchange with a peer, bounded by a timeout.
pub(super) async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    tokio::time::timeout(timeout, work).await.map_err(|_| PeerError::TimedOut)?
}
