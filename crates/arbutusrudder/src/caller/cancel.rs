//! Cancel requests: a caller names its own key, and the statement that it runs is found here.

use rudder_endpoint::{CancelTarget, MemberConnection};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a cancel request may take at a member.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The statement that a session runs now. Held while a cancel is on its way, so that the
/// connection is not given to another caller before the member has taken the cancel.
pub(crate) type CancelSlot = Arc<tokio::sync::Mutex<Option<(SocketAddr, CancelTarget)>>>;

/// The cancel keys of this instance's callers, sorted.
#[derive(Default)]
pub(crate) struct CancelBoard {
    entries: Mutex<Vec<((i32, i32), CancelSlot)>>,
}

/// A caller's entry on the board; dropping it removes the entry.
pub(crate) struct CancelEntry {
    board: Arc<CancelBoard>,
    key: (i32, i32),
    /// Where the running statement is noted.
    pub(crate) slot: CancelSlot,
}

impl CancelEntry {
    /// The process id and the secret that the caller is told.
    pub(crate) fn key(&self) -> (i32, i32) {
        self.key
    }
}

impl Drop for CancelEntry {
    fn drop(&mut self) {
        let mut entries = self.board.lock();
        if let Ok(index) = entries.binary_search_by_key(&self.key, |(key, _)| *key) {
            entries.remove(index);
        }
    }
}

impl CancelBoard {
    /// Enters a caller under a fresh key.
    pub(crate) fn register(self: &Arc<Self>) -> CancelEntry {
        let slot = CancelSlot::default();
        let mut entries = self.lock();
        loop {
            let key = (rand::random::<i32>() & i32::MAX, rand::random());
            if let Err(index) = entries.binary_search_by_key(&key, |(known, _)| *known) {
                entries.insert(index, (key, Arc::clone(&slot)));
                drop(entries);
                return CancelEntry { board: Arc::clone(self), key, slot };
            }
        }
    }

    /// Passes a cancel request on to the member that runs the caller's statement.
    pub(crate) async fn cancel(&self, process_id: i32, secret: i32) {
        let slot = {
            let entries = self.lock();
            match entries.binary_search_by_key(&(process_id, secret), |(key, _)| *key) {
                Ok(index) => Arc::clone(&entries[index].1),
                Err(_) => return,
            }
        };
        let target = slot.lock().await;
        if let Some((address, cancel)) = *target {
            let sent = MemberConnection::send_cancel(address, cancel, CANCEL_TIMEOUT).await;
            log::info!(target: "rudder::cancel", member:% = address, delivered = sent.is_ok(); "cancel request forwarded");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<((i32, i32), CancelSlot)>> {
        self.entries.lock().expect("no holder of this lock panics")
    }
}
