//! Startup, accept loop and shutdown of an instance.

use crate::admin::{serve_metrics, serve_pages, set_up_metrics};
use crate::caller::{CancelRegistry, put_fatal, serve_caller};
use crate::classify::SummaryCache;
use crate::context::{FleetState, InstanceContext};
use crate::error::ProxyError;
use crate::fleet::follow_settings;
use crate::group_tasks::{VoteExchange, run_group_tasks};
use crate::logs::set_up_logs;
use crate::options::{ProxyOptions, StartMode};
use crate::peering::PeerResponder;
use crate::policy::ProxyPolicies;
use crate::process::ProcessSettings;
use crate::tls;
use arc_swap::ArcSwap;
use bytes::BytesMut;
use rudder_allocator::{DEFAULT_MMAP_THRESHOLD, set_mmap_threshold};
use rudder_decisions::MemoryBudget;
use rudder_engine::CallerConnections;
use rudder_peers::{MeshSettings, PeerMesh};
use rudder_store::{
    InstanceReadiness, KubeStore, PlatformOptions, PlatformStore, RevisionFollower,
};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Pause after a failed accept, for example when no file descriptor is available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Receive and send buffers of a caller's connection in bytes.
const SOCKET_BUFFER: usize = 64 * 1024;

/// Time for which a session must be idle before it is closed for a new caller. A session in use
/// seldom waits for its caller that long.
const IDLE_MIN: Duration = Duration::from_secs(2);

/// SQLSTATE sent to callers beyond the maximum (too_many_connections).
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Timeout of a starting instance for the platform's list of instances.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay between the announcement that an instance leaves and the wait for its callers to finish,
/// for callers that the load balancer still sends.
const LEAVE_DELAY: Duration = Duration::from_millis(200);

/// A running instance. Dropping it stops it at once; [`ProxyInstance::leave`] lets requests in
/// flight finish first.
pub struct ProxyInstance {
    context: Arc<InstanceContext>,
    mesh: Arc<PeerMesh>,
    callers: TaskTracker,
    tasks: JoinSet<()>,
    listen: SocketAddr,
    admin: SocketAddr,
    _stop: DropGuard,
}

impl ProxyInstance {
    /// Starts an instance in the current runtime. Port zero selects any free port.
    ///
    /// # Errors
    ///
    /// [`ProxyError`] if an address cannot be used or the TLS files are invalid.
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    /// # runtime.block_on(async {
    /// let process = arbutusrudder::ProcessSettings::parse(
    ///     r#"
    ///     instance = "entry-1"
    ///     domain = "kigali-a"
    ///     listen = "127.0.0.1:0"
    ///     admin = "127.0.0.1:0"
    ///     peer = "127.0.0.1:0"
    ///     platform = "http://127.0.0.1:1"
    ///     "#,
    /// ).unwrap();
    /// let instance = arbutusrudder::ProxyInstance::start(process).await.unwrap();
    /// assert_ne!(instance.listen_address().port(), 0);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(process: ProcessSettings) -> Result<Self, ProxyError> {
        Self::start_with(process, ProxyPolicies::default()).await
    }

    /// Starts an instance with other policies, for comparison.
    ///
    /// # Errors
    ///
    /// As [`ProxyInstance::start`].
    ///
    /// ```
    /// let policies = arbutusrudder::ProxyPolicies::default();
    /// assert!(policies.admission_limits);
    /// ```
    pub async fn start_with(
        process: ProcessSettings,
        policies: ProxyPolicies,
    ) -> Result<Self, ProxyError> {
        set_up_metrics();
        let store: Arc<dyn PlatformStore> =
            Arc::new(KubeStore::connect(platform_options(&process))?);
        let listener = listen(process.listen).await?;
        limit_socket_buffers(&listener);
        let admin_listener = listen(process.admin).await?;
        let (listen, admin) = (local_address(&listener)?, local_address(&admin_listener)?);
        let context = Arc::new(new_context(process, policies)?);
        let responder = Arc::new(PeerResponder::new(&context));
        let seeds = find_seeds(&context, store.as_ref()).await;
        let mesh_settings = mesh_settings(&context, seeds);
        let mesh = Arc::new(PeerMesh::start(mesh_settings, Arc::clone(&responder) as _).await?);
        let (name, domain) = (context.name().clone(), context.domain().clone());
        let exchange = Arc::new(VoteExchange::new(Arc::clone(&mesh), name, domain));
        responder.set_exchange(Arc::clone(&exchange));
        let callers = TaskTracker::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_pages(admin_listener, Arc::clone(&context)));
        let (shared, peers) = (Arc::clone(&store), Arc::clone(&mesh));
        tasks.spawn(follow_settings(Arc::clone(&context), shared, peers));
        tasks.spawn(run_group_tasks(Arc::clone(&context), store, Arc::clone(&mesh), exchange));
        let stop = CancellationToken::new();
        let caller_tasks = CallerTasks { callers: callers.clone(), stop: stop.clone() };
        tasks.spawn(accept_callers(listener, Arc::clone(&context), caller_tasks));
        log::info!(
            target: "rudder::instance", instance:% = context.name(), domain:% = context.domain(),
            listen:% = listen, admin:% = admin, peer:% = mesh.address(); "instance started"
        );
        Ok(Self { context, mesh, callers, tasks, listen, admin, _stop: stop.drop_guard() })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address of the admin pages.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the address for peers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.mesh.address()
    }

    /// Returns the number of the revision in force; zero before the first one.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.context.revision_number()
    }

    /// Shuts down gracefully: notifies peers, stops accepting callers, disconnects idle callers so
    /// that they reconnect elsewhere, finishes all requests and transactions in flight, and returns
    /// when the last caller has disconnected.
    pub async fn leave(mut self) {
        log::info!(target: "rudder::instance", instance:% = self.context.name(), reason = "asked"; "instance leaving");
        self.mesh.leave().await;
        self.context.leaving.send_replace(true);
        // The load balancer may send a few more callers until it notices that this instance leaves.
        tokio::time::sleep(LEAVE_DELAY).await;
        self.callers.close();
        self.callers.wait().await;
        self.tasks.shutdown().await;
    }
}

