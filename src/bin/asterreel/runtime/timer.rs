//! Alarms that wake coroutines, and the router's timer, on one plain thread.
//!
//! may's timed waits resume a coroutine on may's timer thread, in parallel with the worker. Here a coroutine waits on its
//! socket without a timeout, and an alarm wakes it through the worker's queue.

use crate::runtime::sync::lock;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long the thread sleeps at most while no alarm is set.
const IDLE_WAIT_US: Micros = 1_000_000;

/// The alarms of all coroutines, and the time at which the router wants to be woken.
pub(crate) struct Timer {
    clock: Clock,
    queue: Mutex<Queue>,
    /// Wakes the timer's thread when something is due earlier than the time it sleeps until.
    earlier: Condvar,
}

#[derive(Default)]
struct Queue {
    alarms: BTreeMap<AlarmKey, WaitIoWaker>,
    last_number: u64,
    router_wake_at: Option<Micros>,
}

/// Orders alarms by their time; the number keeps alarms of the same time apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AlarmKey {
    at: Micros,
    number: u64,
}

impl Queue {
    /// Wakes the coroutines whose alarms are due.
    fn fire_due(&mut self, now: Micros) {
        while let Some(alarm) = self
            .alarms
            .first_entry()
            .filter(|alarm| alarm.key().at <= now)
        {
            alarm.remove().wakeup();
        }
    }

    /// When the next alarm or the router's timer is due.
    fn next_at(&self) -> Option<Micros> {
        let alarm = self.alarms.first_key_value().map(|(key, _)| key.at);
        alarm.into_iter().chain(self.router_wake_at).min()
    }
}

/// An alarm that is set; dropping it cancels it.
pub(crate) struct Alarm {
    timer: Arc<Timer>,
    key: AlarmKey,
}

impl Drop for Alarm {
    fn drop(&mut self) {
        // The waker is dropped once the lock is free.
        let waker = self.timer.lock().alarms.remove(&self.key);
        drop(waker);
    }
}

impl Timer {
    /// A timer without alarms; the caller runs [`Timer::run`] on a thread of its own.
    pub(crate) fn new(clock: Clock) -> Arc<Timer> {
        Arc::new(Timer {
            clock,
            queue: Mutex::default(),
            earlier: Condvar::new(),
        })
    }

    /// The current time, by the clock that alarms use.
    pub(crate) fn now(&self) -> Micros {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        lock(&self.queue)
    }

    /// Sets an alarm that wakes a coroutine waiting on its socket at this time.
    pub(crate) fn alarm(self: &Arc<Self>, at: Micros, waker: WaitIoWaker) -> Alarm {
        let (key, is_first) = {
            let mut queue = self.lock();
            queue.last_number += 1;
            let number = queue.last_number;
            let key = AlarmKey { at, number };
            queue.alarms.insert(key, waker);
            let first = queue.alarms.first_key_value();
            (key, first.is_some_and(|(first, _)| *first == key))
        };
        // Otherwise the thread wakes in time already.
        if is_first {
            self.earlier.notify_one();
        }
        Alarm {
            timer: self.clone(),
            key,
        }
    }

    /// Sets the time at which the router is woken once; a later call replaces an earlier one.
    pub(crate) fn wake_at(&self, at: Micros) {
        self.lock().router_wake_at = Some(at);
        self.earlier.notify_one();
    }

    /// The loop of the timer's thread; calls `wake_router` without holding the lock.
    pub(crate) fn run(&self, wake_router: impl Fn()) {
        let mut queue = self.lock();
        loop {
            let now = self.clock.now();
            queue.fire_due(now);
            if queue.router_wake_at.is_some_and(|at| at <= now) {
                queue.router_wake_at = None;
                // The router sets its timer while it holds its own lock: holding this lock here could deadlock.
                drop(queue);
                wake_router();
                queue = self.lock();
                continue;
            }
            let wait_us = queue
                .next_at()
                .map_or(IDLE_WAIT_US, |at| at.saturating_sub(now));
            let woken = self
                .earlier
                .wait_timeout(queue, Duration::from_micros(wait_us));
            queue = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
