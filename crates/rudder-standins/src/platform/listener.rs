//! A listener that closes its socket during an outage, and connections that can be cut.

use super::faults::PlatformOutage;
use axum::extract::connect_info::Connected;
use axum::serve::{IncomingStream, Listener};
use futures::task::AtomicWaker;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay before binding or accepting is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Resets one connection from within a request handler.
#[derive(Clone, Default)]
pub(crate) struct ConnectionCut {
    state: Arc<CutState>,
}

#[derive(Default)]
struct CutState {
    cut: AtomicBool,
    waker: AtomicWaker,
}

impl ConnectionCut {
    /// Resets the connection. The calling handler is dropped with it.
    pub(crate) async fn cut(&self) -> ! {
        self.state.cut.store(true, Ordering::Release);
        self.state.waker.wake();
        std::future::pending().await
    }

    fn check(&self, context: &Context<'_>) -> io::Result<()> {
        self.state.waker.register(context.waker());
        if self.state.cut.load(Ordering::Acquire) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl Connected<IncomingStream<'_, FaultyListener>> for ConnectionCut {
    fn connect_info(stream: IncomingStream<'_, FaultyListener>) -> Self {
        stream.io().cut.clone()
    }
}

/// Byte counters over all connections.
#[derive(Default)]
pub(crate) struct WireCounters {
    pub(crate) received: AtomicU64,
    pub(crate) sent: AtomicU64,
}

/// A connection that [`ConnectionCut`] can reset.
pub(crate) struct CuttableStream {
    stream: TcpStream,
    cut: ConnectionCut,
    counters: Arc<WireCounters>,
}

impl AsyncRead for CuttableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.cut.check(context)?;
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - filled) as u64;
        self.counters.received.fetch_add(read, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CuttableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.cut.check(context)?;
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(written)) = polled {
            self.counters.sent.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A listener that closes its socket while an outage refuses connections.
pub(crate) struct FaultyListener {
    address: SocketAddr,
    socket: Option<TcpListener>,
    outage: watch::Receiver<PlatformOutage>,
    counters: Arc<WireCounters>,
}

impl FaultyListener {
    pub(crate) async fn bind(
        listen: SocketAddr,
        outage: watch::Receiver<PlatformOutage>,
        counters: Arc<WireCounters>,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(listen).await?;
        Ok(Self { address: socket.local_addr()?, socket: Some(socket), outage, counters })
    }

    async fn accept_once(&mut self) -> Option<(CuttableStream, SocketAddr)> {
        if *self.outage.borrow_and_update() == PlatformOutage::Refused {
            self.socket = None;
            self.await_change().await;
            return None;
        }
        if self.socket.is_none() {
            self.socket = TcpListener::bind(self.address).await.ok();
        }
        let Some(socket) = &self.socket else {
            tokio::time::sleep(RETRY_PAUSE).await;
            return None;
        };
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = self.outage.changed() => return None,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(RETRY_PAUSE).await;
            return None;
        };
        let (cut, counters) = (ConnectionCut::default(), Arc::clone(&self.counters));
        Some((CuttableStream { stream, cut, counters }, peer))
    }

    async fn await_change(&mut self) {
        if self.outage.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Listener for FaultyListener {
    type Io = CuttableStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (CuttableStream, SocketAddr) {
        loop {
            if let Some(accepted) = self.accept_once().await {
                return accepted;
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}
