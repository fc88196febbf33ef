//! Password authentication by SCRAM-SHA-256.

use super::client::ClientStream;
use super::encode::put;
use crate::group::sql::error::SqlError;
use pgwire::api::auth::sasl::SCRAM_SHA_256_METHOD;
use pgwire::api::auth::sasl::scram::{
    SCRAM_ITERATIONS, ScramSecret, ScramServerAuth, gen_salted_password,
};
use pgwire::messages::PgWireFrontendMessage as FrontendMessage;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily};
use std::io;

/// Length of the salt in bytes, as PostgreSQL uses.
const SALT_BYTES: usize = 16;

/// Authenticates the client by SCRAM, which does not transmit the password.
pub(crate) async fn authenticate(
    client: &mut ClientStream,
    password: &str,
) -> io::Result<Result<(), SqlError>> {
    let rejected = Ok(Err(SqlError::PasswordRefused));
    put(&Authentication::SASL(vec![SCRAM_SHA_256_METHOD.to_owned()]), &mut client.output);
    let Some(first) = next_password_message(client).await? else { return rejected };
    let Ok(first) = first.into_sasl_initial_response() else { return rejected };
    let salt: [u8; SALT_BYTES] = rand::random();
    let salted_password = gen_salted_password(password, &salt, SCRAM_ITERATIONS);
    let secret = ScramSecret::SaltedPassword { salt: salt.to_vec(), salted_password };
    let first = first.data.unwrap_or_default();
    let server = ScramServerAuth::new();
    let Ok((challenge, server)) = server.on_client_first_message_with_secret(&first, secret) else {
        return rejected;
    };
    put(&Authentication::SASLContinue(challenge.into()), &mut client.output);
    let Some(last) = next_password_message(client).await? else { return rejected };
    let Ok(last) = last.into_sasl_response() else { return rejected };
    let Ok(signature) = server.on_client_final_message(&last.data) else { return rejected };
    put(&Authentication::SASLFinal(signature.into()), &mut client.output);
    Ok(Ok(()))
}

async fn next_password_message(
    client: &mut ClientStream,
) -> io::Result<Option<PasswordMessageFamily>> {
    match client.next_message().await? {
        Some(FrontendMessage::PasswordMessageFamily(family)) => Ok(Some(family)),
        _ => Ok(None),
    }
}
