//! Connection to a member, with the parameters and the cancel key received at login.

use crate::ControlError;
use crate::login::{EndpointError, LoginSettings, log_in};
use crate::status::{parse_status_row, read_error_fields, to_control_error};
use crate::wire::{WireError, WireLink, tag};
use bytes::BytesMut;
use postgres_protocol::message::frontend;
use rudder_core::{ByteSize, ControlStatement, MemberStatus, plain_data};
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Maximum size of a member's frame; rows and COPY data may be larger.
const MEMBER_FRAME_MAX: ByteSize = ByteSize(64 * 1024 * 1024);

/// Idle time after which the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

/// Interval between keepalive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Time that sent bytes may stay unacknowledged before the kernel fails the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

plain_data! {
    /// Process id and secret that identify a connection in a cancel request.
    #[derive(Copy)]
    pub struct CancelTarget {
        /// Process id that the member assigned to the connection.
        pub process_id: i32,
        /// Secret that the member assigned to the connection.
        pub secret: i32,
    }
}

plain_data! {
    /// Socket address and login settings of a member.
    pub struct MemberAddress {
        /// Socket address.
        pub address: SocketAddr,
        /// Login settings.
        pub login: LoginSettings,
    }
}

/// An open, logged-in connection to a member.
pub struct MemberConnection {
    link: WireLink,
    parameters: Vec<(String, String)>,
    cancel: CancelTarget,
}

impl MemberConnection {
    /// Connects and logs in within `timeout`.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when the member cannot be reached, times out or rejects the login.
    ///
    /// ```
    /// use rudder_endpoint::{LoginSettings, MemberAddress, MemberConnection};
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    /// # runtime.block_on(async {
    /// let login =
    ///     LoginSettings { user: "app".into(), database: "scores".into(), password: None };
    /// // Accepts connections and never responds.
    /// let silent = std::net::TcpListener::bind("127.0.0.1:0")?;
    /// let address = MemberAddress { address: silent.local_addr()?, login };
    /// assert!(MemberConnection::open(&address, std::time::Duration::from_millis(20)).await.is_err());
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn open(address: &MemberAddress, timeout: Duration) -> Result<Self, EndpointError> {
        tokio::time::timeout(timeout, Self::connect(address))
            .await
            .map_err(|_| EndpointError::TimedOut)?
    }

    async fn connect(address: &MemberAddress) -> Result<Self, EndpointError> {
        let stream =
            TcpStream::connect(address.address).await.map_err(EndpointError::Unreachable)?;
        configure_socket(&stream).map_err(EndpointError::Unreachable)?;
        let mut link = WireLink::new(Box::new(stream), MEMBER_FRAME_MAX);
        let outcome = log_in(&mut link, &address.login).await?;
        Ok(Self { link, parameters: outcome.parameters, cancel: outcome.cancel })
    }

    /// Returns the framed byte stream of the connection.
    pub fn link(&mut self) -> &mut WireLink {
        &mut self.link
    }

    /// Returns the parameters that the member reported at login.
    #[must_use]
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// Returns the process id and secret for a cancel request.
    #[must_use]
    pub fn cancel_target(&self) -> CancelTarget {
        self.cancel
    }

    /// Sends a cancel request for a connection of the member at `address` and waits until the
    /// member has processed it.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when the member cannot be reached or times out.
    pub async fn send_cancel(
        address: SocketAddr,
        target: CancelTarget,
        timeout: Duration,
    ) -> Result<(), EndpointError> {
        let send = async {
            let mut stream =
                TcpStream::connect(address).await.map_err(EndpointError::Unreachable)?;
            let mut bytes = BytesMut::new();
            frontend::cancel_request(target.process_id, target.secret, &mut bytes);
            stream.write_all(&bytes).await?;
            // The member closes the connection after it has processed the request. Waiting for that
            // keeps the cancel from hitting a later statement.
            let mut rest = [0_u8; 1];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut rest).await?;
            Ok(())
        };
        tokio::time::timeout(timeout, send).await.map_err(|_| EndpointError::TimedOut)?
    }

    /// Appends a simple query to the write buffer.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] if `text` contains a zero byte.
    pub fn queue_query(&mut self, text: &str) -> Result<(), EndpointError> {
        frontend::query(text, self.link.write_buffer())?;
        Ok(())
    }

    /// Runs a control statement and returns the member's status.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the member rejects the statement or the connection fails.
    pub async fn control(
        &mut self,
        statement: &ControlStatement,
    ) -> Result<MemberStatus, ControlError> {
        self.queue_query(&statement.to_string())
            .map_err(|error| ControlError::Refused(error.to_string()))?;
        self.next_status().await
    }

    /// Reads the response to a control statement that was queued before.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the member rejects the statement or the connection fails.
    pub async fn next_status(&mut self) -> Result<MemberStatus, ControlError> {
        let unreachable = |error: WireError| ControlError::Unreachable(error.to_string());
        let mut outcome =
            Err(ControlError::Refused("the member returned no status row".to_owned()));
        loop {
            let frame = self.link.next_frame().await.map_err(unreachable)?;
            match frame.tag {
                tag::DATA_ROW => {
                    outcome = parse_status_row(frame.body())
                        .map_err(|error| ControlError::Refused(error.to_string()));
                }
                tag::ERROR => outcome = Err(to_control_error(&read_error_fields(frame.body()))),
                tag::READY => return outcome,
                _ => {}
            }
        }
    }
}

/// Enables keepalive probes and a timeout for unacknowledged bytes, so that the kernel fails a
/// connection whose state was lost by a device between the two ends.
fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
