//! Locking that tolerates poisoned locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, whether or not it is poisoned: a panic ends only the coroutine or thread in which it occurs, and all
/// others continue with the state that it left.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
