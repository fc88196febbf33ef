//! A TCP relay in front of a member that counts traffic.

use crate::MeasureError;
use rudder_standins::{Deployment, GroupStandin};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Size of the read buffer.
const BLOCK_BYTES: usize = 16 * 1024;

/// Traffic counters, shared by several relays.
#[derive(Default)]
pub(crate) struct RelayTraffic {
    /// Bytes in both directions, without TCP headers.
    pub(crate) bytes: AtomicU64,
    /// Blocks received from an instance; a status request arrives as one block.
    pub(crate) requests: AtomicU64,
}

/// A relay to one member, stopped on drop.
pub(crate) struct MemberRelay {
    /// Address of the member.
    pub(crate) target: SocketAddr,
    /// Address on which the relay listens.
    pub(crate) address: SocketAddr,
    _task: JoinSet<()>,
}

impl MemberRelay {
    /// Starts a relay for each member of `deployment`.
    pub(crate) async fn start_all(
        deployment: &Deployment,
        traffic: &Arc<RelayTraffic>,
    ) -> Result<Vec<Self>, MeasureError> {
        let mut relays = Vec::new();
        for (_, target) in deployment.groups.iter().flat_map(GroupStandin::members) {
            relays.push(Self::start(target, Arc::clone(traffic)).await?);
        }
        Ok(relays)
    }

    async fn start(target: SocketAddr, traffic: Arc<RelayTraffic>) -> Result<Self, MeasureError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target, traffic));
        Ok(Self { target, address, _task: task })
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, traffic: Arc<RelayTraffic>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else { continue };
        // Nagle's algorithm would delay small messages.
        if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
            continue;
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        connections.spawn(copy_counted(near_read, far_write, Arc::clone(&traffic), true));
        connections.spawn(copy_counted(far_read, near_write, Arc::clone(&traffic), false));
    }
}

async fn copy_counted(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    traffic: Arc<RelayTraffic>,
    is_request: bool,
) {
    let mut block = vec![0; BLOCK_BYTES];
    while let Ok(bytes @ 1..) = from.read(&mut block).await {
        traffic.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        traffic.requests.fetch_add(u64::from(is_request), Ordering::Relaxed);
        if to.write_all(&block[..bytes]).await.is_err() {
            return;
        }
    }
}
