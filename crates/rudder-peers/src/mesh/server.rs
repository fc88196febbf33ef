//! Server side of requests over TCP.

use super::command::MeshCommand;
use super::error::PeerError;
use super::frame::{read_frame, write_frame};
use crate::handler::PeerHandler;
use crate::wire::{
    PeerReply, RequestBody, ResponseFrame, WireError, decode_request, encode_response,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinSet;

/// Maximum number of concurrent TCP connections of peers.
const CONNECTIONS_MAX: usize = 128;

/// Time after which a silent connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, for instance when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub(super) struct PeerServer {
    pub(super) commands: mpsc::Sender<MeshCommand>,
    pub(super) handler: Arc<dyn PeerHandler>,
}

impl PeerServer {
    /// Accepts connections until it is cancelled; tasks that it spawned end with it.
    pub(super) async fn serve(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    tasks.spawn(async move {
                        let result = server.serve_connection(stream).await;
                        drop(permit);
                        if let Err(error) = result {
                            log::debug!(target: "rudder::peers", reason:% = error; "peer connection closed after an error");
                        }
                    });
                }
                Err(error) => {
                    log::warn!(target: "rudder::peers", reason:% = error; "accepting a peer connection failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> Result<(), PeerError> {
        stream.set_nodelay(true)?;
        loop {
            let read = tokio::time::timeout(IDLE_TIMEOUT, read_frame(&mut stream));
            let bytes = read.await.map_err(|_| PeerError::TimedOut)??;
            let response = self.handle_request(&bytes).await?;
            let write = tokio::time::timeout(IDLE_TIMEOUT, write_frame(&mut stream, &response));
            write.await.map_err(|_| PeerError::TimedOut)??;
        }
    }

    async fn handle_request(&self, bytes: &[u8]) -> Result<Vec<u8>, PeerError> {
        let request = decode_request(bytes)?;
        let number = request.number;
        let reply = match request.body {
            RequestBody::Table => {
                let command = |reply| MeshCommand::EncodeTable { number, reply };
                return self.encode(command).await;
            }
            RequestBody::Groups => {
                let command = |reply| MeshCommand::EncodeGroups { number, reply };
                return self.encode(command).await;
            }
            RequestBody::Update(table) => {
                let (reply, _) = oneshot::channel();
                self.send_command(MeshCommand::Merge { table, reply }).await?;
                PeerReply::Accepted
            }
            RequestBody::Handler(request) => self.handler.on_request(request).await,
        };
        Ok(encode_response(&ResponseFrame::Reply { number, reply })?)
    }

    async fn encode(
        &self,
        command: impl FnOnce(oneshot::Sender<Vec<u8>>) -> MeshCommand,
    ) -> Result<Vec<u8>, PeerError> {
        let (reply, response) = oneshot::channel();
        self.send_command(command(reply)).await?;
        response.await.map_err(|_| PeerError::Busy)
    }

    async fn send_command(&self, command: MeshCommand) -> Result<(), PeerError> {
        self.commands.send(command).await.map_err(|_| PeerError::Malformed(WireError::Encode))
    }
}
