//! Serves a caller's connection from login to its end.

use super::collect::{CallerInput, collect_batch};
use super::local::{mixes_proxy_statements, serve_locally, set_proxy_settings};
use super::login::{
    LoginError, LoginRequest, SessionClaim, authenticate, negotiate, put_login_complete,
    read_login, refuse_login,
};
use super::proxy_batch::{is_proxy_batch, serve_proxy_batch};
use super::response::{put_error, put_fatal, put_ready, put_refusal};
use super::session::{CallerSession, FloorKnowledge};
use super::{read, transaction, write};
use crate::context::InstanceContext;
use crate::exchange::{BatchEnd, CallerBatch, ExchangeError};
use crate::group::GroupState;
use displaydoc::Display;
use rudder_core::{ByteSize, RefusalNotice, SessionId, SessionToken};
use rudder_decisions::ConnectionPhase;
use rudder_endpoint::{ErrorFields, StartupPacket, WireError, WireLink, tag};
use rudder_engine::CallerConnection;
use rudder_settings::CallerSettings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

/// SQLSTATE of a session that was idle for too long.
const IDLE_SESSION_TIMEOUT: &str = "57P05";

/// Retry delay in the refusal of an instance that has no settings yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// SQLSTATE of a protocol violation.
const PROTOCOL_VIOLATION: &str = "08P01";

/// SQLSTATE of a request for which there is no memory.
const OUT_OF_MEMORY: &str = "53200";

/// Exempt amounts of a connection's buffers, of a batch, and of what a session keeps, several times
/// their usual sizes.
const BUFFER_EXEMPT: ByteSize = ByteSize(16 * 1024);
const BATCH_EXEMPT: ByteSize = ByteSize(8 * 1024);
const STATE_EXEMPT: ByteSize = ByteSize(4 * 1024);

/// Maximum size of a message before login is complete; login messages are far smaller.
const LOGIN_MESSAGE_MAX: ByteSize = ByteSize(10_000);

/// Parameters reported at login while no member has reported its own yet.
const DEFAULT_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Reason why a caller's connection ends.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum SessionEnd {
    /// the caller closed the connection
    Terminate,
    /// the login failed: {0}
    Login(LoginError),
    /// the caller's connection failed: {0}
    Caller(WireError),
    /// the caller was idle for too long
    Idle,
    /// the connection was closed to make room for other callers
    Displaced,
    /// this instance is leaving
    Leaving,
    /// a response was interrupted: {0}
    Broken(ExchangeError),
}

impl std::error::Error for SessionEnd {}

/// Serves one caller until its connection ends.
pub(crate) async fn serve_caller(
    context: Arc<InstanceContext>,
    stream: TcpStream,
    connection: CallerConnection,
) {
    // Disables Nagle's algorithm, which would delay small responses.
    let _ = stream.set_nodelay(true);
    metrics::gauge!("rudder_callers").increment(1.0);
    let end = run_caller(&context, stream, &connection).await;
    metrics::gauge!("rudder_callers").decrement(1.0);
    if let Err(end) = end {
        log::debug!(target: "rudder::caller", reason:% = end; "caller's connection ended");
    }
}

