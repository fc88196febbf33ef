//! Objects in the store that another writer has left, and that cannot be used.

use super::ProxyEngine;
use crate::sync::lock;
use rudder_store::ObjectKind;

/// Maximum length of what a log line quotes of an object, or of the reason for which it is invalid.
const QUOTE_LENGTH_MAX: usize = 200;

impl ProxyEngine {
    /// Returns an object that was parsed, and logs an invalid one: once until it is valid again, as
    /// the lists that contain it are read several times a second.
    pub(crate) fn report_invalid<T>(
        &self,
        kind: ObjectKind,
        name: &str,
        parsed: Result<T, String>,
    ) -> Option<T> {
        let is_new = self.record_validity(kind, name, parsed.is_ok());
        let report = |reason: &String| {
            log::error!(
                object = name, kind = kind.plural(), reason = shorten(reason).as_str();
                "an object in the store is invalid; ignoring it"
            );
        };
        if is_new {
            return parsed.inspect_err(report).ok();
        }
        parsed.ok()
    }

    /// Records whether an object, or a part of one, is valid. Returns whether it is found invalid for
    /// the first time.
    pub(crate) fn record_validity(&self, kind: ObjectKind, name: &str, is_valid: bool) -> bool {
        let key = format!("{}/{name}", kind.plural());
        let mut names = lock(&self.invalid_objects);
        if is_valid {
            names.remove(&key);
            return false;
        }
        names.insert(&key)
    }
}

/// Returns the start of a text that another writer may have left.
pub(crate) fn shorten(text: &str) -> String {
    text.chars().take(QUOTE_LENGTH_MAX).collect()
}
