//! In-memory stand-in for the platform's Kubernetes-style object API, with versions, conflicts and
//! faults on request.

mod faults;
mod instances;
mod listener;
mod objects;
mod routes;
mod state;

pub use faults::{CallCounts, PlatformFaults, PlatformOutage};
pub use instances::StandinInstance;

use listener::{ConnectionCut, FaultyListener, WireCounters};
use state::StandinState;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A running platform stand-in. It stops when dropped.
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<StandinState>,
    server: JoinHandle<io::Result<()>>,
}

impl PlatformStandin {
    /// Starts a stand-in that listens at `listen`; port 0 selects a free port.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// assert!(standin.url().starts_with("http://127.0.0.1:"));
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let (sender, receiver) = watch::channel(PlatformOutage::None);
        let counters = Arc::new(WireCounters::default());
        let listener = FaultyListener::bind(listen, receiver, Arc::clone(&counters)).await?;
        let address = axum::serve::Listener::local_addr(&listener)?;
        let state = Arc::new(StandinState::new(sender, counters));
        let service = routes::router(Arc::clone(&state))
            .into_make_service_with_connect_info::<ConnectionCut>();
        let server = tokio::spawn(async move { axum::serve(listener, service).await });
        Ok(Self { address, state, server })
    }

    /// Returns the address on which the stand-in listens.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// assert_ne!(standin.address().port(), 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for the platform's client.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// assert_eq!(standin.url(), format!("http://{}", standin.address()));
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the active faults.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{PlatformFaults, PlatformStandin};
    /// let standin = PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// standin.set_faults(PlatformFaults { lost_answers: 1, ..PlatformFaults::default() });
    /// assert_eq!(standin.faults().lost_answers, 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the active faults.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// assert_eq!(standin.faults(), rudder_standins::PlatformFaults::default());
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.state.faults()
    }

    /// Replaces the list of instances; the change becomes visible after `lag`.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// standin.set_instances(Vec::new(), std::time::Duration::from_secs(5));
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn set_instances(&self, entries: Vec<StandinInstance>, lag: Duration) {
        self.state.set_instances(entries, lag);
    }

    /// Returns the number of calls received, including those that were cut.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
    /// assert_eq!(standin.calls().reads, 0);
    /// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.state.calls()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        // Aborting the listener's task closes no connections; the outage cuts them at their next
        // request.
        let outage = PlatformOutage::Refused;
        self.state.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
        self.server.abort();
    }
}
