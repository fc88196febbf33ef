//! Reads a table key by key and reports invalid, missing and unknown keys.

use super::nearest::nearest_key;
use super::value::ValueError;
use crate::folder::join_key;
use crate::problem::{SettingsProblem, SourcePlace};
use crate::source::{SourceEntry, SourceTable, SourceValue};
use std::str::FromStr;

/// Reads the keys of one table and records which keys are known.
pub(crate) struct TableReader<'t, 'p> {
    path: String,
    place: Option<SourcePlace>,
    table: &'t SourceTable,
    known_keys: Vec<&'static str>,
    problems: &'p mut Vec<SettingsProblem>,
}

impl<'t, 'p> TableReader<'t, 'p> {
    /// Creates a reader for the root of a tree.
    pub(crate) fn root(table: &'t SourceTable, problems: &'p mut Vec<SettingsProblem>) -> Self {
        Self { path: String::new(), place: None, table, known_keys: Vec::new(), problems }
    }

    /// Reports a problem with one key of this table.
    pub(crate) fn report_key(&mut self, key: &str, wrong: String, right: String) {
        let place = self.table.entry(key).map(|entry| entry.node.place.clone());
        let place = place.or_else(|| self.place.clone());
        self.problems.push(SettingsProblem { place, key: join_key(&self.path, key), wrong, right });
    }

    /// Reads an optional key.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&SourceValue) -> Result<T, ValueError>,
    ) -> Option<T> {
        self.known_keys.push(key);
        let entry = self.table.entry(key)?;
        match parse(&entry.node.value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report_key(key, error.wrong, error.right);
                None
            }
        }
    }

    /// Reads a required key.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        example: &str,
        parse: impl Fn(&SourceValue) -> Result<T, ValueError>,
    ) -> Option<T> {
        if self.table.entry(key).is_none() {
            self.known_keys.push(key);
            self.report_key(key, "missing".to_owned(), format!("add {key} = {example}"));
            return None;
        }
        self.optional(key, parse)
    }

    /// Reads a nested table.
    pub(crate) fn table<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut TableReader<'_, '_>) -> T,
    ) -> Option<T> {
        self.known_keys.push(key);
        let entry = self.table.entry(key)?;
        let path = join_key(&self.path, key);
        self.read_table(entry, path, read)
    }

    /// Reads a table whose keys are the names of nested tables. The result is sorted by name.
    pub(crate) fn named_tables<N: FromStr, T>(
        &mut self,
        key: &'static str,
        read: impl Fn(N, &mut TableReader<'_, '_>) -> Option<T>,
    ) -> Vec<T>
    where
        N::Err: std::fmt::Display,
    {
        self.table(key, |reader| {
            let entries = reader.table.entries.iter();
            entries.filter_map(|entry| reader.named_table(entry, &read)).collect()
        })
        .unwrap_or_default()
    }

    /// Reports every key of the table that was not read.
    pub(crate) fn finish(&mut self) {
        for entry in &self.table.entries {
            if self.known_keys.contains(&entry.key.as_str()) {
                continue;
            }
            let right = match nearest_key(&entry.key, &self.known_keys) {
                Some(key) => format!("did you mean {key}?"),
                None => format!("known keys: {}", self.known_keys.join(", ")),
            };
            self.problems.push(SettingsProblem {
                place: Some(entry.place.clone()),
                key: join_key(&self.path, &entry.key),
                wrong: "unknown key".to_owned(),
                right,
            });
        }
    }

    fn named_table<N: FromStr, T>(
        &mut self,
        entry: &SourceEntry,
        read: &impl Fn(N, &mut TableReader<'_, '_>) -> Option<T>,
    ) -> Option<T>
    where
        N::Err: std::fmt::Display,
    {
        let path = join_key(&self.path, &entry.key);
        match entry.key.parse::<N>() {
            Ok(name) => self.read_table(entry, path, |reader| read(name, reader))?,
            Err(error) => {
                self.problems.push(SettingsProblem {
                    place: Some(entry.place.clone()),
                    key: path,
                    wrong: format!("invalid name: {error}"),
                    right: "choose a name such as kigali-a".to_owned(),
                });
                None
            }
        }
    }

    fn read_table<T>(
        &mut self,
        entry: &SourceEntry,
        path: String,
        read: impl FnOnce(&mut TableReader<'_, '_>) -> T,
    ) -> Option<T> {
        let place = Some(entry.place.clone());
        let SourceValue::Table(table) = &entry.node.value else {
            let wrong = format!("{} is not a table", entry.node.value);
            let right = format!("open a table with [{path}]");
            self.problems.push(SettingsProblem { place, key: path, wrong, right });
            return None;
        };
        let problems = &mut *self.problems;
        let mut reader = TableReader { path, place, table, known_keys: Vec::new(), problems };
        let value = read(&mut reader);
        Some(value)
    }
}
