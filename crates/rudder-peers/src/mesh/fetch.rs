//! Fetching of state from a peer that datagrams did not deliver.

use super::client::{PeerConnection, RequestCounter, with_timeout};
use super::command::MeshCommand;
use super::error::PeerError;
use crate::member::PeerEntry;
use crate::node::FetchKind;
use crate::wire::{PeerTableFrame, RequestBody, ResponseFrame};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Maximum duration of a transfer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// A transfer from a peer.
pub(super) struct PeerFetch {
    pub(super) from: SocketAddr,
    pub(super) kind: FetchKind,
    pub(super) commands: mpsc::Sender<MeshCommand>,
    pub(super) counter: Arc<RequestCounter>,
    /// Entry of this instance.
    pub(super) local_entry: PeerEntry,
}

impl PeerFetch {
    /// Runs the transfer. After a failure the digests still differ, so another peer is tried.
    pub(super) async fn run(self) {
        let result = match self.kind {
            FetchKind::Peers => with_timeout(FETCH_TIMEOUT, self.fetch_peers()).await,
            FetchKind::Groups => with_timeout(FETCH_TIMEOUT, self.fetch_groups()).await,
        };
        if let Err(error) = result {
            log::debug!(target: "rudder::peers", peer:% = self.from, reason:% = error; "fetching state from a peer failed");
            let _ = self.send_command(MeshCommand::FetchFailed(self.kind)).await;
        }
    }

    /// Merges the table of the peer, and sends the peer the entries that are newer here.
    async fn fetch_peers(&self) -> Result<(), PeerError> {
        let mut connection = PeerConnection::open(self.from, &self.counter).await?;
        let ResponseFrame::Table { table, .. } = connection.request(RequestBody::Table).await?
        else {
            return Err(PeerError::Busy);
        };
        let (reply, differences) = oneshot::channel();
        self.send_command(MeshCommand::Merge { table, reply }).await?;
        let entries = differences.await.map_err(|_| PeerError::Busy)?;
        if !entries.is_empty() {
            let update = PeerTableFrame { sender: self.local_entry.clone(), entries };
            connection.request(RequestBody::Update(update)).await?;
        }
        Ok(())
    }

    async fn fetch_groups(&self) -> Result<(), PeerError> {
        let mut connection = PeerConnection::open(self.from, &self.counter).await?;
        let response = connection.request(RequestBody::Groups).await?;
        let ResponseFrame::Groups { sender, hints, .. } = response else {
            return Err(PeerError::Busy);
        };
        self.send_command(MeshCommand::MergeGroups { from: sender, groups: hints }).await
    }

    async fn send_command(&self, command: MeshCommand) -> Result<(), PeerError> {
        self.commands.send(command).await.map_err(|_| PeerError::Busy)
    }
}
