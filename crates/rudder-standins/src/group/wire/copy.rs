//! `COPY` of tables in text format.

use super::encode::{put, put_complete};
use super::session::{BoundParameters, ClientSession, StatementError};
use crate::group::sql::error::SqlError;
use crate::group::sql::plan::{ConflictRule, CopyPlan};
use crate::group::sql::value::{SqlType, SqlValue};
use crate::group::tables::database::RowValues;
use crate::group::tables::matching::matching_rows;
use crate::group::tables::result::CommandTag;
use crate::group::tables::run_insert::{complete_row, insert_row, target_columns};
use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::copy::{CopyData, CopyDone, CopyInResponse, CopyOutResponse};
use std::io;

/// Text that represents null.
const NULL_TEXT: &str = "\\N";

/// End-of-data line that some clients send.
const END_LINE: &[u8] = b"\\.";

impl ClientSession {
    /// Inserts rows sent by the client; with `commit`, also commits the implicit transaction.
    pub(crate) async fn copy_in(
        &mut self,
        copy: &CopyPlan,
        commit: bool,
    ) -> Result<(), StatementError> {
        let schema = self.open_transaction().current.table(&copy.table)?.schema.clone();
        let targets = target_columns(&schema, &copy.columns)?;
        let formats = vec![0; targets.len()];
        let count = i16::try_from(targets.len()).unwrap_or(i16::MAX);
        put(&CopyInResponse::new(0, count, formats), &mut self.client.output);
        let data = self.receive_copy().await?;
        self.member.wait_thawed().await;
        let scope = self.scope(&BoundParameters::none());
        let mut copied = 0;
        for line in data.split(|byte| *byte == b'\n') {
            if line.is_empty() || line == END_LINE {
                continue;
            }
            let values = line_values(line, &targets, &schema.columns)?;
            let row = complete_row(&schema, values, &scope.info)?;
            insert_row(&schema, row, &ConflictRule::Fail, self.open_transaction(), &scope)?;
            copied += 1;
        }
        if commit {
            self.end_implicit()?;
        }
        put_complete(CommandTag::Counted("COPY", copied), 0, &mut self.client.output);
        Ok(())
    }

    /// Receives the client's data until `CopyDone`.
    async fn receive_copy(&mut self) -> Result<Bytes, StatementError> {
        let mut data = BytesMut::new();
        loop {
            match self.client.next_message().await? {
                Some(PgWireFrontendMessage::CopyData(part)) => data.put(part.data),
                Some(PgWireFrontendMessage::CopyDone(_)) => return Ok(data.freeze()),
                Some(PgWireFrontendMessage::CopyFail(fail)) => {
                    return Err(SqlError::CopyFailed(fail.message).into());
                }
                Some(PgWireFrontendMessage::Sync(_) | PgWireFrontendMessage::Flush(_)) => {}
                Some(_) => {
                    return Err(SqlError::Protocol("expected copy data".to_owned()).into());
                }
                None => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            }
        }
    }

    /// Sends the rows of a table to the client.
    pub(crate) async fn copy_out(&mut self, copy: &CopyPlan) -> Result<(), StatementError> {
        let scope = self.scope(&BoundParameters::none());
        let table = self.open_transaction().current.table(&copy.table)?.clone();
        let targets = target_columns(&table.schema, &copy.columns)?;
        let rows = matching_rows(&table, None, &scope)?;
        let count = i16::try_from(targets.len()).unwrap_or(i16::MAX);
        let formats = vec![0; targets.len()];
        put(&CopyOutResponse::new(0, count, formats), &mut self.client.output);
        let copied = rows.len() as u64;
        for (_, row) in rows {
            let line = row_line(&row, &targets);
            put(&CopyData::new(line.into()), &mut self.client.output);
            self.client.flush_large().await?;
        }
        put(&CopyDone::new(), &mut self.client.output);
        put_complete(CommandTag::Counted("COPY", copied), 0, &mut self.client.output);
        Ok(())
    }
}

fn line_values(
    line: &[u8],
    targets: &[usize],
    columns: &[crate::group::tables::database::ColumnSchema],
) -> Result<Vec<(usize, SqlValue)>, SqlError> {
    let text = std::str::from_utf8(line)
        .map_err(|_| SqlError::InvalidText("text", "bytes that are not UTF-8".to_owned()))?;
    let fields: Vec<_> = text.trim_end_matches('\r').split('\t').collect();
    if fields.len() != targets.len() {
        return Err(SqlError::CopyFailed(format!(
            "{} columns expected, {} found",
            targets.len(),
            fields.len()
        )));
    }
    let mut values = Vec::with_capacity(fields.len());
    for (field, &column) in fields.into_iter().zip(targets) {
        values.push((column, field_value(field, columns[column].kind)?));
    }
    Ok(values)
}

fn field_value(field: &str, kind: SqlType) -> Result<SqlValue, SqlError> {
    if field == NULL_TEXT {
        return Ok(SqlValue::Null);
    }
    SqlValue::from_text(kind, &unescaped(field))
}

fn unescaped(field: &str) -> String {
    let mut text = String::with_capacity(field.len());
    let mut characters = field.chars();
    while let Some(character) = characters.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        match characters.next() {
            Some('t') => text.push('\t'),
            Some('n') => text.push('\n'),
            Some('r') => text.push('\r'),
            Some(other) => text.push(other),
            None => text.push('\\'),
        }
    }
    text
}

fn row_line(row: &RowValues, targets: &[usize]) -> BytesMut {
    let mut line = BytesMut::new();
    for (index, &column) in targets.iter().enumerate() {
        if index > 0 {
            line.put_u8(b'\t');
        }
        match &row[column] {
            SqlValue::Null => line.put_slice(NULL_TEXT.as_bytes()),
            value => line.put_slice(escaped(&value.to_text()).as_bytes()),
        }
    }
    line.put_u8(b'\n');
    line
}

fn escaped(text: &str) -> String {
    let text = text.replace('\\', "\\\\").replace('\t', "\\t");
    text.replace('\n', "\\n").replace('\r', "\\r")
}
