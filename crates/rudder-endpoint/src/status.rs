//! Parsing of status rows and error fields.

use crate::control::ControlError;
use rudder_core::{
    LogStamp, LogTerm, MemberStatus, ParseError, STATUS_COLUMNS, TERM_REFUSED_SQLSTATE, plain_data,
};

plain_data! {
    /// Fields of an error frame that the proxy uses.
    #[derive(Default)]
    pub struct ErrorFields {
        /// SQLSTATE.
        pub sqlstate: String,
        /// Primary message.
        pub message: String,
    }
}

/// Parses the body of an error frame; missing fields stay empty.
///
/// ```
/// let fields = rudder_endpoint::read_error_fields(b"C25006\0Mread only\0\0");
/// assert_eq!(fields.sqlstate, "25006");
/// ```
#[must_use]
pub fn read_error_fields(body: &[u8]) -> ErrorFields {
    let mut fields = ErrorFields::default();
    for field in body.split(|&byte| byte == 0) {
        let Some((kind, value)) = field.split_first() else { continue };
        match kind {
            b'C' => fields.sqlstate = String::from_utf8_lossy(value).into_owned(),
            b'M' => fields.message = String::from_utf8_lossy(value).into_owned(),
            _ => {}
        }
    }
    fields
}

/// Parses the body of a data row with the six text columns of `STATUS_COLUMNS`.
///
/// # Errors
///
/// [`ParseError`] if a column is missing or has the wrong type.
///
/// ```
/// let mut row = vec![0, 6];
/// for column in ["primary", "2", "2", "40", "2", "40"] {
///     row.extend([0, 0, 0, column.len() as u8]);
///     row.extend(column.as_bytes());
/// }
/// assert_eq!(rudder_endpoint::parse_status_row(&row)?.applied.to_string(), "2:40");
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
pub fn parse_status_row(body: &[u8]) -> Result<MemberStatus, ParseError> {
    let mut columns = RowColumns::new(body)?;
    Ok(MemberStatus {
        role: columns.next()?.parse()?,
        accepted: columns.next()?.parse()?,
        received: parse_stamp(&mut columns)?,
        applied: parse_stamp(&mut columns)?,
    })
}

/// Returns the greater term that a member names when it rejects a control statement.
///
/// ```
/// use rudder_endpoint::{ErrorFields, superseded_term};
/// let fields = ErrorFields { sqlstate: "RU001".into(), message: "term 7 has been accepted".into() };
/// assert_eq!(superseded_term(&fields), Some(rudder_core::LogTerm(7)));
/// ```
#[must_use]
pub fn superseded_term(fields: &ErrorFields) -> Option<LogTerm> {
    if fields.sqlstate != TERM_REFUSED_SQLSTATE {
        return None;
    }
    let mut numbers = fields.message.split(|char: char| !char.is_ascii_digit());
    numbers.find(|number| !number.is_empty())?.parse().ok()
}

/// Converts a member's error fields to a control error.
pub(crate) fn to_control_error(fields: &ErrorFields) -> ControlError {
    match superseded_term(fields) {
        Some(term) => ControlError::Superseded(term),
        None => ControlError::Refused(format!("{} ({})", fields.message, fields.sqlstate)),
    }
}

fn parse_stamp(columns: &mut RowColumns<'_>) -> Result<LogStamp, ParseError> {
    Ok(LogStamp { term: columns.next()?.parse()?, position: columns.next()?.parse()? })
}

struct RowColumns<'a> {
    rest: &'a [u8],
}

impl<'a> RowColumns<'a> {
    fn new(body: &'a [u8]) -> Result<Self, ParseError> {
        let (count, rest) = body.split_first_chunk::<2>().ok_or_else(malformed_status_row)?;
        if usize::from(u16::from_be_bytes(*count)) < STATUS_COLUMNS.len() {
            return Err(malformed_status_row());
        }
        Ok(Self { rest })
    }

    fn next(&mut self) -> Result<&'a str, ParseError> {
        let (size, rest) = self.rest.split_first_chunk::<4>().ok_or_else(malformed_status_row)?;
        let size =
            usize::try_from(i32::from_be_bytes(*size)).map_err(|_| malformed_status_row())?;
        let (text, rest) = rest.split_at_checked(size).ok_or_else(malformed_status_row)?;
        self.rest = rest;
        std::str::from_utf8(text).map_err(|_| malformed_status_row())
    }
}

fn malformed_status_row() -> ParseError {
    ParseError::Shape {
        what: "status row",
        text: "row".to_owned(),
        expected: "role, accepted_term, received_term, received, applied_term, applied",
    }
}
