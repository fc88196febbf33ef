//! Cancel requests: maps a caller's cancel key to the statement that it runs at a member.

use rudder_endpoint::{CancelTarget, MemberConnection};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout of a cancel request at a member.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The statement that a session is running. Locked while a cancel request is sent, so that no other
/// caller gets the connection before the member has processed the request.
pub(crate) type CancelSlot = Arc<tokio::sync::Mutex<Option<(SocketAddr, CancelTarget)>>>;

/// The cancel keys of this instance's callers, sorted.
#[derive(Default)]
pub(crate) struct CancelRegistry {
    entries: Mutex<Vec<((i32, i32), CancelSlot)>>,
}

/// Registration of a caller's cancel key; dropping it removes the key.
pub(crate) struct CancelEntry {
    registry: Arc<CancelRegistry>,
    key: (i32, i32),
    /// The running statement.
    pub(crate) slot: CancelSlot,
}

impl CancelEntry {
    /// Returns the process id and the secret that the caller receives.
    pub(crate) fn key(&self) -> (i32, i32) {
        self.key
    }
}

impl Drop for CancelEntry {
    fn drop(&mut self) {
        let mut entries = self.registry.lock();
        if let Ok(index) = entries.binary_search_by_key(&self.key, |(key, _)| *key) {
            entries.remove(index);
        }
    }
}

impl CancelRegistry {
    /// Registers a caller under a new key.
    pub(crate) fn register(self: &Arc<Self>) -> CancelEntry {
        let slot = CancelSlot::default();
        let mut entries = self.lock();
        loop {
            let key = (rand::random::<i32>() & i32::MAX, rand::random());
            if let Err(index) = entries.binary_search_by_key(&key, |(known, _)| *known) {
                entries.insert(index, (key, Arc::clone(&slot)));
                drop(entries);
                return CancelEntry { registry: Arc::clone(self), key, slot };
            }
        }
    }

    /// Forwards a cancel request to the member that runs the caller's statement.
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
