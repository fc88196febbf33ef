//! Connection handling: encryption negotiation, cancel requests, login and the message loop.

use super::cancel::CancelKey;
use super::client::ClientStream;
use super::encode::{put, put_error};
use super::extended::{PortalTable, StatementTable};
use super::login::authenticate;
use super::session::{BlockState, ClientSession};
use super::session_settings::SessionSettings;
use crate::group::member::GroupMember;
use crate::group::sql::error::SqlError;
use crate::group::sql::scalar::SessionInfo;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup,
};
use pgwire::messages::{PgWireFrontendMessage as FrontendMessage, SslNegotiationMetaMessage};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Protocol version 3.0 as encoded in startup messages.
const PROTOCOL_VERSION: i32 = 196_608;

/// Parameters of the startup message that are not session settings.
const STARTUP_KEYWORDS: [&str; 4] = ["database", "options", "replication", "user"];

/// Serves one connection until the client disconnects.
pub(crate) async fn serve_connection(
    members: Arc<[Arc<GroupMember>]>,
    member: Arc<GroupMember>,
    mut client: ClientStream,
) -> io::Result<()> {
    member.wait_thawed().await;
    let Some(startup) = negotiate(&member, &mut client).await? else { return Ok(()) };
    client.end_startup();
    let Some(_guard) = ConnectionGuard::acquire(&member) else {
        put_error("FATAL", &SqlError::TooManyConnections, &mut client.output);
        client.close().await;
        return Ok(());
    };
    let connect_time = member.connect_time();
    if !connect_time.is_zero() {
        tokio::time::sleep(connect_time).await;
    }
    if let Some(password) = &member.shared.password
        && let Err(error) = authenticate(&mut client, password).await?
    {
        put_error("FATAL", &error, &mut client.output);
        client.close().await;
        return Ok(());
    }
    let mut session = log_in(members, member, client, &startup);
    let result = session.serve().await;
    session.client.close().await;
    result
}

/// Counts a connection towards the member's limit until it is dropped.
struct ConnectionGuard(Arc<GroupMember>);

impl ConnectionGuard {
    fn acquire(member: &Arc<GroupMember>) -> Option<Self> {
        let before = member.connections.fetch_add(1, Ordering::AcqRel);
        let guard = Self(Arc::clone(member));
        let limit = member.connections_max.load(Ordering::Relaxed);
        if before < limit { Some(guard) } else { None }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Declines encryption and handles cancel requests; returns the startup message, if one is
/// received.
async fn negotiate(member: &GroupMember, client: &mut ClientStream) -> io::Result<Option<Startup>> {
    loop {
        match client.next_message().await? {
            Some(FrontendMessage::SslNegotiation(request)) => match request {
                SslNegotiationMetaMessage::PostgresSsl(_) => {
                    put(&SslResponse::Refuse, &mut client.output);
                }
                SslNegotiationMetaMessage::PostgresGss(_) => {
                    put(&GssEncResponse::Refuse, &mut client.output);
                }
                SslNegotiationMetaMessage::None => client.end_negotiation(),
            },
            Some(FrontendMessage::CancelRequest(request)) => {
                cancel(member, &request);
                return Ok(None);
            }
            Some(FrontendMessage::Startup(startup)) => return Ok(Some(startup)),
            _ => return Ok(None),
        }
    }
}

fn cancel(member: &GroupMember, request: &CancelRequest) {
    if let Some(secret) = request.secret_key.as_i32() {
        member.cancel_registry.cancel(CancelKey { pid: request.pid, secret });
    }
}

fn log_in(
    members: Arc<[Arc<GroupMember>]>,
    member: Arc<GroupMember>,
    mut client: ClientStream,
    startup: &Startup,
) -> ClientSession {
    let pid = member.shared.next_pid.fetch_add(1, Ordering::Relaxed);
    let key = CancelKey { pid, secret: rand::random() };
    let parameter = |name: &str| startup.parameters.get(name).cloned();
    let user = parameter("user").unwrap_or_default();
    let database = parameter("database").unwrap_or_else(|| user.clone());
    let info = SessionInfo {
        user,
        database,
        pid,
        replica: false,
        sequence: Arc::clone(&member.shared.sequence),
    };
    let settings = SessionSettings::new(startup_settings(startup));
    if startup.protocol_number_minor > 0 {
        let options = startup.parameters.keys().filter(|name| name.starts_with("_pq_."));
        let options = options.cloned().collect();
        put(&NegotiateProtocolVersion::new(PROTOCOL_VERSION, options), &mut client.output);
    }
    put(&Authentication::Ok, &mut client.output);
    let cancel = member.cancel_registry.add(key);
    let mut session = ClientSession {
        member,
        members,
        client,
        info: Arc::new(info),
        key,
        cancel,
        settings,
        settings_at_begin: None,
        settings_without_local: None,
        transaction: None,
        block: BlockState::None,
        read_only: false,
        statements: StatementTable::default(),
        portals: PortalTable::default(),
        skip_until_sync: false,
    };
    let reports = session.settings.reports();
    session.report_settings(reports);
    let data = BackendKeyData::new(pid, SecretKey::I32(key.secret));
    put(&data, &mut session.client.output);
    session.send_ready();
    session
}

fn startup_settings(startup: &Startup) -> Vec<(Arc<str>, Arc<str>)> {
    let mut settings = Vec::new();
    for (name, value) in &startup.parameters {
        let name = name.to_ascii_lowercase();
        if !STARTUP_KEYWORDS.contains(&name.as_str()) && !name.starts_with("_pq_.") {
            settings.push((name.into(), value.as_str().into()));
        }
    }
    let options = startup.parameters.get("options").map_or("", String::as_str);
    for option in options.split_whitespace() {
        let option = option.trim_start_matches("-c").trim_start_matches("--");
        if let Some((name, value)) = option.split_once('=') {
            settings.push((name.to_ascii_lowercase().into(), value.into()));
        }
    }
    settings
}

impl ClientSession {
    /// Handles messages until the client disconnects.
    async fn serve(&mut self) -> io::Result<()> {
        loop {
            let message = match self.client.next_message().await {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    self.send_fatal(&SqlError::Protocol(error.to_string()));
                    return Ok(());
                }
                Err(error) => return Err(error),
            };
            self.member.wait_thawed().await;
            match message {
                FrontendMessage::Query(query) => self.simple_query(&query.query).await?,
                FrontendMessage::Terminate(_) => return Ok(()),
                // Remaining messages of a failed COPY are ignored.
                FrontendMessage::CopyData(_)
                | FrontendMessage::CopyDone(_)
                | FrontendMessage::CopyFail(_) => {}
                message if message.is_extended_query() => self.extended_message(message).await?,
                _ => {
                    self.send_fatal(&SqlError::Protocol("unexpected message".to_owned()));
                    return Ok(());
                }
            }
            self.client.flush_large().await?;
        }
    }
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        self.member.cancel_registry.remove(self.key);
    }
}
