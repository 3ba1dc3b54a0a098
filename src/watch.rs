//! When a watch on discovery counts as broken, and up to when it told all there was to tell.
//!
//! Decides from when the call began and from what has come on it since. A heartbeat says that nothing was missed only where
//! no list is on its way: a list that has begun has changes in it which count as told, and until it is whole nobody here
//! knows them. Time is an argument; it does no input or output.

use crate::calls::SILENCE;
use crate::interface::{Micros, WatchLoss};

/// How long a call may go without the head of its answer, microseconds; discovery itself gives up on one after 2 s.
pub const CALL: Micros = 2_500_000;
/// The longest that a list may take from its first byte to its last, microseconds, however steadily it comes. Ours.
pub const LIST_TAKES: Micros = 6_000_000;

/// What has come on a watch, as of a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The head of the answer is whole.
    pub answered: bool,
    /// A list has begun and is not whole.
    pub within_list: bool,
    /// Bytes of the answer's body so far, heartbeats and other white space left out.
    pub solid: u64,
}

/// One watch, from its call on.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    latest: Received,
    /// When all that had come was whole; the call, before its answer.
    heard_at: Micros,
    /// When something last came that was more than a heartbeat within a list.
    moved_at: Micros,
    /// When the list on its way began.
    list_began_at: Micros,
}

impl Watch {
    /// A watch that is called for now.
    pub fn call(now: Micros) -> Watch {
        Watch {
            latest: Received::default(),
            heard_at: now,
            moved_at: now,
            list_began_at: now,
        }
    }

    /// Bytes came; this is what all of them make.
    pub fn receive(&mut self, now: Micros, received: Received) {
        if received.within_list && !self.latest.within_list {
            self.list_began_at = now;
        }
        if received.answered && !received.within_list {
            self.heard_at = now;
        }
        if received.answered && (!received.within_list || received.solid > self.latest.solid) {
            self.moved_at = now;
        }
        self.latest = received;
    }

    /// When it counts as broken unless something comes before.
    pub fn broken_at(&self) -> Micros {
        if !self.latest.answered {
            return self.moved_at.saturating_add(CALL);
        }
        let silent_at = self.moved_at.saturating_add(SILENCE);
        if self.latest.within_list {
            silent_at.min(self.list_began_at.saturating_add(LIST_TAKES))
        } else {
            silent_at
        }
    }

    /// Up to when it is known to have told all there was.
    pub fn heard_at(&self) -> Micros {
        self.heard_at
    }

    /// What is lost with it where its connection ends now: up to its end an answered watch has told all there was.
    pub fn ended(mut self, now: Micros) -> (WatchLoss, Micros) {
        if self.latest.answered && !self.latest.within_list {
            self.heard_at = now;
        }
        self.given_up(now)
    }

    /// What is lost with it where it is given up now, and since when.
    pub fn given_up(self, now: Micros) -> (WatchLoss, Micros) {
        let staleness = now.saturating_sub(self.heard_at);
        (
            WatchLoss {
                staleness,
                truncated: self.latest.within_list,
            },
            self.heard_at,
        )
    }
}

#[cfg(test)]
mod tests;
