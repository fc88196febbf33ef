//! Sessions known by id, for callers that cannot carry a token from one instance to another.

use rudder_core::{SessionId, SessionToken};
use std::sync::Mutex;
use std::time::Instant;

/// Sessions remembered at most; the one that was used longest ago goes first.
const SESSIONS_MAX: usize = 100_000;

struct DirectoryEntry {
    token: SessionToken,
    used: Instant,
}

/// The tokens of sessions that callers named themselves, sorted by id.
#[derive(Default)]
pub(crate) struct SessionDirectory {
    entries: Mutex<Vec<DirectoryEntry>>,
}

impl SessionDirectory {
    /// The token of a session, if this instance knows it.
    pub(crate) fn find(&self, id: &SessionId) -> Option<SessionToken> {
        let entries = self.lock();
        let index = entries.binary_search_by(|entry| entry.token.id().cmp(id)).ok()?;
        Some(entries[index].token.clone())
    }

    /// Remembers a token; floors only rise.
    pub(crate) fn remember(&self, token: &SessionToken) {
        let mut entries = self.lock();
        let used = Instant::now();
        match entries.binary_search_by(|entry| entry.token.id().cmp(token.id())) {
            Ok(index) => {
                entries[index].token.merge(token);
                entries[index].used = used;
            }
            Err(index) => {
                entries.insert(index, DirectoryEntry { token: token.clone(), used });
                if entries.len() > SESSIONS_MAX {
                    forget_oldest(&mut entries);
                }
            }
        }
    }

    /// All tokens, to hand over to peers when this instance leaves.
    pub(crate) fn all(&self) -> Vec<SessionToken> {
        self.lock().iter().map(|entry| entry.token.clone()).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<DirectoryEntry>> {
        self.entries.lock().expect("no holder of this lock panics")
    }
}

fn forget_oldest(entries: &mut Vec<DirectoryEntry>) {
    let oldest = entries.iter().enumerate().min_by_key(|(_, entry)| entry.used);
    if let Some((index, _)) = oldest {
        entries.remove(index);
    }
}
