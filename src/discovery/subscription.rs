//! The version of the list that a gateway has from discovery, since when the list may be stale, and counts of calls.
//!
//! Invariants: the version changes only with an update that was applied, or with a change of the discovery address; the
//! list counts as current up to the last contact of a watch that has delivered an update, never because of a call alone.
//! [`super::CallBackoff`] decides when the next call is made.

use super::{Received, Watch, WatchEnd};
use crate::interface::Micros;

/// The version that asks discovery for the complete list.
const NO_REVISION: u64 = 0;

/// The subscription of one gateway, over all its calls.
#[derive(Clone, Copy, Debug)]
pub struct Subscription {
    revision: u64,
    /// Up to when the list in force is known to have every change; the start, before the first update.
    current_at: Micros,
    calls: u64,
    updates: u64,
    consecutive_failures: u32,
    watch: Watch,
}

impl Subscription {
    /// Creates the subscription of a gateway that starts now with a list of this version and of unknown age.
    pub fn new(now: Micros, revision: u64) -> Subscription {
        Subscription {
            revision,
            current_at: now,
            calls: 0,
            updates: 0,
            consecutive_failures: 0,
            watch: Watch::call(now),
        }
    }

    /// The version of the list in force; the next call requests the changes after it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Updates applied since the start.
    pub fn updates(&self) -> u64 {
        self.updates
    }

    /// Calls since the last update, including the current one if it has not delivered an update.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// For how long the list in force may have been out of date, microseconds.
    pub fn staleness(&self, now: Micros) -> Micros {
        now.saturating_sub(self.current_at)
    }

    /// Records that a call begins; it counts as failed until it delivers an update.
    pub fn call_started(&mut self, now: Micros) {
        self.calls += 1;
        self.consecutive_failures += 1;
        self.watch = Watch::call(now);
    }

    /// Records that an update was applied; returns for how long the list before it may have been out of date, microseconds.
    pub fn update_applied(&mut self, now: Micros, revision: u64) -> Micros {
        let staleness = self.staleness(now);
        self.revision = revision;
        self.current_at = now;
        self.updates += 1;
        self.consecutive_failures = 0;
        staleness
    }

    /// Records that bytes arrived on the watch; `received` describes all that have arrived on it.
    pub fn receive(&mut self, now: Micros, received: Received) {
        self.watch.receive(now, received);
        if self.consecutive_failures == 0 {
            self.current_at = self.watch.last_contact_at();
        }
    }

    /// When the watch counts as broken unless something arrives before.
    pub fn times_out_at(&self) -> Micros {
        self.watch.times_out_at()
    }

    /// For how long there has been no contact on the watch, microseconds; before the answer, the time since the call.
    pub fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.watch.last_contact_at())
    }

    /// The result of the watch, if its connection was closed now.
    pub fn closed(&self, now: Micros) -> WatchEnd {
        self.watch.closed(now)
    }

    /// The result of the watch, if the gateway abandons it.
    pub fn abandoned(&self) -> WatchEnd {
        self.watch.abandoned()
    }

    /// Makes the next call request the complete list, after the discovery address has changed. Versions of one discovery
    /// service mean nothing to another, and a change that is skipped because of its version would never be notified.
    pub fn reset_revision(&mut self) {
        self.revision = NO_REVISION;
    }
}

#[cfg(test)]
mod tests;
