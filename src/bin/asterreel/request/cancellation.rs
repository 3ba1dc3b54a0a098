//! Cancellation of an attempt, by its deadline or by the router.

use crate::runtime::sync::lock;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Stops an attempt at its deadline, or earlier when it is cancelled. The session and the attempt share it.
pub(crate) struct CancellationToken {
    /// When the attempt stops waiting for its answer.
    pub deadline: Micros,
    cancelled: AtomicBool,
    /// Wakes the coroutine that waits for the attempt's answer.
    waker: Mutex<Option<WaitIoWaker>>,
}

impl CancellationToken {
    /// A token that is not cancelled yet.
    pub(crate) fn new(deadline: Micros) -> CancellationToken {
        CancellationToken {
            deadline,
            cancelled: AtomicBool::new(false),
            waker: Mutex::new(None),
        }
    }

    /// Cancels the attempt and wakes the coroutine that waits for its answer.
    pub(crate) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        if let Some(waker) = self.waker().as_ref() {
            waker.wakeup();
        }
    }

    /// Whether the attempt was cancelled. A deadline that has passed does not count as a cancellation.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Whether the attempt should continue: it is not cancelled, and its deadline has not passed.
    pub(crate) fn is_active(&self, clock: Clock) -> bool {
        !self.is_cancelled() && clock.now() < self.deadline
    }

    /// Sets the waker of the coroutine that a cancellation wakes.
    pub(crate) fn set_waker(&self, waker: WaitIoWaker) {
        *self.waker() = Some(waker);
    }

    fn waker(&self) -> std::sync::MutexGuard<'_, Option<WaitIoWaker>> {
        lock(&self.waker)
    }
}
