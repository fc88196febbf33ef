//! Login of a caller: negotiation, parameters, authentication.

use super::cancel::CancelEntry;
use super::local::PROXY_PREFIX;
use super::response::{put_fatal, put_parameter, put_ready};
use crate::process::LoginRule;
use bytes::Bytes;
use displaydoc::Display;
use pgwire::api::auth::Password;
use pgwire::api::auth::sasl::scram::{ScramServerAuth, gen_salted_password};
use pgwire::messages::Message;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use rudder_core::{ParseError, ServiceName, SessionId, SessionToken};
use rudder_endpoint::{StartupPacket, WireError, WireLink, tag};

/// Iterations of the password hash, the minimum that the standard allows.
const SCRAM_ITERATIONS: usize = 4096;

const SCRAM_MECHANISM: &str = "SCRAM-SHA-256";

/// Parameters used by the login itself, or not allowed on shared connections. Sorted.
const RESERVED_PARAMETERS: [&str; 6] =
    ["database", "options", "replication", "rudder.session", "rudder.session_id", "user"];

/// Reason why a caller's login failed.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum LoginError {
    /// the caller's connection failed: {0}
    Wire(WireError),
    /// the login names no user
    UserMissing,
    /// the database is not the name of a service: {0}
    Service(ParseError),
    /// the session token cannot be read: {0}
    Token(ParseError),
    /// a login option is not of the form "-c name=value", or its name is not a setting's
    Options,
    /// a setting of the login is refused: {0}
    Setting(String),
    /// the password is wrong
    Password,
    /// replication connections are not served
    Replication,
}

impl std::error::Error for LoginError {}

impl From<WireError> for LoginError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

impl LoginError {
    /// Returns the SQLSTATE for the caller.
    pub(crate) fn sqlstate(&self) -> &'static str {
        match self {
            Self::Wire(_) => "08P01",
            Self::UserMissing | Self::Password => "28P01",
            Self::Service(_) => "3D000",
            Self::Token(_) | Self::Options | Self::Setting(_) => "22023",
            Self::Replication => "0A000",
        }
    }
}

/// Parameters of a caller's login.
#[derive(Debug)]
pub(crate) struct LoginRequest {
    pub(crate) user: String,
    /// The requested service.
    pub(crate) service: ServiceName,
    /// The session that it continues, if any.
    pub(crate) session: Option<SessionClaim>,
    /// Settings of the proxy itself.
    pub(crate) proxy_settings: Vec<(String, String)>,
    /// Settings for its statements, sorted by name.
    pub(crate) settings: Vec<(String, String)>,
}

/// The session that a caller continues.
#[derive(Debug)]
pub(crate) enum SessionClaim {
    /// By its token.
    Token(SessionToken),
    /// By its id only: the least log position that it must see is not known yet.
    Id(SessionId),
}

/// Parses the parameters of a login.
pub(crate) fn read_login(parameters: Vec<(String, String)>) -> Result<LoginRequest, LoginError> {
    let mut all: Vec<(String, String)> = Vec::with_capacity(parameters.len());
    for (name, value) in parameters {
        if name == "options" {
            all.extend(read_options(&value)?);
        }
        all.push((name.to_ascii_lowercase(), value));
    }
    // Names become part of SET statements, so other characters would allow SQL injection.
    if !all.iter().all(|(name, _)| is_plain_name(name)) {
        return Err(LoginError::Options);
    }
    let find =
        |wanted: &str| all.iter().find(|(name, _)| name == wanted).map(|(_, value)| value.clone());
    if find("replication").is_some_and(|value| value != "false" && value != "off") {
        return Err(LoginError::Replication);
    }
    let user = find("user").ok_or(LoginError::UserMissing)?;
    let database = find("database").unwrap_or_else(|| user.clone());
    let session = match (find("rudder.session"), find("rudder.session_id")) {
        (Some(token), _) => Some(SessionClaim::Token(token.parse().map_err(LoginError::Token)?)),
        (None, Some(id)) => Some(SessionClaim::Id(id.parse().map_err(LoginError::Token)?)),
        (None, None) => None,
    };
    let service = database.parse().map_err(LoginError::Service)?;
    let is_proxy_setting = |name: &str| {
        name.starts_with(PROXY_PREFIX) && RESERVED_PARAMETERS.binary_search(&name).is_err()
    };
    let proxy_settings = all.iter().filter(|(name, _)| is_proxy_setting(name)).cloned().collect();
    Ok(LoginRequest { user, service, session, proxy_settings, settings: settings_of(&all) })
}

fn is_plain_name(name: &str) -> bool {
    !name.is_empty()
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._".contains(&byte))
}

fn settings_of(parameters: &[(String, String)]) -> Vec<(String, String)> {
    let mut settings: Vec<(String, String)> = Vec::new();
    for (name, value) in parameters {
        let protocol = name.starts_with("_pq_.");
        if protocol
            || name.starts_with(PROXY_PREFIX)
            || RESERVED_PARAMETERS.binary_search(&name.as_str()).is_ok()
        {
            continue;
        }
        let statement = format!("SET {name} = '{}'", value.replace('\'', "''"));
        match settings.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(index) => settings[index].1 = statement,
            Err(index) => settings.insert(index, (name.clone(), statement)),
        }
    }
    settings
}

