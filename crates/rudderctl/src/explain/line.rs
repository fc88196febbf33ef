//! One log line, as instances write it and collectors pass it on.

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::{Map, Value};

/// A line as instances write it.
#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

/// One fact of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogField {
    pub(super) name: String,
    pub(super) value: String,
}

/// A line that could be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogLine {
    /// When it was written, by the clock of its instance.
    pub(super) time: Timestamp,
    /// Who wrote it: what the collector put before the line, or the name of the file.
    pub(super) source: String,
    pub(super) message: String,
    /// Sorted by name.
    pub(super) fields: Vec<LogField>,
}

impl LogLine {
    /// Reads a line; collectors may have put words before it, of which the last names the instance.
    /// None if it is no line of an instance.
    pub(super) fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let json: JsonLine = serde_json::from_str(text[start..].trim_end()).ok()?;
        let prefix = text[..start].split_whitespace().last();
        let mut fields: Vec<LogField> = json.kvs.into_iter().map(LogField::from).collect();
        fields.sort_by(|left, right| left.name.cmp(&right.name));
        Some(Self {
            time: json.timestamp.parse().ok()?,
            source: prefix.unwrap_or(file).to_owned(),
            message: json.message,
            fields,
        })
    }

    /// Whether another line tells of the same, ages apart, which differ between instances.
    pub(super) fn is_duplicate_of(&self, other: &Self) -> bool {
        let comparable_fields = |line: &Self| -> Vec<LogField> {
            line.fields.iter().filter(|field| !field.name.ends_with("_ms")).cloned().collect()
        };
        self.message == other.message && comparable_fields(self) == comparable_fields(other)
    }

    /// The value of a fact.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.binary_search_by(|field| field.name.as_str().cmp(name));
        found.ok().map(|index| self.fields[index].value.as_str())
    }
}

impl From<(String, Value)> for LogField {
    fn from((name, value): (String, Value)) -> Self {
        let value = match value {
            Value::String(text) => text,
            other => other.to_string(),
        };
        Self { name, value }
    }
}
