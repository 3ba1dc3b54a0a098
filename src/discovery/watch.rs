//! When a watch on discovery counts as broken, and up to when it reported every change.
//!
//! Both follow from when the call began and what has been received since. Invariant: a heartbeat counts as contact only
//! between updates. The changes in an update count as notified once its first byte has arrived, but the gateway does not
//! know them until the update is complete.

use super::WATCH_SILENCE_TIMEOUT_US;
use crate::interface::Micros;

/// How long a call may wait for the head of its answer, microseconds; discovery itself fails a call after 2 s.
pub const CALL_TIMEOUT_US: Micros = 2_500_000;
/// The longest time from the first byte of an update to its last, microseconds, even if its bytes arrive steadily.
pub const UPDATE_TIMEOUT_US: Micros = 6_000_000;

/// What has been received on a watch so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Whether the head of the answer is complete.
    pub answered: bool,
    /// Whether an update has begun and is not complete.
    pub within_update: bool,
    /// Bytes of the answer's body, without heartbeats and other white space.
    pub payload_bytes: u64,
}

/// The result of a watch that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Up to when the watch reported every change; the start of the call where it was not answered.
    pub last_contact_at: Micros,
    /// Whether an update had begun and was not complete.
    pub truncated: bool,
}

/// A call to discovery and the watch that it opens.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    received: Received,
    /// When something last arrived outside of an update; the start of the call, before its answer.
    last_contact_at: Micros,
    /// When something last arrived, other than a heartbeat within an update.
    last_progress_at: Micros,
    /// When the current update began.
    update_began_at: Micros,
}

impl Watch {
    /// A watch whose call begins now.
    pub fn call(now: Micros) -> Watch {
        Watch {
            received: Received::default(),
            last_contact_at: now,
            last_progress_at: now,
            update_began_at: now,
        }
    }

    /// Records that bytes arrived; `received` describes all that have arrived on this watch.
    pub fn receive(&mut self, now: Micros, received: Received) {
        if received.within_update && !self.received.within_update {
            self.update_began_at = now;
        }
        let is_complete = received.answered && !received.within_update;
        if is_complete {
            self.last_contact_at = now;
        }
        let has_payload = received.payload_bytes > self.received.payload_bytes;
        if is_complete || (received.answered && has_payload) {
            self.last_progress_at = now;
        }
        self.received = received;
    }

    /// When the watch counts as broken unless something arrives before.
    pub fn times_out_at(&self) -> Micros {
        if !self.received.answered {
            return self.last_progress_at.saturating_add(CALL_TIMEOUT_US);
        }
        let silent_at = self
            .last_progress_at
            .saturating_add(WATCH_SILENCE_TIMEOUT_US);
        if self.received.within_update {
            silent_at.min(self.update_began_at.saturating_add(UPDATE_TIMEOUT_US))
        } else {
            silent_at
        }
    }

    /// Up to when the watch is known to have reported every change.
    pub fn last_contact_at(&self) -> Micros {
        self.last_contact_at
    }

    /// The result if the connection was closed now: an answered watch reported every change up to its end.
    pub fn closed(self, now: Micros) -> WatchEnd {
        let is_complete = self.received.answered && !self.received.within_update;
        WatchEnd {
            last_contact_at: if is_complete {
                now
            } else {
                self.last_contact_at
            },
            ..self.abandoned()
        }
    }

    /// The result if the gateway abandons the watch; discovery may have sent changes that did not arrive.
    pub fn abandoned(self) -> WatchEnd {
        WatchEnd {
            last_contact_at: self.last_contact_at,
            truncated: self.received.within_update,
        }
    }
}

#[cfg(test)]
mod tests;
