//! Sessions of a member, by the key with which a client may cancel their statements.

use crate::group::slots::lock;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Cancel key that a client receives when it connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CancelKey {
    pub(crate) pid: i32,
    pub(crate) secret: i32,
}

#[derive(Debug)]
struct CancelEntry {
    key: CancelKey,
    signal: Arc<Notify>,
}

/// Sessions sorted by process id.
#[derive(Debug, Default)]
pub(crate) struct CancelRegistry {
    entries: Mutex<Vec<CancelEntry>>,
}

impl CancelRegistry {
    /// Adds a session and returns the signal that cancels its running statement.
    pub(crate) fn add(&self, key: CancelKey) -> Arc<Notify> {
        let signal = Arc::new(Notify::new());
        let mut entries = lock(&self.entries);
        let index = entries.partition_point(|entry| entry.key.pid < key.pid);
        entries.insert(index, CancelEntry { key, signal: Arc::clone(&signal) });
        signal
    }

    /// Removes a session.
    pub(crate) fn remove(&self, key: CancelKey) {
        let mut entries = lock(&self.entries);
        if let Ok(index) = entries.binary_search_by_key(&key.pid, |entry| entry.key.pid) {
            entries.remove(index);
        }
    }

    /// Cancels the session's running statement; an idle session is not affected.
    pub(crate) fn cancel(&self, key: CancelKey) {
        let entries = lock(&self.entries);
        if let Ok(index) = entries.binary_search_by_key(&key.pid, |entry| entry.key.pid)
            && entries[index].key == key
        {
            entries[index].signal.notify_waiters();
        }
    }
}
