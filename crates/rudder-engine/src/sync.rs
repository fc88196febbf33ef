//! Locks that are never held across an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Acquires a lock and ignores poisoning: the protected data is consistent after each step, so a
/// panic of another holder leaves it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
