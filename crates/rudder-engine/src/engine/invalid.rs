//! Objects in the store that another writer has left, and that cannot be used.

use super::ProxyEngine;
use crate::sync::lock;
use rudder_store::ObjectKind;

/// Maximum length of the reason for which an object is invalid, in a log line. It may quote the
/// object.
const REASON_LENGTH_MAX: usize = 200;

impl ProxyEngine {
    /// Returns an object that was parsed. An invalid one is logged, once until it is valid again:
    /// the lists that contain it are read several times a second.
    pub(crate) fn report_invalid<T>(
        &self,
        kind: ObjectKind,
        name: &str,
        parsed: Result<T, String>,
    ) -> Option<T> {
        let key = format!("{}/{name}", kind.plural());
        let mut names = lock(&self.invalid_objects);
        match parsed {
            Ok(object) => {
                names.remove(&key);
                Some(object)
            }
            Err(reason) => {
                if names.insert(&key) {
                    let reason: String = reason.chars().take(REASON_LENGTH_MAX).collect();
                    log::error!(
                        object = name, kind = kind.plural(), reason = reason.as_str();
                        "an object in the store is invalid; ignoring it"
                    );
                }
                None
            }
        }
    }
}