/// Parses `-c name=value` options; a backslash escapes a space.
fn read_options(text: &str) -> Result<Vec<(String, String)>, LoginError> {
    let marked = text.replace("\\ ", "\u{1}");
    let mut words = marked.split_whitespace().map(|word| word.replace('\u{1}', " "));
    let mut options = Vec::new();
    while let Some(word) = words.next() {
        let assignment = match word.strip_prefix("-c").or_else(|| word.strip_prefix("--")) {
            Some("") => words.next().ok_or(LoginError::Options)?,
            Some(rest) => rest.to_owned(),
            None => return Err(LoginError::Options),
        };
        let (name, value) = assignment.split_once('=').ok_or(LoginError::Options)?;
        options.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    Ok(options)
}

/// Checks the caller's password by SCRAM, if its user has one.
pub(crate) async fn authenticate(link: &mut WireLink, rule: &LoginRule) -> Result<(), LoginError> {
    match rule {
        LoginRule::Trusted => {}
        LoginRule::Password(password) => run_scram(link, password).await?,
        LoginRule::Refused => return Err(LoginError::Password),
    }
    put_authentication(link, &Authentication::Ok);
    Ok(())
}

async fn run_scram(link: &mut WireLink, password: &str) -> Result<(), LoginError> {
    put_authentication(link, &Authentication::SASL(vec![SCRAM_MECHANISM.to_owned()]));
    let first = read_password(link).await?;
    // Initial response: the mechanism's name, the length, the data.
    let data = first
        .strip_prefix(SCRAM_MECHANISM.as_bytes())
        .and_then(|rest| rest.get(5..))
        .ok_or(LoginError::Password)?;
    let salt: [u8; 16] = rand::random();
    let salted = gen_salted_password(password, &salt, SCRAM_ITERATIONS);
    let expected = Password::new(Some(salt.to_vec()), salted);
    let mut scram = ScramServerAuth::new();
    scram.set_iterations(SCRAM_ITERATIONS);
    let (server_message, exchange) =
        scram.on_client_first_message(data, expected).map_err(|_| LoginError::Password)?;
    put_authentication(link, &Authentication::SASLContinue(Bytes::from(server_message)));
    let proof = read_password(link).await?;
    let server_message =
        exchange.on_client_final_message(&proof).map_err(|_| LoginError::Password)?;
    put_authentication(link, &Authentication::SASLFinal(Bytes::from(server_message)));
    Ok(())
}

async fn read_password(link: &mut WireLink) -> Result<Vec<u8>, LoginError> {
    let frame = link.next_frame().await?;
    if frame.tag != tag::PASSWORD {
        return Err(LoginError::Wire(WireError::Malformed("expected a password message")));
    }
    Ok(frame.body().to_vec())
}

fn put_authentication(link: &mut WireLink, message: &Authentication) {
    message.encode(link.write_buffer()).expect("the message is below the protocol's limits");
}

/// Adds the messages that complete a login.
pub(crate) fn put_login_complete(
    link: &mut WireLink,
    parameters: &[(String, String)],
    token: &SessionToken,
    cancel: &CancelEntry,
) {
    let out = link.write_buffer();
    for (name, value) in parameters {
        put_parameter(out, name, value);
    }
    put_parameter(out, "rudder.session", &token.to_string());
    let (process_id, secret) = cancel.key();
    BackendKeyData::new(process_id, SecretKey::I32(secret))
        .encode(out)
        .expect("the message is below the protocol's limits");
    put_ready(out, b'I');
}

/// Sends the error of a failed login.
pub(crate) async fn refuse_login(link: &mut WireLink, error: &LoginError) {
    put_fatal(link.write_buffer(), error.sqlstate(), &error.to_string());
    // Ignored: the caller may have closed the connection already.
    let _ = link.flush().await;
}

/// Reads startup packets up to a login or cancel request. Accepts TLS if it is configured, and
/// declines GSS.
pub(crate) async fn negotiate(
    mut link: WireLink,
    tls: Option<&tokio_rustls::TlsAcceptor>,
    frame_size_max: rudder_core::ByteSize,
) -> Result<(WireLink, StartupPacket), LoginError> {
    loop {
        match link.next_startup_packet().await? {
            StartupPacket::TlsRequest => match tls {
                Some(acceptor) => {
                    link.write_buffer().extend_from_slice(b"S");
                    link.flush().await?;
                    let stream = acceptor
                        .accept(link.into_stream()?)
                        .await
                        .map_err(|error| LoginError::Wire(WireError::from(error)))?;
                    link = WireLink::new(Box::new(stream), frame_size_max);
                }
                None => {
                    link.write_buffer().extend_from_slice(b"N");
                    link.flush().await?;
                }
            },
            StartupPacket::GssRequest => {
                link.write_buffer().extend_from_slice(b"N");
                link.flush().await?;
            }
            packet => return Ok((link, packet)),
        }
    }
}
