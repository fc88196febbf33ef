//! One connection to a member, and what it remembers between callers.

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

/// Members send no frame but rows and COPY data above this.
const MEMBER_FRAME_MAX: ByteSize = ByteSize(64 * 1024 * 1024);

/// How long a connection may be idle before the kernel probes it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

/// How often the kernel probes an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// How long sent bytes may stay unacknowledged before the kernel gives the connection up.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

plain_data! {
    /// What a cancel request must name.
    #[derive(Copy)]
    pub struct CancelTarget {
        /// The member's process id for the connection.
        pub process_id: i32,
        /// The member's secret for the connection.
        pub secret: i32,
    }
}

plain_data! {
    /// Where a member is and how to log in there.
    pub struct MemberAddress {
        /// Its socket address.
        pub address: SocketAddr,
        /// The login.
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
    /// [`EndpointError`] when the member cannot be reached, is too slow or refuses.
    ///
    /// ```
    /// use rudder_endpoint::{LoginSettings, MemberAddress, MemberConnection};
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    /// # runtime.block_on(async {
    /// let login =
    ///     LoginSettings { user: "app".into(), database: "scores".into(), password: None };
    /// // Takes connections and answers none.
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

    /// The connection's frames.
    pub fn link(&mut self) -> &mut WireLink {
        &mut self.link
    }

    /// The settings that the member reported at login.
    #[must_use]
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// What a cancel request for this connection must name.
    #[must_use]
    pub fn cancel_target(&self) -> CancelTarget {
        self.cancel
    }

    /// Sends a cancel request for a connection of the member at `address` and waits until the
    /// member has taken it.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] when the member cannot be reached in time.
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
            // The member closes once it has acted, so a cancel cannot hit a later statement.
            let mut rest = [0_u8; 1];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut rest).await?;
            Ok(())
        };
        tokio::time::timeout(timeout, send).await.map_err(|_| EndpointError::TimedOut)?
    }

    /// Adds a simple query to the bytes to be sent.
    ///
    /// # Errors
    ///
    /// [`EndpointError`] if the text holds a zero byte.
    pub fn queue_query(&mut self, text: &str) -> Result<(), EndpointError> {
        frontend::query(text, self.link.outgoing())?;
        Ok(())
    }

    /// Runs a control statement on this connection.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the member refuses or the connection fails.
    pub async fn control(
        &mut self,
        statement: &ControlStatement,
    ) -> Result<MemberStatus, ControlError> {
        self.queue_query(&statement.to_string())
            .map_err(|error| ControlError::Refused(error.to_string()))?;
        self.next_status().await
    }

    /// Reads the answer to a control statement that was queued before.
    ///
    /// # Errors
    ///
    /// [`ControlError`] when the member refuses or the connection fails.
    pub async fn next_status(&mut self) -> Result<MemberStatus, ControlError> {
        let unreachable = |error: WireError| ControlError::Unreachable(error.to_string());
        let mut outcome = Err(ControlError::Refused("the member answered no status".to_owned()));
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

/// Guards against connections that go silent because something between the two ends lost track of
/// them: they show as writes that are never acknowledged, and the kernel then fails them.
fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
