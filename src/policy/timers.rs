//! The timers of a router, and the detection of stalls of its process.
//!
//! Orders timers by time and kind, and requests one wake-up at a time from the caller. It reads no clock.

use super::Router;
use crate::interface::{Action, GroupId, MemberId, Micros, RequestId};
use std::collections::BTreeSet;

/// An operation to run later. Timers due at the same microsecond fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Give a queued request its final answer.
    ExpireRequest(RequestId),
    /// Drain the queues of a group.
    DrainQueues(GroupId),
    /// The scheduled health check of a member.
    CheckHealth(MemberId),
    /// Fires regularly while requests are open, so that a stall is detected.
    Watchdog,
    /// Call discovery.
    CallDiscovery,
}

/// Timers by time, and the wake-up that was requested from the caller.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(Micros, Timer)>,
    wake_at: Option<Micros>,
}

impl TimerQueue {
    /// Adds a timer that fires at a time.
    pub(crate) fn insert(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes and returns the next timer that is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// How late the requested wake-up is, microseconds; 0 while it is not due.
    pub(crate) fn lateness(&self, now: Micros) -> Micros {
        self.wake_at.map_or(0, |wake| now.saturating_sub(wake))
    }

    /// How long after `now` the caller should wake this router, unless an earlier wake-up is already requested. A
    /// wake-up that an earlier one has superseded requests no other, or wake-ups would pile up.
    pub(crate) fn next_wake_up(&mut self, now: Micros) -> Option<Micros> {
        let at = self.timers.first().map(|(at, _)| *at)?;
        self.wake_at = self.wake_at.filter(|wake| *wake > now);
        if self.wake_at.is_some_and(|wake| wake <= at) {
            return None;
        }
        self.wake_at = Some(at);
        Some(at.saturating_sub(now))
    }
}

/// While requests are open a timer fires at least this often, microseconds.
const WATCHDOG_INTERVAL: Micros = 100_000;
/// How late a wake-up must be for this process to count as stalled, microseconds.
const STALL_THRESHOLD: Micros = 150_000;

/// Detects that this process was stalled: times measured during a stall say nothing about members.
#[derive(Default)]
pub(crate) struct Watchdog {
    is_armed: bool,
    stalled_at: Micros,
}

impl Watchdog {
    /// Whether a stall was detected at `now`.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        self.stalled_at == now
    }
}

impl Router {
    /// Sets a timer that fires after `after` microseconds, or 1 if that is 0.
    pub(super) fn schedule(&mut self, after: Micros, timer: Timer) {
        let at = self.now.saturating_add(after.max(1));
        self.timers.insert(at, timer);
    }

    /// Detects a stall by the lateness of the requested wake-up. After one, the time that members have left attempts
    /// unanswered counts from the current event.
    pub(super) fn detect_stall(&mut self, event_at: Micros) {
        if self.timers.lateness(self.now) <= STALL_THRESHOLD {
            return;
        }
        self.watchdog.stalled_at = self.now;
        for member in self.topology.members_mut() {
            member.unanswered_since = event_at;
        }
    }

    /// Runs the timers that are due, and asks for the next wake-up.
    pub(super) fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::ExpireRequest(id) => self.expire_queued(id),
                Timer::DrainQueues(id) => self.on_drain_timer(id),
                Timer::CheckHealth(id) => self.run_scheduled_check(id),
                Timer::Watchdog => self.watchdog.is_armed = false,
                Timer::CallDiscovery => self.actions.push(Action::Watch),
            }
        }
        if !self.watchdog.is_armed && !self.requests.is_empty() {
            self.watchdog.is_armed = true;
            self.schedule(WATCHDOG_INTERVAL, Timer::Watchdog);
        }
        let wake_up = self.timers.next_wake_up(self.now);
        self.actions.extend(wake_up.map(Action::SetTimer));
    }
}

#[cfg(test)]
mod tests;
