//! When a watch on discovery counts as broken, and up to when it reported every change.
//!
//! Decides from when the call began and from what was received on it since. Invariant: a heartbeat is contact only between
//! updates. The changes in an update that has begun count as notified, and nobody here knows them until it is complete.

use super::WATCH_SILENCE_TIMEOUT_US;
use crate::interface::Micros;

/// How long a call may wait for the head of its answer, microseconds; discovery itself gives up on one after 2 s.
pub const CALL_TIMEOUT_US: Micros = 2_500_000;
/// The longest that an update may take from its first byte to its last, microseconds, however steadily it comes.
pub const UPDATE_TIMEOUT_US: Micros = 6_000_000;

/// All that was received on a watch so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The head of the answer is complete.
    pub answered: bool,
    /// An update has begun and is not complete.
    pub within_update: bool,
    /// Bytes of the answer's body so far, without heartbeats and other white space.
    pub payload_bytes: u64,
}

/// What is known when a watch has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Up to when the watch reported every change; the start of the call where it was not answered.
    pub last_contact_at: Micros,
    /// An update had begun and did not come complete.
    pub truncated: bool,
}

/// One watch, from its call on.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    received: Received,
    /// When all that had come was complete; the start of the call, before its answer.
    last_contact_at: Micros,
    /// When something last came that was more than a heartbeat within an update.
    last_progress_at: Micros,
    /// When the update under way began.
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

    /// Bytes came; `received` covers all of them so far.
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

    /// When it counts as broken unless something comes before.
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

    /// Up to when it is known to have reported every change.
    pub fn last_contact_at(&self) -> Micros {
        self.last_contact_at
    }

    /// Its connection ended now: an answered watch reported every change up to its end.
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

    /// It is given up, whatever discovery has sent meanwhile.
    pub fn abandoned(self) -> WatchEnd {
        WatchEnd {
            last_contact_at: self.last_contact_at,
            truncated: self.received.within_update,
        }
    }
}

#[cfg(test)]
mod tests;