/// Runs an instance in a new runtime until a signal ends it.
///
/// # Errors
///
/// [`ProxyError`] if it cannot start.
///
/// ```no_run
/// arbutusrudder::run(&arbutusrudder::ProxyOptions::from_command_line()?)?;
/// # Ok::<(), arbutusrudder::ProxyError>(())
/// ```
pub fn run(options: &ProxyOptions) -> Result<(), ProxyError> {
    if options.check {
        return Ok(());
    }
    set_up_logs(options.log)?;
    match &options.mode {
        StartMode::Process(process) => {
            limit_retained_memory();
            let runtime = tokio::runtime::Runtime::new().map_err(ProxyError::Runtime)?;
            runtime.block_on(run_process(process.as_ref().clone()))
        }
        StartMode::Platform { path, boot, metrics_port } => {
            // A single thread, as the platform's machines have a fraction of one core.
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().map_err(ProxyError::Runtime)?;
            runtime.block_on(async {
                if let Some(port) = metrics_port {
                    serve_metrics(SocketAddr::new(boot.address(), *port)).await?;
                }
                let run = rudder_platform::run_on_platform(path.clone(), boot.as_ref().clone());
                run.await.map_err(ProxyError::from)
            })
        }
    }
}

/// Limits the freed memory that the allocator keeps for each thread, which counts against the memory of
/// the machine, but against no budget.
fn limit_retained_memory() {
    if let Err(error) = set_mmap_threshold(DEFAULT_MMAP_THRESHOLD) {
        log::warn!(target: "rudder::instance", reason:% = error; "the allocator was not set up");
    }
}

