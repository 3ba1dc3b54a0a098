//! The version of the list that a gateway has from discovery, since when it may be stale, and the outcome of its calls.
//!
//! Invariants: the version changes only with an update that was applied, or with a move to another discovery; the
//! list counts as current up to the last contact of a watch that has brought an update, never by a call alone.
//! Never decides when the next call is made: that is [`super::CallBackoff`].

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
    /// A gateway that starts now with a list of this version, whose age is not known.
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

    /// The version of the list in force, which the next call names.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Updates applied so far.
    pub fn updates(&self) -> u64 {
        self.updates
    }

    /// Calls since the last update that brought none, the one under way among them.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// For how long the list in force may have been out of date, microseconds.
    pub fn staleness(&self, now: Micros) -> Micros {
        now.saturating_sub(self.current_at)
    }

    /// A call begins; it counts as failed until it brings an update.
    pub fn call_started(&mut self, now: Micros) {
        self.calls += 1;
        self.consecutive_failures += 1;
        self.watch = Watch::call(now);
    }

    /// An update was applied; returns for how long the list before it may have been out of date, microseconds.
    pub fn update_applied(&mut self, now: Micros, revision: u64) -> Micros {
        let staleness = self.staleness(now);
        self.revision = revision;
        self.current_at = now;
        self.updates += 1;
        self.consecutive_failures = 0;
        staleness
    }

    /// Bytes came on the watch; `received` covers all of them so far.
    pub fn receive(&mut self, now: Micros, received: Received) {
        self.watch.receive(now, received);
        if self.consecutive_failures == 0 {
            self.current_at = self.watch.last_contact_at();
        }
    }

    /// When the watch counts as broken unless something comes before.
    pub fn times_out_at(&self) -> Micros {
        self.watch.times_out_at()
    }

    /// For how long there was no contact on the watch, microseconds; before its answer, since the call.
    pub fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.watch.last_contact_at())
    }

    /// The connection of the watch ended now; what is known of it.
    pub fn closed(&self, now: Micros) -> WatchEnd {
        self.watch.closed(now)
    }

    /// The watch is given up; what is known of it.
    pub fn abandoned(&self) -> WatchEnd {
        self.watch.abandoned()
    }

    /// Discovery has moved. Versions of another discovery mean nothing here, and a change missed for that would never be
    /// notified: the next call asks for the complete list.
    pub fn reset_revision(&mut self) {
        self.revision = NO_REVISION;
    }
}

#[cfg(test)]
mod tests;
