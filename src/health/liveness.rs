//! Liveness of the request path, from the heartbeat, the age of commands that no session has taken, and the core's lock.

use super::HealthOptions;
use crate::interface::Micros;

/// Longest gap between two events that is taken for ordinary, microseconds; in a longer one this thread itself stood
/// still, and answers that came meanwhile could not be read.
const STALL_THRESHOLD: Micros = 150_000;
/// A hang this soon after the last one is a relapse, microseconds.
const RELAPSE_WINDOW: Micros = 60_000_000;
/// Longest time that heartbeats must be answered after a hang, microseconds, however many relapses there were.
const MAX_RECOVERY_PROOF: Micros = 30_000_000;

/// What became of the heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// An empty query was written on a session that is open.
    Sent,
    /// It was answered.
    Answered,
    /// A fresh connection was begun.
    ConnectStarted,
    /// It was accepted, opened and its empty query answered.
    Connected,
    /// The open session ended; the next fresh connection takes its place.
    SessionLost,
}

/// Whether the request path hangs, and whether it accepts connections.
pub struct Liveness {
    last: Micros,
    unanswered_since: Option<Micros>,
    connecting_since: Option<Micros>,
    /// A session is open, so that the path can be asked without a fresh connection.
    open: bool,
    lost_at: Micros,
    answered: bool,
    missed_since: Option<Micros>,
    command_age: Micros,
    full: bool,
    hung: bool,
    good_since: Micros,
    relapses: u32,
    hung_at: Micros,
    accepts: bool,
}

impl Liveness {
    /// Nothing was sent, nothing answered.
    pub fn new(now: Micros) -> Liveness {
        Liveness {
            last: now,
            unanswered_since: None,
            connecting_since: None,
            open: false,
            lost_at: 0,
            answered: false,
            missed_since: None,
            command_age: 0,
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
    pub fn advance(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap > STALL_THRESHOLD {
            for since in [
                &mut self.unanswered_since,
                &mut self.connecting_since,
                &mut self.missed_since,
            ] {
                *since = since.map(|at| at.saturating_add(gap).min(now));
            }
            self.command_age = 0;
        }
    }

    /// Takes in what became of the heartbeat.
    pub fn heartbeat(&mut self, now: Micros, beat: Heartbeat) {
        match beat {
            Heartbeat::Sent => self.unanswered_since = self.unanswered_since.or(Some(now)),
            Heartbeat::Answered => self.unanswered_since = None,
            Heartbeat::ConnectStarted => {
                self.connecting_since = self.connecting_since.or(Some(now))
            }
            Heartbeat::Connected => (self.connecting_since, self.open) = (None, true),
            // What it owed will never come; whether the path moves is for the next connection to show.
            Heartbeat::SessionLost => {
                (self.unanswered_since, self.open, self.lost_at) = (None, false, now)
            }
        }
        self.answered |= matches!(beat, Heartbeat::Answered | Heartbeat::Connected);
    }

    /// The core was observed; `full` when no further session can be accepted.
    pub fn observed(&mut self, full: bool) {
        self.missed_since = None;
        self.full = full;
    }

    /// The core's lock was held.
    pub fn observation_missed(&mut self, now: Micros) {
        self.missed_since = self.missed_since.or(Some(now));
    }

    /// The age of the oldest command that no session has taken, microseconds.
    pub fn oldest_command_age(&mut self, age: Micros) {
        self.command_age = age;
    }

    /// Whether a heartbeat was ever answered.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// Whether the request path hangs.
    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// Whether new connections are accepted.
    pub fn accepts(&self) -> bool {
        self.accepts
    }

    /// Decides anew whether the path hangs.
    pub fn evaluate(&mut self, now: Micros, options: &HealthOptions) {
        let bound = options.hung_after();
        let old = |since: Option<Micros>| since.is_some_and(|at| now.saturating_sub(at) >= bound);
        // A connection attempt that waits for capacity shows load; one that waits while no session is open to ask and
        // there is capacity shows a path that hangs.
        let not_accepted = old(self.connecting_since.map(|at| at.max(self.lost_at)))
            && !self.open
            && !self.full
            && self.answered;
        let stuck = old(self.unanswered_since)
            || old(self.missed_since)
            || self.command_age >= bound
            || not_accepted;
        self.accepts = !old(self.connecting_since);
        if stuck {
            if !self.hung {
                let soon = now.saturating_sub(self.hung_at) < RELAPSE_WINDOW && self.hung_at > 0;
                self.relapses = if soon {
                    self.relapses.saturating_add(1)
                } else {
                    0
                };
                self.hung_at = now;
            }
            self.hung = true;
            self.good_since = now;
        } else if self.hung
            && (self.unanswered_since.is_some_and(|at| at < self.good_since) || !self.open)
        {
            // Not stuck any more, but nothing has shown that it moves.
            self.good_since = now;
        }
        let proof = options
            .recover_after()
            .saturating_mul(1 << self.relapses.min(8))
            .min(MAX_RECOVERY_PROOF);
        if self.hung && now.saturating_sub(self.good_since) >= proof {
            self.hung = false;
        }
    }
}

/// The age of the oldest command that no session has taken, from counts alone: commands are taken about in the order in
/// which they were given, so it is at least as old as the first sample that saw more given than are taken now.
#[derive(Default)]
pub struct CommandAge {
    samples: std::collections::VecDeque<(Micros, u64)>,
}

impl CommandAge {
    /// Takes a sample of the counts; the age of the oldest command, microseconds.
    pub fn sample(&mut self, now: Micros, given: u64, taken: u64) -> Micros {
        while self
            .samples
            .front()
            .is_some_and(|(_, given)| *given <= taken)
        {
            self.samples.pop_front();
        }
        // Samples that saw the same count tell nothing new: kept, they would pile up while nothing moves.
        if given > taken
            && self.samples.back().is_none_or(|(_, last)| *last < given)
            && self.samples.len() < 256
        {
            self.samples.push_back((now, given));
        }
        self.samples
            .front()
            .map_or(0, |(at, _)| now.saturating_sub(*at))
    }
}

#[cfg(test)]
mod tests;