async fn run_caller(
    context: &Arc<InstanceContext>,
    stream: TcpStream,
    connection: &CallerConnection,
) -> Result<(), SessionEnd> {
    let within = context.fleet.load().settings.timing.login_timeout;
    let login = tokio::select! {
        login = timeout(within, log_in(context, stream, connection)) => login,
        () = connection.wait_closing() => return Err(SessionEnd::Displaced),
    };
    let Some(mut session) = login.map_err(|_| SessionEnd::Idle)?? else {
        return Ok(());
    };
    let end = serve_batches(context, &mut session, connection).await;
    transaction::abandon(&mut session).await;
    match &end {
        Err(SessionEnd::Idle) => {
            send_fatal(&mut session, IDLE_SESSION_TIMEOUT, "idle for too long").await;
        }
        Err(SessionEnd::Displaced) => {
            let message = "idle while other callers need the connection";
            send_fatal(&mut session, IDLE_SESSION_TIMEOUT, message).await;
        }
        Err(SessionEnd::Leaving) => {
            let notice = RefusalNotice::Leaving;
            send_fatal(&mut session, notice.sqlstate(), &notice.to_string()).await;
        }
        Err(SessionEnd::Caller(WireError::Malformed(what))) => {
            send_fatal(&mut session, PROTOCOL_VIOLATION, what).await;
        }
        Err(SessionEnd::Caller(error @ WireError::NoMemory)) => {
            metrics::counter!("rudder_requests_refused_total", "reason" => "memory").increment(1);
            context.log_refusal("memory");
            send_fatal(&mut session, OUT_OF_MEMORY, &error.to_string()).await;
        }
        Err(SessionEnd::Caller(error @ WireError::TooLong { .. })) => {
            send_fatal(&mut session, PROTOCOL_VIOLATION, &error.to_string()).await;
        }
        _ => {}
    }
    end
}

async fn send_fatal(session: &mut CallerSession, sqlstate: &str, message: &str) {
    put_fatal(session.link.write_buffer(), sqlstate, message);
    let _ = timeout(Duration::from_secs(1), session.link.flush()).await;
}

async fn log_in(
    context: &Arc<InstanceContext>,
    stream: TcpStream,
    connection: &CallerConnection,
) -> Result<Option<CallerSession>, SessionEnd> {
    let link = WireLink::new(Box::new(stream), LOGIN_MESSAGE_MAX);
    let (mut link, packet) = negotiate(link, context.tls.as_ref(), LOGIN_MESSAGE_MAX)
        .await
        .map_err(SessionEnd::Login)?;
    let parameters = match packet {
        StartupPacket::Login(parameters) => parameters,
        StartupPacket::CancelRequest { process_id, secret } => {
            context.cancel_registry.cancel(process_id, secret).await;
            return Ok(None);
        }
        StartupPacket::TlsRequest | StartupPacket::GssRequest => return Ok(None),
    };
    match open_session(context, &mut link, parameters).await {
        Ok(parts) => {
            link.set_frame_size_max(ByteSize(context.process.message_size_max));
            link.set_memory(context.request_memory.reservation(BUFFER_EXEMPT));
            let proxy_settings = parts.request.proxy_settings.clone();
            let mut session = parts.into_session(context, link);
            if let Err(refusal) = set_proxy_settings(&mut session, &proxy_settings) {
                let error = LoginError::Setting(refusal.message);
                refuse_login(&mut session.link, &error).await;
                return Err(SessionEnd::Login(error));
            }
            let parameters = reported_parameters(context, &session);
            put_login_complete(&mut session.link, &parameters, &session.token, &session.cancel);
            // A session counts as used only once it has sent a request.
            connection.set_phase(ConnectionPhase::Starting);
            session.link.flush().await.map_err(SessionEnd::Caller)?;
            Ok(Some(session))
        }
        Err(error) => {
            refuse_login(&mut link, &error).await;
            Err(SessionEnd::Login(error))
        }
    }
}

struct SessionParts {
    request: LoginRequest,
    caller: CallerSettings,
    token: SessionToken,
    knowledge: FloorKnowledge,
}

async fn open_session(
    context: &Arc<InstanceContext>,
    link: &mut WireLink,
    parameters: Vec<(String, String)>,
) -> Result<SessionParts, LoginError> {
    let mut request = read_login(parameters)?;
    let fleet = context.fleet.load();
    authenticate(link, &context.process.login_rule(&request.user)).await?;
    let caller = fleet.settings.caller_for_user(&request.user).cloned();
    let caller = caller.unwrap_or_else(|| context.process.undeclared_caller_settings());
    let (token, knowledge) = match request.session.take() {
        Some(SessionClaim::Token(token)) => (token, FloorKnowledge::Known),
        Some(SessionClaim::Id(id)) => {
            (SessionToken::new(id), FloorKnowledge::Unknown(context.origin.elapsed()))
        }
        None => (SessionToken::new(SessionId::random()), FloorKnowledge::Known),
    };
    Ok(SessionParts { request, caller, token, knowledge })
}

