//! Proof of a password.

use super::client::ClientStream;
use super::encode::put;
use super::error::SqlError;
use pgwire::messages::PgWireFrontendMessage as FrontendMessage;
use pgwire::messages::startup::Authentication;
use std::io;

/// Asks for the password and compares it.
pub(crate) async fn prove_password(
    client: &mut ClientStream,
    password: &str,
) -> io::Result<Result<(), SqlError>> {
    put(&Authentication::CleartextPassword, &mut client.output);
    let Some(FrontendMessage::PasswordMessageFamily(family)) = client.next_message().await? else {
        return Ok(Err(SqlError::PasswordRefused));
    };
    match family.into_password() {
        Ok(given) if given.password == password => Ok(Ok(())),
        _ => Ok(Err(SqlError::PasswordRefused)),
    }
}
