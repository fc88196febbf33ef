//! SQL values, their types, and their text and binary wire formats.

use super::error::SqlError;
use bytes::{BufMut, BytesMut};
use std::sync::Arc;

/// Supported column types; any other type is treated as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SqlType {
    Bool,
    Int4,
    Int8,
    Text,
    /// Supported for parameters only, so that `pg_sleep($1)` works; stored as text.
    Float8,
    /// Result type of functions that return nothing.
    Void,
}

/// Object ids of types as PostgreSQL assigns them.
const TYPE_OIDS: [(SqlType, u32); 6] = [
    (SqlType::Bool, 16),
    (SqlType::Int8, 20),
    (SqlType::Int4, 23),
    (SqlType::Text, 25),
    (SqlType::Float8, 701),
    (SqlType::Void, 2278),
];

impl SqlType {
    /// Returns the type's object id.
    pub(crate) fn oid(self) -> u32 {
        TYPE_OIDS.iter().find(|(kind, _)| *kind == self).map_or(25, |(_, oid)| *oid)
    }

    /// Returns the type with this object id; text for unsupported types.
    pub(crate) fn from_oid(oid: u32) -> Self {
        TYPE_OIDS.iter().find(|(_, known)| *known == oid).map_or(Self::Text, |(kind, _)| *kind)
    }

    /// Returns the size in bytes, or -1 if it is variable.
    pub(crate) fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int4 => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Void => 4,
            Self::Text => -1,
        }
    }

    /// Returns the type's name for messages.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Bool => "boolean",
            Self::Int4 => "integer",
            Self::Int8 => "bigint",
            Self::Text => "text",
            Self::Float8 => "double precision",
            Self::Void => "void",
        }
    }
}

/// SQL value. Integers of both widths have the same representation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SqlValue {
    Null,
    Bool(bool),
    Int(i64),
    Text(Arc<str>),
}

impl SqlValue {
    /// Creates a text value.
    pub(crate) fn text(text: &str) -> Self {
        Self::Text(text.into())
    }

    /// Returns the type that a literal with this value has.
    pub(crate) fn literal_type(&self) -> SqlType {
        match self {
            Self::Bool(_) => SqlType::Bool,
            Self::Int(number) if i32::try_from(*number).is_ok() => SqlType::Int4,
            Self::Int(_) => SqlType::Int8,
            Self::Null | Self::Text(_) => SqlType::Text,
        }
    }

    /// Parses a value in the text format of `kind`.
    pub(crate) fn from_text(kind: SqlType, text: &str) -> Result<Self, SqlError> {
        let invalid = || SqlError::InvalidText(kind.name(), text.to_owned());
        match kind {
            SqlType::Bool => match text.to_ascii_lowercase().as_str() {
                "t" | "true" | "on" | "yes" | "1" => Ok(Self::Bool(true)),
                "f" | "false" | "off" | "no" | "0" => Ok(Self::Bool(false)),
                _ => Err(invalid()),
            },
            SqlType::Int4 => text
                .trim()
                .parse::<i32>()
                .map(|number| Self::Int(number.into()))
                .map_err(|_| invalid()),
            SqlType::Int8 => text.trim().parse().map(Self::Int).map_err(|_| invalid()),
            SqlType::Float8 => match text.trim().parse::<f64>() {
                Ok(_) => Ok(Self::text(text.trim())),
                Err(_) => Err(invalid()),
            },
            SqlType::Text | SqlType::Void => Ok(Self::text(text)),
        }
    }

