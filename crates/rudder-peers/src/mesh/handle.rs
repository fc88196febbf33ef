//! Handle through which the rest of the proxy uses the mesh.

use super::client::{PeerConnection, RequestCounter, with_timeout};
use super::command::MeshCommand;
use super::driver::MeshDriver;
use super::error::{MeshError, PeerError};
use super::server::PeerServer;
use super::settings::MeshSettings;
use crate::handler::PeerHandler;
use crate::hints::{HintMessage, PeerHint};
use crate::member::{PeerEntry, PeerState};
use crate::membership::{Membership, MembershipSettings};
use crate::node::{BudgetSettings, PeerNode, TrafficCount};
use crate::wire::{PeerReply, PeerRequest, RequestBody, ResponseFrame};
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Minimum budget. A smaller one does not suffice for heartbeats and their responses.
const BYTES_PER_SECOND_MIN: u64 = 800;

/// Capacity of the command queue of the driver.
const COMMAND_QUEUE_MAX: usize = 256;

/// Capacity of the hint queue of the handler; further hints are dropped, which the protocol
/// tolerates.
const HINT_QUEUE_MAX: usize = 4096;

/// Maximum number of attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS_MAX: usize = 16;

/// Participation of this instance in the mesh. It ends when this value is dropped.
#[derive(Debug)]
pub struct PeerMesh {
    address: SocketAddr,
    commands: mpsc::Sender<MeshCommand>,
    view: watch::Receiver<Arc<[PeerEntry]>>,
    traffic: watch::Receiver<TrafficCount>,
    counter: Arc<RequestCounter>,
    tasks: Vec<AbortHandle>,
}