async fn run_process(process: ProcessSettings) -> Result<(), ProxyError> {
    // Installed first: without a handler, a signal during startup would kill the process without
    // a graceful shutdown.
    let mut stop = signal(SignalKind::terminate()).map_err(ProxyError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ProxyError::Runtime)?;
    let instance = ProxyInstance::start(process).await?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = instance.leave() => {}
        // A second signal ends the process at once.
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn new_context(
    process: ProcessSettings,
    policies: ProxyPolicies,
) -> Result<InstanceContext, ProxyError> {
    let tls = tls::build_acceptor(&process)?;
    let limits = process.machine_limits();
    Ok(InstanceContext {
        request_memory: MemoryBudget::new(limits.request_memory()),
        session_memory: MemoryBudget::new(limits.session_memory()),
        refusal_log: Mutex::default(),
        process,
        policies,
        fleet: ArcSwap::from_pointee(FleetState::default()),
        summaries: SummaryCache::default(),
        cancel_registry: Arc::new(CancelRegistry::default()),
        follower: Mutex::new(RevisionFollower::default()),
        revision_hint: watch::channel(0).0,
        leaving: watch::channel(false).0,
        fleet_changes: watch::channel(0).0,
        instance_count: AtomicU32::new(1),
        tls,
        origin: Instant::now(),
    })
}

fn platform_options(process: &ProcessSettings) -> PlatformOptions {
    PlatformOptions {
        namespace: process.namespace.clone(),
        ..PlatformOptions::at(&process.platform)
    }
}

/// Returns the addresses of possible peers: those of the process settings and the ready instances
/// that the platform lists, assuming that they use the same port. The list lags and the platform
/// may be unavailable, so it only adds to the configured seeds.
async fn find_seeds(context: &InstanceContext, store: &dyn PlatformStore) -> Vec<SocketAddr> {
    let process = &context.process;
    let mut seeds = process.seeds.clone();
    let listed = timeout(LIST_TIMEOUT, store.instances()).await;
    for entry in listed.ok().and_then(Result::ok).unwrap_or_default() {
        let address = SocketAddr::new(entry.address, process.peer.port());
        let ready = entry.readiness == InstanceReadiness::Ready;
        if ready && address != process.peer && !seeds.contains(&address) {
            seeds.push(address);
        }
    }
    seeds
}

fn mesh_settings(context: &InstanceContext, seeds: Vec<SocketAddr>) -> MeshSettings {
    let process = &context.process;
    let mut settings =
        MeshSettings::new(process.instance.clone(), process.domain.clone(), process.peer);
    settings.seeds = seeds;
    settings
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    TcpListener::bind(address).await.map_err(|reason| ProxyError::Listen { address, reason })
}

/// Limits what the connections of callers can hold unread, in both directions. Without it, each may
/// hold megabytes.
fn limit_socket_buffers(listener: &TcpListener) {
    let socket = socket2::SockRef::from(listener);
    let limited = socket
        .set_recv_buffer_size(SOCKET_BUFFER)
        .and_then(|()| socket.set_send_buffer_size(SOCKET_BUFFER));
    if let Err(error) = limited {
        log::warn!(
            target: "rudder::instance", reason:% = error;
            "the sizes of the socket buffers were not set"
        );
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, ProxyError> {
    listener.local_addr().map_err(ProxyError::Runtime)
}

/// Tracker of the callers' tasks and the token that cancels them.
struct CallerTasks {
    callers: TaskTracker,
    stop: CancellationToken,
}

async fn accept_callers(listener: TcpListener, context: Arc<InstanceContext>, tasks: CallerTasks) {
    let callers_max = context.process.machine_limits().socket_callers_max();
    let callers_max = callers_max.min(context.process.callers_max as usize);
    let connections = CallerConnections::with_idle_min("callers", callers_max, IDLE_MIN);
    let mut leaving = context.leaving.subscribe();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = leaving.wait_for(|leaving| *leaving) => break,
        };
        let Some(connection) = connections.admit() else {
            metrics::counter!("rudder_callers_refused_total").increment(1);
            context.log_refusal("connections");
            reject_caller(&stream);
            continue;
        };
        let context = Arc::clone(&context);
        let stop = tasks.stop.clone();
        tasks.callers.spawn(async move {
            tokio::select! {
                () = serve_caller(context, stream, connection) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// Rejects a caller beyond the maximum. The error is written without waiting, and lost if the
/// socket does not take it at once, because a task that waits would exceed the maximum too.
fn reject_caller(stream: &TcpStream) {
    let mut out = BytesMut::new();
    put_fatal(&mut out, TOO_MANY_CONNECTIONS, "this instance serves as many callers as it may");
    let _ = stream.try_write(&out);
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // No free file descriptor, or the caller has already disconnected. Neither ends the
            // instance.
            Err(error) => {
                log::warn!(target: "rudder::instance", reason:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
