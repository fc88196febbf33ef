//! Parses log lines of instances, with the prefix that a log collector may add.

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Line as an instance writes it, in JSON.
#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

/// Key and value of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogField {
    pub(super) name: String,
    pub(super) value: String,
}

/// Parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Timestamp, by the clock of the instance that wrote the line.
    pub(super) time: Timestamp,
    /// Instance that wrote the line: the collector's prefix or, without one, the name of the file.
    pub(super) source: String,
    pub(super) message: String,
    /// Fields, sorted by name.
    pub(super) fields: Vec<LogField>,
}

impl LogLine {
    /// Parses a line. The last word of a collector's prefix names the instance. Returns `None` for
    /// text that no instance wrote.
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

    /// Whether another line reports the same event. Durations (`_ms`) are ignored, because they
    /// differ between instances.
    pub(super) fn is_duplicate_of(&self, other: &Self) -> bool {
        let comparable_fields = |line: &Self| -> Vec<LogField> {
            line.fields.iter().filter(|field| !field.name.ends_with("_ms")).cloned().collect()
        };
        self.message == other.message && comparable_fields(self) == comparable_fields(other)
    }

    /// Returns the value of a field.
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