    /// Parses a value in the binary format of `kind`.
    pub(crate) fn from_binary(kind: SqlType, bytes: &[u8]) -> Result<Self, SqlError> {
        let invalid = || SqlError::Protocol(format!("incorrect binary format for {}", kind.name()));
        match kind {
            SqlType::Bool => match bytes {
                [byte] => Ok(Self::Bool(*byte != 0)),
                _ => Err(invalid()),
            },
            SqlType::Int4 => match bytes.try_into() {
                Ok(array) => Ok(Self::Int(i32::from_be_bytes(array).into())),
                Err(_) => Err(invalid()),
            },
            SqlType::Int8 => match bytes.try_into() {
                Ok(array) => Ok(Self::Int(i64::from_be_bytes(array))),
                Err(_) => Err(invalid()),
            },
            SqlType::Float8 => match bytes.try_into() {
                Ok(array) => Ok(Self::text(&f64::from_be_bytes(array).to_string())),
                Err(_) => Err(invalid()),
            },
            SqlType::Text | SqlType::Void => {
                std::str::from_utf8(bytes).map(Self::text).map_err(|_| invalid())
            }
        }
    }

    /// Converts the value to `kind`, as in an assignment or an explicit cast.
    pub(crate) fn coerce(self, kind: SqlType) -> Result<Self, SqlError> {
        match (self, kind) {
            (Self::Null, _) => Ok(Self::Null),
            (Self::Int(number), SqlType::Int4) => {
                i32::try_from(number).map_err(|_| SqlError::OutOfRange)?;
                Ok(Self::Int(number))
            }
            (Self::Int(number), SqlType::Int8) => Ok(Self::Int(number)),
            (Self::Int(number), SqlType::Bool) => Ok(Self::Bool(number != 0)),
            (Self::Bool(flag), SqlType::Bool) => Ok(Self::Bool(flag)),
            (Self::Bool(flag), SqlType::Int4 | SqlType::Int8) => Ok(Self::Int(flag.into())),
            (Self::Text(text), SqlType::Text) => Ok(Self::Text(text)),
            (Self::Text(text), _) => Self::from_text(kind, &text),
            (value, SqlType::Text | SqlType::Float8 | SqlType::Void) => {
                Ok(Self::text(&value.to_text()))
            }
        }
    }

    /// Returns the value in text format; null is the empty text.
    pub(crate) fn to_text(&self) -> String {
        match self {
            Self::Null => String::new(),
            Self::Bool(true) => "t".to_owned(),
            Self::Bool(false) => "f".to_owned(),
            Self::Int(number) => number.to_string(),
            Self::Text(text) => text.as_ref().to_owned(),
        }
    }

    /// Appends the value as a field of a data row: its length, then its bytes in the given format.
    pub(crate) fn encode_field(&self, kind: SqlType, binary: bool, out: &mut BytesMut) {
        match self {
            Self::Null => out.put_i32(-1),
            Self::Text(text) if binary && kind == SqlType::Float8 => {
                out.put_i32(8);
                out.put_f64(text.parse().unwrap_or(f64::NAN));
            }
            Self::Text(text) => put_field(text.as_bytes(), out),
            Self::Bool(flag) if binary => put_field(&[u8::from(*flag)], out),
            Self::Bool(flag) => put_field(if *flag { b"t" } else { b"f" }, out),
            Self::Int(number) if binary && kind == SqlType::Int4 => {
                out.put_i32(4);
                // Int4 values are range-checked when they are converted to the column's type.
                out.put_i32(i32::try_from(*number).unwrap_or(i32::MAX));
            }
            Self::Int(number) if binary => {
                out.put_i32(8);
                out.put_i64(*number);
            }
            Self::Int(number) => put_number(*number, out),
        }
    }
}

fn put_field(bytes: &[u8], out: &mut BytesMut) {
    let length = i32::try_from(bytes.len()).unwrap_or(i32::MAX);
    out.put_i32(length);
    out.put_slice(bytes);
}

fn put_number(number: i64, out: &mut BytesMut) {
    use std::io::Write;

    /// Maximum length of a 64-bit number in decimal, with its sign.
    const DIGITS_MAX: usize = 20;
    let mut digits = [0_u8; DIGITS_MAX];
    let mut rest = digits.as_mut_slice();
    write!(rest, "{number}").expect("the buffer holds any 64-bit number");
    let free = rest.len();
    put_field(&digits[..DIGITS_MAX - free], out);
}
