//! The connections of this instance to one member.

use displaydoc::Display;
use rudder_endpoint::{EndpointError, MemberAddress, MemberConnection};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Statements kept prepared on one connection; beyond this all are dropped at its return.
const PREPARED_MAX: usize = 256;

/// How long an idle connection may take to prove itself; a new one is opened after that.
const IDLE_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Why no connection could be had. Nothing was sent, so the request did not run.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum PoolError {
    /// all connections stayed in use
    Exhausted,
    /// no connection could be opened: {0}
    Endpoint(EndpointError),
}

impl std::error::Error for PoolError {}

/// A connection in use, with what it remembers of earlier callers.
pub(crate) struct PooledConnection {
    /// The connection itself.
    pub(crate) connection: MemberConnection,
    /// Hashes of the statements that are prepared on it, sorted.
    pub(crate) prepared: Vec<u128>,
    /// The settings that are in force on it, sorted by name, with their SET statements.
    pub(crate) settings: Vec<(String, String)>,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Notes that it is not known which settings are in force: they are set anew before the next
    /// use, whatever that use wants.
    pub(crate) fn forget_settings(&mut self) {
        // No session has a setting without a name, so this equals nobody's settings.
        self.settings = vec![(String::new(), String::new())];
    }
}

struct IdleConnection {
    connection: MemberConnection,
    prepared: Vec<u128>,
    settings: Vec<(String, String)>,
    since: Instant,
}

/// A bounded set of connections to one member.
pub(crate) struct ConnectionPool {
    address: MemberAddress,
    permits: Arc<Semaphore>,
    limit: Mutex<u32>,
    idle: Mutex<Vec<IdleConnection>>,
    login_parameters: OnceLock<Vec<(String, String)>>,
}

impl ConnectionPool {
    /// A pool of at most `limit` connections.
    pub(crate) fn new(address: MemberAddress, limit: u32) -> Self {
        Self {
            address,
            permits: Arc::new(Semaphore::new(limit as usize)),
            limit: Mutex::new(limit),
            idle: Mutex::default(),
            login_parameters: OnceLock::new(),
        }
    }

    /// Where the member is.
    pub(crate) fn address(&self) -> &MemberAddress {
        &self.address
    }

    /// The settings that the member reported at the first login.
    pub(crate) fn reported_parameters(&self) -> Option<Vec<(String, String)>> {
        self.login_parameters.get().cloned()
    }

    /// Connections that are open, idle ones included.
    pub(crate) fn open_count(&self) -> u32 {
        let limit = *self.limit.lock().expect("no holder of this lock panics");
        let free = u32::try_from(self.permits.available_permits()).unwrap_or(u32::MAX);
        let idle = u32::try_from(self.lock_idle().len()).unwrap_or(u32::MAX);
        limit.saturating_sub(free) + idle
    }

    /// Changes the limit; a smaller one takes effect as connections come back.
    pub(crate) fn set_limit(&self, wanted: u32) {
        let mut limit = self.limit.lock().expect("no holder of this lock panics");
        if wanted > *limit {
            self.permits.add_permits((wanted - *limit) as usize);
            *limit = wanted;
        } else {
            let forgotten = self.permits.forget_permits((*limit - wanted) as usize);
            *limit -= u32::try_from(forgotten).unwrap_or(u32::MAX);
            self.lock_idle().truncate(wanted as usize);
        }
    }

    /// Takes a connection, idle or new, within `within`.
    pub(crate) async fn take(
        &self,
        max_wait: Duration,
        connect_timeout: Duration,
        check_after: Duration,
    ) -> Result<PooledConnection, PoolError> {
        let permit = timeout(max_wait, Arc::clone(&self.permits).acquire_owned())
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or(PoolError::Exhausted)?;
        if let Some(idle) = self.take_idle(check_after).await {
            return Ok(PooledConnection {
                connection: idle.connection,
                prepared: idle.prepared,
                settings: idle.settings,
                _permit: permit,
            });
        }
        let dial_timeout = max_wait.min(connect_timeout);
        let opened = MemberConnection::open(&self.address, dial_timeout).await;
        let connection = opened.map_err(PoolError::Endpoint)?;
        metrics::counter!("rudder_member_connections_opened_total").increment(1);
        self.login_parameters.get_or_init(|| connection.parameters().to_vec());
        Ok(PooledConnection {
            connection,
            prepared: Vec::new(),
            settings: Vec::new(),
            _permit: permit,
        })
    }

    /// Takes back a connection that its member called ready and outside of a transaction. Every
    /// other connection is dropped instead, which closes it: a late answer on it would reach the
    /// next caller.
    pub(crate) fn give_back(&self, pooled: PooledConnection) {
        let PooledConnection { connection, prepared, settings, _permit: permit } = pooled;
        if prepared.len() <= PREPARED_MAX {
            let since = Instant::now();
            self.lock_idle().push(IdleConnection { connection, prepared, settings, since });
        }
        drop(permit);
    }

    /// Closes all idle connections, because the member is gone or leaving.
    pub(crate) fn clear(&self) {
        self.lock_idle().clear();
    }

    async fn take_idle(&self, check_after: Duration) -> Option<IdleConnection> {
        loop {
            let mut idle = self.lock_idle().pop()?;
            // Guards against a connection that the member closed while it was idle: the statement
            // would be lost with an unknown outcome although it never ran.
            if !idle.connection.link().is_quiet().await {
                continue;
            }
            if idle.since.elapsed() < check_after {
                return Some(idle);
            }
            // Guards against a connection that something between the two ends lost track of: it
            // takes bytes and answers nothing. An idle one proves itself before a caller's work.
            let check = idle.connection.control(&rudder_core::ControlStatement::Status);
            if matches!(timeout(IDLE_CHECK_TIMEOUT, check).await, Ok(Ok(_))) {
                return Some(idle);
            }
            metrics::counter!("rudder_silent_connections_total").increment(1);
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().expect("no holder of this lock panics")
    }
}
