//! Cancellation of an attempt: by its deadline, or by a decision taken elsewhere.

use crate::runtime::sync::lock;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;

/// Tells an attempt when to stop waiting: at its deadline, or as soon as it is cancelled.
pub(crate) struct CancellationToken {
    /// When the attempt's time is over.
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

    /// Whether the attempt was cancelled; a deadline that has passed is no cancellation.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Whether the attempt is to go on.
    pub(crate) fn is_active(&self, clock: Clock) -> bool {
        !self.is_cancelled() && clock.now() < self.deadline
    }

    /// From now on a cancellation wakes this coroutine.
    pub(crate) fn set_waker(&self, waker: WaitIoWaker) {
        *self.waker() = Some(waker);
    }

    fn waker(&self) -> std::sync::MutexGuard<'_, Option<WaitIoWaker>> {
        lock(&self.waker)
    }
}
