//! A listener that stops listening during an outage, and connections that can be cut.

use super::faults::PlatformOutage;
use axum::extract::connect_info::Connected;
use axum::serve::{IncomingStream, Listener};
use futures::task::AtomicWaker;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long to wait before binding the address or accepting is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Breaks one connection from inside a request's handler.
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
    /// Breaks the connection; the handler that calls this is dropped with it.
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

/// A connection that [`ConnectionCut`] can break.
pub(crate) struct CuttableStream {
    stream: TcpStream,
    cut: ConnectionCut,
}

impl AsyncRead for CuttableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.cut.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CuttableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.cut.check(context)?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
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
}

impl FaultyListener {
    pub(crate) async fn bind(
        listen: SocketAddr,
        outage: watch::Receiver<PlatformOutage>,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(listen).await?;
        Ok(Self { address: socket.local_addr()?, socket: Some(socket), outage })
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
        Some((CuttableStream { stream, cut: ConnectionCut::default() }, peer))
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
