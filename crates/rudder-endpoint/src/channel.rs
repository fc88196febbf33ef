//! Control channel of a member: one connection, opened on first use, that runs one statement at a
//! time.

use crate::connection::{MemberAddress, MemberConnection};
use crate::control::{ControlError, MemberControl};
use crate::login::EndpointError;
use async_trait::async_trait;
use rudder_core::{ControlStatement, MemberStatus};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, OwnedMutexGuard, oneshot};
use tokio::time::{Instant, timeout_at};

/// Minimum timeout of one exchange, connecting included. An exchange may outlast the call that
/// started it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Control channel to one member. Its connection is separate from the callers' pool, so that a
/// member still reports its status while the pool is exhausted.
pub struct ControlChannel {
    address: MemberAddress,
    connection: Arc<Mutex<Option<MemberConnection>>>,
}

impl ControlChannel {
    /// Creates a channel that connects on first use.
    ///
    /// ```
    /// use rudder_endpoint::{ControlChannel, LoginSettings, MemberAddress};
    /// let login = LoginSettings { user: "app".into(), database: "db".into(), password: None };
    /// let address = MemberAddress { address: "127.0.0.1:1".parse()?, login };
    /// let _channel = ControlChannel::new(address);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn new(address: MemberAddress) -> Self {
        Self { address, connection: Arc::new(Mutex::new(None)) }
    }
}

/// Runs one exchange and keeps the connection for the next one unless it failed.
async fn exchange(
    address: MemberAddress,
    mut guard: OwnedMutexGuard<Option<MemberConnection>>,
    statement: ControlStatement,
) -> Result<MemberStatus, ControlError> {
    let mut connection = match guard.take() {
        Some(connection) => connection,
        None => MemberConnection::open(&address, EXCHANGE_TIMEOUT).await?,
    };
    let outcome = connection.control(&statement).await;
    // A failed connection is dropped, because a late response would be read as the response to
    // the next statement.
    if !matches!(outcome, Err(ControlError::Unreachable(_))) {
        *guard = Some(connection);
    }
    outcome
}

#[async_trait]
impl MemberControl for ControlChannel {
    async fn run(
        &self,
        statement: &ControlStatement,
        timeout: Duration,
    ) -> Result<MemberStatus, ControlError> {
        let deadline = Instant::now() + timeout;
        let guard = timeout_at(deadline, Arc::clone(&self.connection).lock_owned())
            .await
            .map_err(|_| ControlError::TimedOut)?;
        let (sender, receiver) = oneshot::channel();
        let exchange = exchange(self.address.clone(), guard, statement.clone());
        // The exchange runs in its own task and may outlast this call. On a link so slow that
        // connecting takes longer than `timeout`, every call would otherwise connect again and
        // none would succeed; the next call now finds the open connection. An exchange without
        // a response ends at its own timeout, which drops the connection and any late response.
        tokio::spawn(async move {
            let outcome = tokio::time::timeout(EXCHANGE_TIMEOUT.max(timeout), exchange).await;
            // The call may have timed out already; the next one uses the connection.
            let _ = sender.send(outcome.unwrap_or(Err(ControlError::TimedOut)));
        });
        match timeout_at(deadline, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ControlError::TimedOut),
        }
    }
}

impl From<EndpointError> for ControlError {
    fn from(error: EndpointError) -> Self {
        match error {
            EndpointError::TimedOut => Self::TimedOut,
            EndpointError::Refused { .. } => Self::Refused(error.to_string()),
            _ => Self::Unreachable(error.to_string()),
        }
    }
}
