//! Locks that are never held over an await.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock. What it guards is whole after each step, so a panic elsewhere does not spoil it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
