//! Pool of this instance's connections to one member.

use displaydoc::Display;
use rudder_endpoint::{EndpointError, MemberAddress, MemberConnection};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Maximum number of prepared statements on an idle connection. A connection with more is closed
/// when it is returned to the pool.
const PREPARED_MAX: usize = 256;

/// Timeout of the check of an idle connection. After it, another connection is used.
const IDLE_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why no connection is available. Nothing was sent, so the request did not run.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum PoolError {
    /// all connections stayed in use
    Exhausted,
    /// no connection could be opened: {0}
    Endpoint(EndpointError),
}

impl std::error::Error for PoolError {}

/// A connection in use, with the state that earlier callers left on it.
pub(crate) struct PooledConnection {
    /// The connection itself.
    pub(crate) connection: MemberConnection,
    /// Hashes of the statements that are prepared on it, sorted.
    pub(crate) prepared: Vec<u128>,
    /// The settings in force on it, sorted by name, with their SET statements.
    pub(crate) settings: Vec<(String, String)>,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Marks the settings in force as unknown, so that they are always set again before the next
    /// use.
    pub(crate) fn invalidate_settings(&mut self) {
        // No session has a setting with an empty name, so this differs from every session's
        // settings.
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
    /// Creates a pool of at most `limit` connections.
    pub(crate) fn new(address: MemberAddress, limit: u32) -> Self {
        Self {
            address,
            permits: Arc::new(Semaphore::new(limit as usize)),
            limit: Mutex::new(limit),
            idle: Mutex::default(),
            login_parameters: OnceLock::new(),
        }
    }

    /// Returns the member's address.
    pub(crate) fn address(&self) -> &MemberAddress {
        &self.address
    }

    /// Returns the settings that the member reported at the first login.
    pub(crate) fn reported_parameters(&self) -> Option<Vec<(String, String)>> {
        self.login_parameters.get().cloned()
    }

    /// Returns the number of open connections, including idle ones.
    pub(crate) fn open_count(&self) -> u32 {
        let limit = *self.limit.lock().expect("no holder of this lock panics");
        let free = u32::try_from(self.permits.available_permits()).unwrap_or(u32::MAX);
        let idle = u32::try_from(self.lock_idle().len()).unwrap_or(u32::MAX);
        limit.saturating_sub(free) + idle
    }

    /// Changes the limit. A smaller one takes effect as connections are returned.
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

    /// Takes an idle connection or opens a new one. Waits at most `max_wait` for a permit, and at
    /// most the shorter of `max_wait` and `connect_timeout` to connect.
    pub(crate) async fn acquire(
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

    /// Returns a connection to the pool that its member reported ready and outside a transaction.
    /// Every other connection must be dropped instead, which closes it: a late response on it would
    /// reach the next caller.
    pub(crate) fn put_idle(&self, pooled: PooledConnection) {
        let PooledConnection { connection, prepared, settings, _permit: permit } = pooled;
        if prepared.len() <= PREPARED_MAX {
            let since = Instant::now();
            self.lock_idle().push(IdleConnection { connection, prepared, settings, since });
        }
        drop(permit);
    }

    /// Closes all idle connections, for a member that failed.
    pub(crate) fn clear(&self) {
        self.lock_idle().clear();
    }

    async fn take_idle(&self, check_after: Duration) -> Option<IdleConnection> {
        loop {
            let mut idle = self.lock_idle().pop()?;
            // Skips a connection that the member closed while it was idle: a statement sent on it
            // would have an unknown outcome although it never ran.
            if !idle.connection.link().is_idle().await {
                continue;
            }
            if idle.since.elapsed() < check_after {
                return Some(idle);
            }
            // Checks a connection after a long idle time. A device on the path may have dropped its
            // state: the connection then accepts bytes but never responds.
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
