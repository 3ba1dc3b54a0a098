//! Lets a starting gateway wait for discovery's first list before it accepts clients.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// How long a starting gateway waits for its first list before it accepts clients. Covers the latest first call and
/// most of the time that the call may spend in discovery's queue; whatever discovery does, a gateway serves within 5 s
/// of its start.
pub(crate) const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Whether the first list has arrived, or is known not to arrive soon. The age of the list in the configuration is unknown,
/// and changes that it lacks may be binding from the first request on.
#[derive(Default)]
pub(crate) struct FirstList {
    settled: Mutex<bool>,
    changed: Condvar,
}

impl FirstList {
    /// Ends the wait: the list has arrived, or discovery's address refuses connections.
    pub(crate) fn settle(&self) {
        *self.settled.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    /// Blocks until the wait is settled or the timeout has passed; returns whether it is settled. Only for plain
    /// threads: in a coroutine it would block the worker.
    pub(crate) fn wait(&self, timeout: Duration) -> bool {
        let settled = self.settled.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .changed
            .wait_timeout_while(settled, timeout, |settled| !*settled);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}
