//! Encodes the responses that this proxy itself sends to callers.

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use rudder_core::RefusalNotice;

/// Type OID of `text`.
const TEXT_TYPE: u32 = 25;

/// Reason why encoding a small message cannot fail.
const WITHIN_LIMITS: &str = "the message is below the protocol's limits";

/// Adds a refusal, with the retry delay as its hint and the outcome class as its detail.
pub(crate) fn put_refusal(out: &mut BytesMut, notice: &RefusalNotice) {
    let mut fields = error_fields("ERROR", notice.sqlstate(), &notice.to_string());
    fields.push((b'D', format!("outcome: {}", notice.class())));
    if let Some(delay) = notice.retry_after() {
        fields.push((b'H', format!("retry after {} ms", delay.as_millis())));
    }
    ErrorResponse::new(fields).encode(out).expect(WITHIN_LIMITS);
}

/// Adds an error that ends the connection.
pub(crate) fn put_fatal(out: &mut BytesMut, sqlstate: &str, message: &str) {
    ErrorResponse::new(error_fields("FATAL", sqlstate, message)).encode(out).expect(WITHIN_LIMITS);
}

/// Adds an error for an invalid request, as opposed to a refusal.
pub(crate) fn put_error(out: &mut BytesMut, sqlstate: &str, message: &str) {
    ErrorResponse::new(error_fields("ERROR", sqlstate, message)).encode(out).expect(WITHIN_LIMITS);
}

/// Adds a ReadyForQuery with the transaction status `I`, `T` or `E`.
pub(crate) fn put_ready(out: &mut BytesMut, status: u8) {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    ReadyForQuery::new(status).encode(out).expect(WITHIN_LIMITS);
}

/// Adds the completion of a statement.
pub(crate) fn put_complete(out: &mut BytesMut, tag: &str) {
    CommandComplete::new(tag.to_owned()).encode(out).expect(WITHIN_LIMITS);
}

/// Adds the report of a setting's value.
pub(crate) fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    ParameterStatus::new(name.to_owned(), value.to_owned()).encode(out).expect(WITHIN_LIMITS);
}

/// Adds the description of a result of one text column.
pub(crate) fn put_text_column(out: &mut BytesMut, column: &str) {
    let field = FieldDescription::new(column.to_owned(), 0, 0, TEXT_TYPE, -1, -1, 0);
    RowDescription::new(vec![field]).encode(out).expect(WITHIN_LIMITS);
}

/// Adds a row of one text value.
pub(crate) fn put_text_value(out: &mut BytesMut, value: &str) {
    let mut data = BytesMut::new();
    data.extend_from_slice(&u32::try_from(value.len()).unwrap_or_default().to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    DataRow::new(data, 1).encode(out).expect(WITHIN_LIMITS);
}

fn error_fields(severity: &str, sqlstate: &str, message: &str) -> Vec<(u8, String)> {
    vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ]
}
