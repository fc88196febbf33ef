//! A member's control channel: one connection, opened when needed, used by one statement a time.

use crate::connection::{MemberAddress, MemberConnection};
use crate::control::{ControlError, MemberControl};
use crate::login::EndpointError;
use async_trait::async_trait;
use rudder_core::{ControlStatement, MemberStatus};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, OwnedMutexGuard, oneshot};
use tokio::time::{Instant, timeout_at};

/// How long one exchange may go on after its asker has given up, opening the connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The control channel to one member over its own connection, apart from the callers' pool, so
/// that a busy pool cannot hide a live member.
pub struct ControlChannel {
    address: MemberAddress,
    connection: Arc<Mutex<Option<MemberConnection>>>,
}

impl ControlChannel {
    /// A channel that connects when it is first used.
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

/// Runs one exchange; the connection stays in the slot unless it failed.
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
    // A failed connection is dropped, never kept: its late answer would be taken for the answer
    // to the next statement.
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
        // Guards against a link so slow that connecting takes longer than a statement may: were
        // the exchange to end with its asker, every asker would start to connect anew, and none
        // would ever be answered. It goes on by itself, and the next asker finds the connection.
        // One that stays silent ends after its own bound, and its late answer with it.
        tokio::spawn(async move {
            let outcome = tokio::time::timeout(EXCHANGE_TIMEOUT.max(timeout), exchange).await;
            // The asker may have given up; the next one has the connection.
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
