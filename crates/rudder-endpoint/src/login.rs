//! Login at a member with trust, cleartext, MD5 or SCRAM authentication.

use crate::connection::CancelTarget;
use crate::status::read_error_fields;
use crate::wire::{WireError, WireLink, tag};
use bytes::BytesMut;
use displaydoc::Display;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;

/// Credentials and database for a login at a member.
#[derive(Clone, PartialEq, Eq)]
pub struct LoginSettings {
    /// User name.
    pub user: String,
    /// Database name.
    pub database: String,
    /// Password, if the user has one. Never logged.
    pub password: Option<String>,
}

impl std::fmt::Debug for LoginSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the password, because debug output is logged.
        f.debug_struct("LoginSettings")
            .field("user", &self.user)
            .field("database", &self.database)
            .finish_non_exhaustive()
    }
}

/// Error of opening or using a connection to a member.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum EndpointError {
    /// the member cannot be reached: {0}
    Unreachable(std::io::Error),
    /// the member did not answer in time
    TimedOut,
    /// the connection to the member failed: {0}
    Wire(WireError),
    /// the member refused the login ({sqlstate}): {message}
    Refused {
        /// SQLSTATE that the member returned.
        sqlstate: String,
        /// Error message that the member returned.
        message: String,
    },
    /// the member asks for a login that is not supported: {0}
    Unsupported(&'static str),
    /// the user needs a password at the member, but none is set
    PasswordMissing,
}

impl std::error::Error for EndpointError {}

impl From<WireError> for EndpointError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

impl From<std::io::Error> for EndpointError {
    fn from(error: std::io::Error) -> Self {
        Self::Wire(WireError::from(error))
    }
}

/// Parameters and cancel key received at login.
pub(crate) struct LoginOutcome {
    pub(crate) parameters: Vec<(String, String)>,
    pub(crate) cancel: CancelTarget,
}

/// Logs in on a new connection.
pub(crate) async fn log_in(
    link: &mut WireLink,
    settings: &LoginSettings,
) -> Result<LoginOutcome, EndpointError> {
    let parameters = [
        ("user", settings.user.as_str()),
        ("database", settings.database.as_str()),
        ("application_name", "arbutusrudder"),
        ("client_encoding", "UTF8"),
    ];
    frontend::startup_message(parameters, link.write_buffer())?;
    authenticate(link, settings).await?;
    await_ready(link).await
}

async fn authenticate(link: &mut WireLink, settings: &LoginSettings) -> Result<(), EndpointError> {
    let mut scram: Option<ScramSha256> = None;
    loop {
        match next_message(link).await? {
            Message::AuthenticationOk => return Ok(()),
            Message::AuthenticationCleartextPassword => {
                frontend::password_message(password_of(settings)?.as_bytes(), link.write_buffer())?;
            }
            Message::AuthenticationMd5Password(body) => {
                let hash = postgres_protocol::authentication::md5_hash(
                    settings.user.as_bytes(),
                    password_of(settings)?.as_bytes(),
                    body.salt(),
                );
                frontend::password_message(hash.as_bytes(), link.write_buffer())?;
            }
            Message::AuthenticationSasl(_) => {
                let password = password_of(settings)?.as_bytes();
                let exchange = ScramSha256::new(password, ChannelBinding::unsupported());
                frontend::sasl_initial_response(
                    SCRAM_SHA_256,
                    exchange.message(),
                    link.write_buffer(),
                )?;
                scram = Some(exchange);
            }
            Message::AuthenticationSaslContinue(body) => {
                let exchange = scram.as_mut().ok_or(EndpointError::Unsupported("SASL order"))?;
                exchange.update(body.data())?;
                frontend::sasl_response(exchange.message(), link.write_buffer())?;
            }
            Message::AuthenticationSaslFinal(body) => {
                let exchange = scram.as_mut().ok_or(EndpointError::Unsupported("SASL order"))?;
                exchange.finish(body.data())?;
            }
            _ => return Err(EndpointError::Unsupported("neither trust, password nor SCRAM")),
        }
    }
}

async fn await_ready(link: &mut WireLink) -> Result<LoginOutcome, EndpointError> {
    let mut parameters = Vec::new();
    let mut cancel = CancelTarget { process_id: 0, secret: 0 };
    loop {
        match next_message(link).await? {
            Message::ParameterStatus(body) => {
                parameters.push((body.name()?.to_owned(), body.value()?.to_owned()));
            }
            Message::BackendKeyData(body) => {
                cancel = CancelTarget { process_id: body.process_id(), secret: body.secret_key() };
            }
            Message::ReadyForQuery(_) => return Ok(LoginOutcome { parameters, cancel }),
            _ => {}
        }
    }
}

fn password_of(settings: &LoginSettings) -> Result<&str, EndpointError> {
    settings.password.as_deref().ok_or(EndpointError::PasswordMissing)
}

async fn next_message(link: &mut WireLink) -> Result<Message, EndpointError> {
    let frame = link.next_frame().await?;
    if frame.tag == tag::ERROR {
        let fields = read_error_fields(frame.body());
        return Err(EndpointError::Refused { sqlstate: fields.sqlstate, message: fields.message });
    }
    let mut bytes = BytesMut::from(frame.bytes);
    Message::parse(&mut bytes)?.ok_or(EndpointError::Wire(WireError::Malformed("a short frame")))
}
