//! Alarms for coroutines, and the module's own timer, on one plain thread.
//!
//! may's timed waits resume a coroutine on may's timer thread, beside the worker. Here a coroutine waits on
//! its socket without a limit, and an alarm wakes it through the worker's queue.

use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

pub(crate) struct Timer {
    clock: Clock,
    queue: Mutex<Queue>,
    sooner: Condvar,
}

#[derive(Default)]
struct Queue {
    alarms: BTreeMap<(Micros, u64), WaitIoWaker>,
    next: u64,
    wake_at: Option<Micros>,
}

/// An alarm that is set; dropping it takes it back.
pub(crate) struct Alarm {
    timer: Arc<Timer>,
    key: (Micros, u64),
}

impl Drop for Alarm {
    fn drop(&mut self) {
        self.timer.locked(|queue| queue.alarms.remove(&self.key));
    }
}

impl Timer {
    pub(crate) fn new(clock: Clock) -> Arc<Timer> {
        Arc::new(Timer {
            clock,
            queue: Mutex::default(),
            sooner: Condvar::new(),
        })
    }

    pub(crate) fn now(&self) -> Micros {
        self.clock.now()
    }

    fn locked<T>(&self, work: impl FnOnce(&mut Queue) -> T) -> T {
        work(&mut self.queue.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wakes a coroutine that waits on its socket at this time.
    pub(crate) fn alarm(self: &Arc<Self>, at: Micros, waker: WaitIoWaker) -> Alarm {
        let (key, first) = self.locked(|queue| {
            queue.next += 1;
            let key = (at, queue.next);
            queue.alarms.insert(key, waker);
            (
                key,
                queue
                    .alarms
                    .first_key_value()
                    .is_some_and(|(first, _)| *first == key),
            )
        });
        // The thread already wakes in time for any other.
        if first {
            self.sooner.notify_one();
        }
        Alarm {
            timer: self.clone(),
            key,
        }
    }

    /// Asks for one call of the module's wake; a later call replaces an earlier one, as its agenda expects.
    pub(crate) fn wake_at(&self, at: Micros) {
        self.locked(|queue| queue.wake_at = Some(at));
        self.sooner.notify_one();
    }

    /// The thread's loop.
    pub(crate) fn run(&self, wake: impl Fn()) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let now = self.clock.now();
            while let Some(alarm) = queue
                .alarms
                .first_entry()
                .filter(|alarm| alarm.key().0 <= now)
            {
                alarm.remove().wakeup();
            }
            if queue.wake_at.is_some_and(|at| at <= now) {
                queue.wake_at = None;
                // The wake takes the core's lock, under which others set timers: never both at once.
                drop(queue);
                wake();
                queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
                continue;
            }
            let alarm = queue.alarms.first_key_value().map(|((at, _), _)| *at);
            let next = alarm.into_iter().chain(queue.wake_at).min();
            let wait = Duration::from_micros(next.map_or(1_000_000, |at| at.saturating_sub(now)));
            let woken = self.sooner.wait_timeout(queue, wait);
            queue = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