impl PeerMesh {
    /// Starts to listen for peers and to contact the seeds. Must be called inside a tokio runtime.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// assert_eq!(mesh.instances().len(), 1);
    /// mesh.stop().await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(
        settings: MeshSettings,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, MeshError> {
        if settings.bytes_per_second < BYTES_PER_SECOND_MIN {
            return Err(MeshError::Budget(settings.bytes_per_second));
        }
        let (socket, listener, address) = listen(settings.address).await?;
        let node = create_node(settings, address);
        let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE_MAX);
        let (hint_sender, hints) = mpsc::channel(HINT_QUEUE_MAX);
        let (view_sender, view) = watch::channel(node.snapshot().into());
        let (traffic_sender, traffic) = watch::channel(TrafficCount::default());
        let counter = Arc::new(RequestCounter::default());
        let driver = MeshDriver {
            node,
            socket,
            started: Instant::now(),
            commands,
            command_sender: command_sender.downgrade(),
            hints: hint_sender,
            view: view_sender,
            traffic: traffic_sender,
            counter: Arc::clone(&counter),
        };
        let server = PeerServer { commands: command_sender.clone(), handler: Arc::clone(&handler) };
        let tasks = vec![
            tokio::spawn(driver.run()).abort_handle(),
            tokio::spawn(server.serve(listener)).abort_handle(),
            tokio::spawn(dispatch_hints(hints, handler)).abort_handle(),
        ];
        Ok(Self { address, commands: command_sender, view, traffic, counter, tasks })
    }

    /// Returns the address at which this instance listens.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// assert_ne!(mesh.address().port(), 0);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the instances that are not removed, including this one, sorted by name.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// assert_eq!(mesh.instances()[0].name, "i1".parse()?);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn instances(&self) -> Arc<[PeerEntry]> {
        Arc::clone(&self.view.borrow())
    }

    /// The same, for a task that waits for changes.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// assert_eq!(mesh.watch().borrow().len(), 1);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Arc<[PeerEntry]>> {
        self.view.clone()
    }

    /// Returns the traffic that this instance has sent to its peers so far.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// assert_eq!(mesh.traffic().table_bytes, 0);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn traffic(&self) -> TrafficCount {
        *self.traffic.borrow()
    }

    /// Publishes a hint to all instances, as far as the budget allows. A new term, a vote, a notice
    /// or a new revision is pushed at once; refreshes and samples are sent in responses to
    /// heartbeats.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// let hint = rudder_peers::RevisionHint { number: 7 };
    /// mesh.publish(rudder_peers::PeerHint::Revision(hint)).await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn publish(&self, hint: PeerHint) {
        let _ = self.commands.send(MeshCommand::Publish(hint)).await;
    }

    /// Sends a hint once to these instances only, for instance a vote to the keepers of a group.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// let hint = rudder_peers::RevisionHint { number: 7 };
    /// mesh.send_hint(&["i2".parse()?], rudder_peers::PeerHint::Revision(hint)).await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn send_hint(&self, instances: &[InstanceName], hint: PeerHint) {
        let _ = self.commands.send(MeshCommand::SendHint(instances.to_vec(), hint)).await;
    }

    /// Announces that this instance is leaving, and returns once that has been sent to some peers.
    /// The instance still responds to peers until it is stopped.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// mesh.leave().await;
    /// assert_eq!(mesh.instances()[0].state, rudder_peers::PeerState::Leaving);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn leave(&self) {
        let _ = self.commands.send(MeshCommand::Leave).await;
        let (reply, flushed) = oneshot::channel();
        let _ = self.commands.send(MeshCommand::Flush { reply }).await;
        let _ = flushed.await;
    }

    /// Sends a request to an instance and waits for its reply, at most for `timeout`.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// let request = rudder_peers::PeerRequest::SessionLookup("anna".parse()?);
    /// let reply = mesh.request(&"i1".parse()?, request, std::time::Duration::from_secs(5)).await?;
    /// assert_eq!(reply, rudder_peers::PeerReply::Unknown);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn request(
        &self,
        instance: &InstanceName,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let live = self.instances();
        let index = live
            .binary_search_by(|entry| entry.name.cmp(instance))
            .map_err(|_| PeerError::NotKnown)?;
        self.request_at(live[index].address, request, timeout).await
    }

    /// Sends a request to the instance that listens at an address.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// let request = rudder_peers::PeerRequest::RevisionFetch { newer_than: 7 };
    /// let timeout = std::time::Duration::from_secs(5);
    /// let reply = mesh.request_at(mesh.address(), request, timeout).await?;
    /// assert_eq!(reply, rudder_peers::PeerReply::Unknown);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn request_at(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let work = async {
            let mut connection = PeerConnection::open(address, &self.counter).await?;
            match connection.request(RequestBody::Handler(request)).await? {
                ResponseFrame::Reply { reply, .. } => Ok(reply),
                ResponseFrame::Busy { .. } => Err(PeerError::Busy),
                ResponseFrame::Table { .. } | ResponseFrame::Groups { .. } => {
                    Err(PeerError::Mismatched)
                }
            }
        };
        with_timeout(timeout, work).await
    }

    /// Stops all tasks and closes the sockets. Call `leave` first; otherwise peers treat the
    /// instance as failed.
    ///
    /// ```
    /// # use rudder_peers::{MeshSettings, PeerMesh, NoopHandler};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let address = ([127, 0, 0, 1], 0).into();
    /// # let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// let mesh = PeerMesh::start(settings, std::sync::Arc::new(NoopHandler)).await?;
    /// mesh.stop().await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn stop(self) {
        for task in &self.tasks {
            task.abort();
        }
        while self.tasks.iter().any(|task| !task.is_finished()) {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for PeerMesh {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Binds the same port for UDP and TCP.
async fn listen(wanted: SocketAddr) -> Result<(UdpSocket, TcpListener, SocketAddr), MeshError> {
    let failure = |source| MeshError::Listen { address: wanted, source };
    let mut attempts_left = PORT_ATTEMPTS_MAX;
    loop {
        let socket = UdpSocket::bind(wanted).await.map_err(failure)?;
        let address = socket.local_addr().map_err(failure)?;
        attempts_left -= 1;
        match TcpListener::bind(address).await {
            Ok(listener) => return Ok((socket, listener, address)),
            // The port is free for UDP but in use for TCP; another one may be free for both.
            Err(_) if wanted.port() == 0 && attempts_left > 0 => {}
            Err(source) => return Err(failure(source)),
        }
    }
}

fn create_node(settings: MeshSettings, address: SocketAddr) -> PeerNode {
    let local_entry = PeerEntry {
        name: settings.instance,
        address,
        domain: settings.domain,
        incarnation: settings.incarnation,
        state: PeerState::Live,
    };
    let membership =
        Membership::new(local_entry, settings.seeds, MembershipSettings::default(), rand::random());
    PeerNode::new(membership, &BudgetSettings::split(settings.bytes_per_second), Duration::ZERO)
}

async fn dispatch_hints(mut hints: mpsc::Receiver<HintMessage>, handler: Arc<dyn PeerHandler>) {
    while let Some(message) = hints.recv().await {
        handler.on_hint(message).await;
    }
}