impl SessionParts {
    fn into_session(self, context: &Arc<InstanceContext>, link: WireLink) -> CallerSession {
        CallerSession {
            link,
            service: self.request.service,
            caller: self.caller,
            caller_key: xxh3_64(self.request.user.as_bytes()),
            token: self.token,
            floor_at: Instant::now(),
            knowledge: self.knowledge,
            settings_verified: self.request.settings.is_empty(),
            settings: self.request.settings,
            prepared: Vec::new(),
            previous_names: Vec::new(),
            batch_memory: context.request_memory.reservation(BATCH_EXEMPT),
            state_memory: context.session_memory.reservation(STATE_EXEMPT),
            pinned: None,
            key: None,
            staleness: None,
            cancel: context.cancel_registry.register(),
        }
    }
}

fn reported_parameters(
    context: &InstanceContext,
    session: &CallerSession,
) -> Vec<(String, String)> {
    let fleet = context.fleet.load();
    let reported = fleet.group(&session.service).and_then(|group| group.reported_parameters());
    reported.unwrap_or_else(|| {
        DEFAULT_PARAMETERS
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect()
    })
}

async fn serve_batches(
    context: &Arc<InstanceContext>,
    session: &mut CallerSession,
    connection: &CallerConnection,
) -> Result<(), SessionEnd> {
    loop {
        let batch = match next_input(context, session, connection).await? {
            CallerInput::Batch(batch) => batch,
            CallerInput::Terminate => return Err(SessionEnd::Terminate),
        };
        connection.set_phase(ConnectionPhase::Busy);
        serve_batch(context, session, &batch).await?;
        drop(batch);
        session.reserve_state().map_err(|_| SessionEnd::Caller(WireError::NoMemory))?;
        // A smaller size always fits.
        let _ = session.batch_memory.resize(ByteSize(0));
        if !session.link.has_buffered_frame() || session.link.is_congested() {
            flush_reply(session, connection).await?;
        }
        if session.pinned.is_none() {
            connection.set_phase(ConnectionPhase::Idle);
        }
    }
}

/// Sends the reply. Within a transaction, which occupies a connection to a member, the idle timeout
/// ends the wait for a caller that does not read.
async fn flush_reply(
    session: &mut CallerSession,
    connection: &CallerConnection,
) -> Result<(), SessionEnd> {
    if session.pinned.is_some() {
        return session.link.flush().await.map_err(SessionEnd::Caller);
    }
    connection.set_phase(ConnectionPhase::Replying);
    tokio::select! {
        biased;
        flushed = session.link.flush() => flushed.map_err(SessionEnd::Caller),
        () = connection.wait_closing() => Err(SessionEnd::Caller(WireError::Closed)),
    }
}

async fn next_input(
    context: &Arc<InstanceContext>,
    session: &mut CallerSession,
    connection: &CallerConnection,
) -> Result<CallerInput, SessionEnd> {
    let timing = context.fleet.load().settings.timing.clone();
    let in_transaction = session.pinned.is_some();
    let bound = if in_transaction { timing.transaction_idle_timeout } else { timing.idle_timeout };
    let mut leaving = context.leaving.subscribe();
    let collect = timeout(bound, collect_batch(session, &context.summaries));
    tokio::select! {
        biased;
        input = collect => input.map_err(|_| SessionEnd::Idle)?.map_err(SessionEnd::Caller),
        // An open transaction is finished first; an idle caller is told to reconnect to another
        // instance.
        _ = leaving.wait_for(|leaving| *leaving), if !in_transaction => Err(SessionEnd::Leaving),
        () = connection.wait_closing(), if !in_transaction => Err(SessionEnd::Displaced),
    }
}

