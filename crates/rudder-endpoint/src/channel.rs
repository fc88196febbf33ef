//! A member's control channel: one connection, opened when needed, used by one statement a time.

use crate::connection::{MemberAddress, MemberConnection};
use crate::control::{ControlError, MemberControl};
use crate::login::EndpointError;
use async_trait::async_trait;
use rudder_core::{ControlStatement, MemberStatus};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout_at};

/// The control channel to one member over its own connection, apart from the callers' pool, so
/// that a busy pool cannot hide a live member.
pub struct ControlChannel {
    address: MemberAddress,
    connection: Mutex<Option<MemberConnection>>,
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
        Self { address, connection: Mutex::new(None) }
    }

    async fn run_on(
        &self,
        slot: &mut Option<MemberConnection>,
        statement: &ControlStatement,
        within: Duration,
    ) -> Result<MemberStatus, ControlError> {
        let mut connection = match slot.take() {
            Some(connection) => connection,
            None => MemberConnection::open(&self.address, within).await?,
        };
        let outcome = connection.control(statement).await;
        // A failed connection is dropped, never kept: its late answer would be taken for the
        // answer to the next statement.
        if !matches!(outcome, Err(ControlError::Unreachable(_))) {
            *slot = Some(connection);
        }
        outcome
    }
}

#[async_trait]
impl MemberControl for ControlChannel {
    async fn run(
        &self,
        statement: &ControlStatement,
        within: Duration,
    ) -> Result<MemberStatus, ControlError> {
        let deadline = Instant::now() + within;
        let mut slot = timeout_at(deadline, self.connection.lock())
            .await
            .map_err(|_| ControlError::TimedOut)?;
        // On a timeout the connection goes with the future that owns it, and so does the late
        // answer.
        timeout_at(deadline, self.run_on(&mut slot, statement, within))
            .await
            .map_err(|_| ControlError::TimedOut)?
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
