//! Parses a settings file into a tree of keys and values, each with its file and line.

use crate::file::SettingsFile;
use crate::problem::{SettingsProblem, SourcePlace};
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value and its location.
#[derive(Clone, Debug)]
pub(crate) struct SourceNode {
    pub(crate) place: SourcePlace,
    pub(crate) value: SourceValue,
}

/// A value of a settings file.
#[derive(Clone, Debug)]
pub(crate) enum SourceValue {
    Table(SourceTable),
    String(String),
    Integer(i64),
    Boolean(bool),
    List(Vec<SourceNode>),
    /// A type that no setting accepts, such as a float or date: its name and text for messages.
    Other(&'static str, String),
}

impl SourceValue {
    /// Returns the name of the value's type for messages.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Table(_) => "a table",
            Self::String(_) => "a string",
            Self::Integer(_) => "an integer",
            Self::Boolean(_) => "a boolean",
            Self::List(_) => "a list",
            Self::Other(kind, _) => kind,
        }
    }
}

impl std::fmt::Display for SourceValue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Table(_) => f.write_str("{…}"),
            Self::String(text) => write!(f, "\"{text}\""),
            Self::Integer(number) => write!(f, "{number}"),
            Self::Boolean(boolean) => write!(f, "{boolean}"),
            Self::List(nodes) => {
                let parts: Vec<String> = nodes.iter().map(|node| node.value.to_string()).collect();
                write!(f, "[{}]", parts.join(", "))
            }
            Self::Other(_, text) => f.write_str(text),
        }
    }
}

/// One key of a table with its location and value.
#[derive(Clone, Debug)]
pub(crate) struct SourceEntry {
    pub(crate) key: String,
    pub(crate) place: SourcePlace,
    pub(crate) node: SourceNode,
}

/// A table with its entries sorted by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceTable {
    pub(crate) entries: Vec<SourceEntry>,
}

impl SourceTable {
    /// Returns the entry of this key.
    pub(crate) fn entry(&self, key: &str) -> Option<&SourceEntry> {
        let index = self.position(key).ok()?;
        Some(&self.entries[index])
    }

    /// Returns the index of the key, or the index at which to insert it.
    pub(crate) fn position(&self, key: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.key.as_str().cmp(key))
    }
}

/// Parses one file. Every syntax error becomes a problem with its line.
pub(crate) fn parse_file(file: &SettingsFile) -> Result<SourceTable, Vec<SettingsProblem>> {
    let reader = TreeBuilder::new(file);
    let (table, errors) = DeTable::parse_recoverable(&file.text);
    if errors.is_empty() {
        return Ok(reader.table(table.get_ref()));
    }
    let problem = |error: &toml::de::Error| SettingsProblem {
        place: Some(reader.place(&error.span().unwrap_or_default())),
        key: String::new(),
        wrong: format!("invalid TOML: {}", error.message()),
        right: "give each key once, as key = value".to_owned(),
    };
    Err(errors.iter().map(problem).collect())
}

/// Builds the tree of one file and converts byte offsets to line numbers.
struct TreeBuilder<'f> {
    file: &'f SettingsFile,
    line_starts: Vec<usize>,
}

impl<'f> TreeBuilder<'f> {
    fn new(file: &'f SettingsFile) -> Self {
        let breaks = file.text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self { file, line_starts: std::iter::once(0).chain(breaks).collect() }
    }

    fn place(&self, span: &Range<usize>) -> SourcePlace {
        let line = self.line_starts.partition_point(|start| *start <= span.start);
        SourcePlace { file: self.file.name.clone(), line }
    }

    fn table(&self, table: &DeTable<'_>) -> SourceTable {
        let mut entries: Vec<SourceEntry> = table
            .iter()
            .map(|(key, value)| SourceEntry {
                key: key.get_ref().to_string(),
                place: self.place(&key.span()),
                node: self.node(value),
            })
            .collect();
        entries.sort_by(|one, other| one.key.cmp(&other.key));
        SourceTable { entries }
    }

    fn node(&self, value: &Spanned<DeValue<'_>>) -> SourceNode {
        SourceNode { place: self.place(&value.span()), value: self.value(value.get_ref()) }
    }

    fn value(&self, value: &DeValue<'_>) -> SourceValue {
        match value {
            DeValue::Table(table) => SourceValue::Table(self.table(table)),
            DeValue::String(text) => SourceValue::String(text.to_string()),
            DeValue::Boolean(boolean) => SourceValue::Boolean(*boolean),
            DeValue::Array(array) => {
                SourceValue::List(array.iter().map(|node| self.node(node)).collect())
            }
            DeValue::Integer(integer) => {
                match i64::from_str_radix(integer.as_str(), integer.radix()) {
                    Ok(number) => SourceValue::Integer(number),
                    Err(_) => SourceValue::Other("an integer out of range", integer.to_string()),
                }
            }
            DeValue::Float(float) => SourceValue::Other("a float", float.to_string()),
            DeValue::Datetime(date) => SourceValue::Other("a date", date.to_string()),
        }
    }
}
