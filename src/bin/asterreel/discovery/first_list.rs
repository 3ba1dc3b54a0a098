//! The wait of a gateway that starts for its first list.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// How long a gateway that starts waits for its first list before it takes clients: the latest first call, and most of what
/// that may wait in discovery's queue. Whatever discovery does, a gateway serves within 5 s of its start.
pub(crate) const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Whether the first list has come, or it is known that it can't come soon. The list that a gateway starts with is of
/// unknown age, and what it lacks may bind from the first request on.
#[derive(Default)]
pub(crate) struct FirstList {
    settled: Mutex<bool>,
    changed: Condvar,
}

impl FirstList {
    /// The list is here, or nobody listens where discovery should be.
    pub(crate) fn settle(&self) {
        *self.settled.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    /// Blocks the thread, never a coroutine, until it is settled or the timeout is over; returns whether it is settled.
    pub(crate) fn wait(&self, timeout: Duration) -> bool {
        let settled = self.settled.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .changed
            .wait_timeout_while(settled, timeout, |settled| !*settled);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