async fn serve_batch(
    context: &Arc<InstanceContext>,
    session: &mut CallerSession,
    batch: &CallerBatch,
) -> Result<(), SessionEnd> {
    if serve_locally(session, batch) {
        return Ok(());
    }
    if is_proxy_batch(batch) {
        return match serve_proxy_batch(session, batch) {
            true => Ok(()),
            false => finish_refusal(session, batch).await,
        };
    }
    if mixes_proxy_statements(batch) {
        let reason =
            "DEALLOCATE and SHOW of the proxy's own settings stand in batches of their own";
        return refuse(session, batch, &RefusalNotice::Unsupported(reason.to_owned())).await;
    }
    if let Some(reason) = batch.refusal() {
        return refuse(session, batch, &RefusalNotice::Unsupported(reason.to_owned())).await;
    }
    if session.pinned.is_some() {
        return transaction::serve(session, batch).await;
    }
    if batch.frames.is_empty() {
        put_ready(session.link.write_buffer(), b'I');
        return Ok(());
    }
    if !await_settings(context, session.caller.queue_wait).await {
        let notice = RefusalNotice::Starting { retry_after: STARTING_RETRY_AFTER };
        return refuse(session, batch, &notice).await;
    }
    let Some(group) = context.fleet.load().group(&session.service).cloned() else {
        let message = format!("there is no service {}", session.service);
        put_error(session.link.write_buffer(), "3D000", &message);
        return finish_refusal(session, batch).await;
    };
    serve_in_group(context, session, batch, &group).await
}

/// Waits until settings are in force. An instance that starts during an outage of the platform gets
/// them from a peer, possibly shortly after its first caller connects.
async fn await_settings(context: &InstanceContext, within: Duration) -> bool {
    let mut changes = context.fleet_changes.subscribe();
    let in_force = changes.wait_for(|_| context.fleet.load().revision > 0);
    matches!(timeout(within, in_force).await, Ok(Ok(_)))
}

async fn serve_in_group(
    context: &Arc<InstanceContext>,
    session: &mut CallerSession,
    batch: &CallerBatch,
    group: &Arc<GroupState>,
) -> Result<(), SessionEnd> {
    let reads = batch.is_read() || batch.begins() == Some(true);
    if reads && session.key.is_none() && batch.key().is_none() {
        read::serve(context, session, batch, group).await
    } else {
        write::serve(session, batch, group).await
    }
}

/// Responds to a batch with a refusal.
pub(crate) async fn refuse(
    session: &mut CallerSession,
    batch: &CallerBatch,
    notice: &RefusalNotice,
) -> Result<(), SessionEnd> {
    metrics::counter!("rudder_refusals_total", "class" => notice.class().to_string(),
        "sqlstate" => notice.sqlstate())
    .increment(1);
    session.restore_names(0);
    put_refusal(session.link.write_buffer(), notice);
    finish_refusal(session, batch).await
}

/// Responds to a batch with a member's rejection of the session's settings.
pub(crate) async fn refuse_settings(
    session: &mut CallerSession,
    batch: &CallerBatch,
    fields: &ErrorFields,
) -> Result<(), SessionEnd> {
    session.restore_names(0);
    let message = format!("the settings of this session are refused: {}", fields.message);
    put_error(session.link.write_buffer(), &fields.sqlstate, &message);
    finish_refusal(session, batch).await
}

/// Ends the response to a batch that was not run; after a Flush the rest up to Sync is skipped.
async fn finish_refusal(
    session: &mut CallerSession,
    batch: &CallerBatch,
) -> Result<(), SessionEnd> {
    if batch.end == BatchEnd::Flush {
        loop {
            let frame = session.link.next_frame().await.map_err(SessionEnd::Caller)?;
            if frame.tag == tag::SYNC {
                break;
            }
        }
    }
    // The member never received the batch, so an open transaction keeps its status.
    let status = session.status();
    put_ready(session.link.write_buffer(), status);
    Ok(())
}
