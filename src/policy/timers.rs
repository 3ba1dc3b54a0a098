//! The timer queue of a router.
//!
//! Orders what is to be done later by time and kind, and asks the caller for one timer at a time. It never runs a
//! timer itself.

use crate::interface::{GroupId, MemberId, Micros, RequestId};
use std::collections::BTreeSet;

/// Something to do later. Timers due at the same microsecond fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Give a queued request its final answer.
    ExpireRequest(RequestId),
    /// Look again at what is queued for a group.
    DrainQueues(GroupId),
    /// The scheduled health check of a member.
    CheckHealth(MemberId),
    /// Keeps timers coming while requests are open, so that a stall shows.
    Watchdog,
    /// Call discovery.
    CallDiscovery,
}

/// Timers by time, and the one wake-up that the caller was asked for.
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

    /// Takes the next timer that is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// How late the wake-up that was asked for is, microseconds; 0 while it is not due.
    pub(crate) fn lateness(&self, now: Micros) -> Micros {
        self.wake_at.map_or(0, |wake| now.saturating_sub(wake))
    }

    /// The span after which the caller should wake this router, unless an earlier wake-up was asked for already. A
    /// wake-up overtaken by an earlier one asks for no other: they would pile up.
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
