//! Session settings: `SET`, `RESET` and `SHOW`.

use crate::group::sql::error::SqlError;
use crate::group::sql::scalar::SERVER_VERSION;
use std::sync::Arc;
use std::time::Duration;

/// Known settings sorted by name: name, default, and whether changes are reported to the client.
const KNOWN_SETTINGS: [(&str, &str, bool); 18] = [
    ("application_name", "", true),
    ("client_encoding", "UTF8", true),
    ("client_min_messages", "notice", false),
    ("datestyle", "ISO, MDY", true),
    ("default_transaction_read_only", "off", true),
    ("extra_float_digits", "1", false),
    ("idle_in_transaction_session_timeout", "0", false),
    ("in_hot_standby", "off", true),
    ("integer_datetimes", "on", true),
    ("intervalstyle", "postgres", true),
    ("lock_timeout", "0", false),
    ("search_path", "\"$user\", public", false),
    ("server_encoding", "UTF8", true),
    ("server_version", SERVER_VERSION, true),
    ("standard_conforming_strings", "on", true),
    ("statement_timeout", "0", false),
    ("timezone", "UTC", true),
    ("transaction_isolation", "repeatable read", false),
];

/// Names of reported settings whose reported form is not lower case.
const REPORTED_NAMES: [(&str, &str); 3] =
    [("datestyle", "DateStyle"), ("intervalstyle", "IntervalStyle"), ("timezone", "TimeZone")];

/// Settings that a session changed, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SessionSettings {
    /// Values of the startup message, restored by `RESET`.
    initial: Vec<(Arc<str>, Arc<str>)>,
    current: Vec<(Arc<str>, Arc<str>)>,
}

impl SessionSettings {
    /// Creates the settings given in the startup message.
    pub(crate) fn new(mut initial: Vec<(Arc<str>, Arc<str>)>) -> Self {
        initial.sort();
        Self { current: initial.clone(), initial }
    }

    /// Returns the value of a setting.
    pub(crate) fn get(&self, name: &str) -> Result<&str, SqlError> {
        if let Ok(index) = find(&self.current, name) {
            return Ok(&self.current[index].1);
        }
        known(name)
            .map(|(_, value, _)| *value)
            .ok_or_else(|| SqlError::UnknownParameter(name.to_owned()))
    }

    /// Returns the statement timeout, which includes the wait for a slot; `None` if it is disabled.
    pub(crate) fn statement_timeout(&self) -> Option<Duration> {
        let text = self.get("statement_timeout").ok()?;
        let digits = text.trim_end_matches(|character: char| !character.is_ascii_digit());
        let number: u64 = digits.parse().ok()?;
        let timeout = match text[digits.len()..].trim() {
            "s" => Duration::from_secs(number),
            "min" => Duration::from_secs(number * 60),
            _ => Duration::from_millis(number),
        };
        if timeout.is_zero() { None } else { Some(timeout) }
    }

    /// Changes a setting, or resets it if `value` is `None`; returns the name and value to report
    /// to the client, if any.
    ///
    /// Names with a dot belong to extensions and are always accepted.
    pub(crate) fn set(
        &mut self,
        name: &str,
        value: Option<&Arc<str>>,
    ) -> Result<Option<(String, String)>, SqlError> {
        if known(name).is_none() && !name.contains('.') {
            return Err(SqlError::UnknownParameter(name.to_owned()));
        }
        let initial =
            find(&self.initial, name).ok().map(|index| Arc::clone(&self.initial[index].1));
        match (find(&self.current, name), value.cloned().or(initial)) {
            (Ok(index), Some(value)) => self.current[index].1 = value,
            (Ok(index), None) => drop(self.current.remove(index)),
            (Err(index), Some(value)) => self.current.insert(index, (name.into(), value)),
            (Err(_), None) => {}
        }
        let reported = known(name).is_some_and(|(_, _, reported)| *reported);
        if !reported {
            return Ok(None);
        }
        Ok(Some((reported_name(name), self.get(name)?.to_owned())))
    }

    /// Restores the settings of the startup message; returns the changes to report.
    pub(crate) fn reset_all(&mut self) -> Vec<(String, String)> {
        let before = std::mem::replace(&mut self.current, self.initial.clone());
        self.changes_since(&before)
    }

    /// Restores earlier settings, as at the end of a transaction; returns the changes to report.
    pub(crate) fn restore(&mut self, earlier: Self) -> Vec<(String, String)> {
        let before = std::mem::replace(self, earlier);
        self.changes_since(&before.current)
    }

    fn changes_since(&self, before: &[(Arc<str>, Arc<str>)]) -> Vec<(String, String)> {
        let value_before = |name: &str, default: &str| match find(before, name) {
            Ok(index) => before[index].1.as_ref().to_owned(),
            Err(_) => default.to_owned(),
        };
        self.reports()
            .into_iter()
            .zip(KNOWN_SETTINGS.iter().filter(|(_, _, reported)| *reported))
            .filter(|((_, value), (name, default, _))| *value != value_before(name, default))
            .map(|(report, _)| report)
            .collect()
    }

    /// Returns all settings that are reported to clients.
    pub(crate) fn reports(&self) -> Vec<(String, String)> {
        let reported = KNOWN_SETTINGS.iter().filter(|(_, _, reported)| *reported);
        reported
            .map(|(name, default, _)| {
                (reported_name(name), self.get(name).unwrap_or(default).to_owned())
            })
            .collect()
    }
}

fn known(name: &str) -> Option<&'static (&'static str, &'static str, bool)> {
    let index = KNOWN_SETTINGS.binary_search_by_key(&name, |(known, _, _)| known).ok()?;
    Some(&KNOWN_SETTINGS[index])
}

fn find(list: &[(Arc<str>, Arc<str>)], name: &str) -> Result<usize, usize> {
    list.binary_search_by(|(known, _)| known.as_ref().cmp(name))
}

fn reported_name(name: &str) -> String {
    let renamed = REPORTED_NAMES.iter().find(|(lower, _)| *lower == name);
    renamed.map_or(name, |(_, reported)| reported).to_owned()
}
