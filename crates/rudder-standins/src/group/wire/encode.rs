//! Encoding of backend messages.

use crate::group::sql::error::SqlError;
use crate::group::sql::value::{SqlType, SqlValue};
use crate::group::tables::result::{CommandTag, NoticeMessage, OutputColumn};
use bytes::{BufMut, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::data::{
    FORMAT_CODE_BINARY, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, NoticeResponse, ReadyForQuery, TransactionStatus,
};

/// Appends a message.
pub(crate) fn put(message: &impl Message, out: &mut BytesMut) {
    if let Err(error) = message.encode(out) {
        log::error!(error:% = error; "failed to encode a message");
    }
}

/// Appends an error.
pub(crate) fn put_error(severity: &str, error: &SqlError, out: &mut BytesMut) {
    let fields = response_fields(severity, error.sqlstate(), error.to_string());
    put(&ErrorResponse::new(fields), out);
}

/// Appends a notice.
pub(crate) fn put_notice(notice: &NoticeMessage, out: &mut BytesMut) {
    let fields = response_fields(notice.severity, notice.sqlstate, notice.text.clone());
    put(&NoticeResponse::new(fields), out);
}

fn response_fields(severity: &str, sqlstate: &str, message: String) -> Vec<(u8, String)> {
    vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message),
    ]
}

/// Appends `ReadyForQuery`, which ends the response to a request.
pub(crate) fn put_ready(status: TransactionStatus, out: &mut BytesMut) {
    put(&ReadyForQuery::new(status), out);
}

/// Appends `CommandComplete`; `sent` is the number of rows that were sent.
pub(crate) fn put_complete(tag: CommandTag, sent: u64, out: &mut BytesMut) {
    let text = match tag {
        CommandTag::Plain(name) => name.to_owned(),
        CommandTag::Counted(name, count) => format!("{name} {count}"),
        CommandTag::Sent(name) => format!("{name} {sent}"),
    };
    put(&CommandComplete::new(text), out);
}

/// Returns whether the column at `index` has the binary format.
pub(crate) fn is_binary(formats: &[i16], index: usize) -> bool {
    match formats {
        [] => false,
        [format] => *format == FORMAT_CODE_BINARY,
        _ => formats.get(index) == Some(&FORMAT_CODE_BINARY),
    }
}

/// Appends the description of a result's columns, or `NoData` for a statement without a result.
pub(crate) fn put_columns(columns: Option<&[OutputColumn]>, formats: &[i16], out: &mut BytesMut) {
    let Some(columns) = columns else { return put(&NoData::new(), out) };
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let format = i16::from(is_binary(formats, index));
        let name = column.name.as_ref().to_owned();
        FieldDescription::new(name, 0, 0, column.kind.oid(), column.kind.size(), -1, format)
    });
    put(&RowDescription::new(fields.collect()), out);
}

/// Appends the types of a statement's parameters.
pub(crate) fn put_parameters(kinds: &[SqlType], out: &mut BytesMut) {
    let oids = kinds.iter().map(|kind| kind.oid()).collect();
    put(&ParameterDescription::new(oids), out);
}

/// Appends a data row.
///
/// Rows are most of the traffic, so they are encoded directly into the buffer; the length is
/// filled in afterwards.
pub(crate) fn put_row(
    row: &[SqlValue],
    columns: &[OutputColumn],
    formats: &[i16],
    out: &mut BytesMut,
) {
    out.put_u8(b'D');
    let start = out.len();
    out.put_i32(0);
    out.put_u16(u16::try_from(row.len()).unwrap_or(u16::MAX));
    for (index, value) in row.iter().enumerate() {
        let kind = columns.get(index).map_or(SqlType::Text, |column| column.kind);
        value.encode_field(kind, is_binary(formats, index), out);
    }
    let length = i32::try_from(out.len() - start).unwrap_or(i32::MAX);
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}
