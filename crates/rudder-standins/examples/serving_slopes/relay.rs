//! A relay before a member that counts what passes.

use crate::MeasureError;
use rudder_standins::{Deployment, GroupStandin};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Bytes read at once.
const BLOCK_BYTES: usize = 16 * 1024;

/// What passed through all relays that share the counter.
#[derive(Default)]
pub(crate) struct PassedTraffic {
    /// Bytes in both directions, without headers of TCP.
    pub(crate) bytes: AtomicU64,
    /// Blocks that an instance sent; a status question is one.
    pub(crate) questions: AtomicU64,
}

/// A relay; dropping it ends it.
pub(crate) struct MemberRelay {
    /// The member.
    pub(crate) target: SocketAddr,
    /// Where the relay listens.
    pub(crate) address: SocketAddr,
    _task: JoinSet<()>,
}

impl MemberRelay {
    /// Starts relays before all members of `deployment`.
    pub(crate) async fn start_all(
        deployment: &Deployment,
        passed: &Arc<PassedTraffic>,
    ) -> Result<Vec<Self>, MeasureError> {
        let mut relays = Vec::new();
        for (_, target) in deployment.groups.iter().flat_map(GroupStandin::members) {
            relays.push(Self::start(target, Arc::clone(passed)).await?);
        }
        Ok(relays)
    }

    async fn start(target: SocketAddr, passed: Arc<PassedTraffic>) -> Result<Self, MeasureError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mut task = JoinSet::new();
        task.spawn(accept(listener, target, passed));
        Ok(Self { target, address, _task: task })
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, passed: Arc<PassedTraffic>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else { continue };
        // Without this the kernel would hold small messages back.
        if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
            continue;
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        connections.spawn(carry(near_read, far_write, Arc::clone(&passed), true));
        connections.spawn(carry(far_read, near_write, Arc::clone(&passed), false));
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    passed: Arc<PassedTraffic>,
    asks: bool,
) {
    let mut block = vec![0; BLOCK_BYTES];
    while let Ok(bytes @ 1..) = from.read(&mut block).await {
        passed.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        passed.questions.fetch_add(u64::from(asks), Ordering::Relaxed);
        if to.write_all(&block[..bytes]).await.is_err() {
            return;
        }
    }
}
