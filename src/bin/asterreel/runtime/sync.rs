//! How locks are taken.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock, whether or not it is poisoned: a panic ends the coroutine or thread that it happens in, and everybody
/// else goes on serving with the state that it left.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
