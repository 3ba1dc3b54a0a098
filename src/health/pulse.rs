//! Whether the request path moves: the heartbeat, the age of orders, the core's lock.

use super::Knobs;
use crate::interface::Micros;

/// Longest gap between two events that is taken for ordinary; in a longer one this thread itself stood still, and
/// what was outstanding then could not have been heard. Ours: several ticks.
const OWN_STALL: Micros = 150_000;
/// How long a relapse is remembered. Ours.
const RELAPSE_HOLDS: Micros = 60_000_000;
/// Longest that good beats are asked for after a hang, however often it came back. Ours.
const LONGEST_PROOF: Micros = 30_000_000;

/// Word of the heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// An empty query was written on a session that is open.
    Sent,
    /// It was answered.
    Answered,
    /// A fresh connection was begun.
    Knocked,
    /// It was accepted, opened and its empty query answered.
    Entered,
    /// The open session ended; the next fresh connection takes its place.
    Lost,
}

/// Turns beats into whether the path hangs, and whether it accepts.
pub struct Pulse {
    last: Micros,
    sent: Option<Micros>,
    knocked: Option<Micros>,
    /// A session is open, so that the path can be asked without a fresh connection.
    open: bool,
    lost_at: Micros,
    answered: bool,
    unseen: Option<Micros>,
    orders: Micros,
    full: bool,
    hung: bool,
    good_since: Micros,
    relapses: u32,
    hung_at: Micros,
    accepts: bool,
}

impl Pulse {
    /// Nothing asked, nothing answered.
    pub fn new(now: Micros) -> Pulse {
        Pulse {
            last: now,
            sent: None,
            knocked: None,
            open: false,
            lost_at: 0,
            answered: false,
            unseen: None,
            orders: 0,
            full: false,
            hung: false,
            good_since: now,
            relapses: 0,
            hung_at: 0,
            accepts: true,
        }
    }

    /// Time passes. What is outstanding does not age while this thread itself stood still: a process that was
    /// stopped as a whole must not wake up hung.
    pub fn passes(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap > OWN_STALL {
            for since in [&mut self.sent, &mut self.knocked, &mut self.unseen] {
                *since = since.map(|at| at.saturating_add(gap).min(now));
            }
            self.orders = 0;
        }
    }

    /// Takes in word of the heartbeat.
    pub fn beat(&mut self, now: Micros, beat: Beat) {
        match beat {
            Beat::Sent => self.sent = self.sent.or(Some(now)),
            Beat::Answered => self.sent = None,
            Beat::Knocked => self.knocked = self.knocked.or(Some(now)),
            Beat::Entered => (self.knocked, self.open) = (None, true),
            // What it owed will never come; whether the path moves is for the next connection to show.
            Beat::Lost => (self.sent, self.open, self.lost_at) = (None, false, now),
        }
        self.answered |= matches!(beat, Beat::Answered | Beat::Entered);
    }

    /// The core was asked; `full` when no further session can be accepted.
    pub fn seen(&mut self, full: bool) {
        self.unseen = None;
        self.full = full;
    }

    /// The core's lock was held.
    pub fn unseen(&mut self, now: Micros) {
        self.unseen = self.unseen.or(Some(now));
    }

    /// The age of the oldest order that no session has taken.
    pub fn orders(&mut self, age: Micros) {
        self.orders = age;
    }

    /// Some beat was ever answered.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// The path does not move.
    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// Fresh connections come through.
    pub fn accepts(&self) -> bool {
        self.accepts
    }

    /// Decides anew.
    pub fn judge(&mut self, now: Micros, knobs: &Knobs) {
        let bound = knobs.hung_after();
        let old = |since: Option<Micros>| since.is_some_and(|at| now.saturating_sub(at) >= bound);
        // A fresh connection that waits for room speaks of load; one that waits while nothing else can be asked
        // and there is room speaks of a path that does not move.
        let shut_out = old(self.knocked.map(|at| at.max(self.lost_at)))
            && !self.open
            && !self.full
            && self.answered;
        let stuck = old(self.sent) || old(self.unseen) || self.orders >= bound || shut_out;
        self.accepts = !old(self.knocked);
        if stuck {
            if !self.hung {
                let soon = now.saturating_sub(self.hung_at) < RELAPSE_HOLDS && self.hung_at > 0;
                self.relapses = if soon {
                    self.relapses.saturating_add(1)
                } else {
                    0
                };
                self.hung_at = now;
            }
            self.hung = true;
            self.good_since = now;
        } else if self.hung && (self.sent.is_some_and(|at| at < self.good_since) || !self.open) {
            // Not stuck any more, but nothing has shown that it moves.
            self.good_since = now;
        }
        let proof = knobs
            .recover_after()
            .saturating_mul(1 << self.relapses.min(8))
            .min(LONGEST_PROOF);
        if self.hung && now.saturating_sub(self.good_since) >= proof {
            self.hung = false;
        }
    }
}

/// How old the oldest order is that no session has taken, from counts alone: orders are taken about in the order in
/// which they were given, so it is at least as old as the first look that saw more given than are taken now.
#[derive(Default)]
pub struct OrderAge {
    looks: std::collections::VecDeque<(Micros, u64)>,
}

impl OrderAge {
    /// A look at the counts; the age of the oldest.
    pub fn look(&mut self, now: Micros, given: u64, taken: u64) -> Micros {
        while self.looks.front().is_some_and(|(_, given)| *given <= taken) {
            self.looks.pop_front();
        }
        // Looks that saw the same count tell nothing new: kept, they would pile up while nothing moves.
        if given > taken
            && self.looks.back().is_none_or(|(_, last)| *last < given)
            && self.looks.len() < 256
        {
            self.looks.push_back((now, given));
        }
        self.looks
            .front()
            .map_or(0, |(at, _)| now.saturating_sub(*at))
    }
}

#[cfg(test)]
mod tests;
