//! Detects a hang of the request path, from the heartbeat, the age of commands that no session has received, and the
//! lock of the core.

use super::HealthOptions;
use crate::interface::Micros;

/// Longest gap between two events while this thread runs normally, microseconds. In a longer gap the thread itself was
/// not running and could not read answers that arrived meanwhile.
const STALL_THRESHOLD: Micros = 150_000;
/// A hang within this time after the last one began is a relapse, microseconds.
const RELAPSE_WINDOW: Micros = 60_000_000;
/// Upper bound of the time for which heartbeats must be answered after a hang, microseconds. That time doubles with
/// each relapse.
const MAX_RECOVERY_TIME: Micros = 30_000_000;
/// Maximum number of samples that [`CommandAge`] keeps.
const MAX_SAMPLES: usize = 256;

/// An event of the heartbeat, which sends empty queries through the gateway's own listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeat {
    /// An empty query was sent on the open session.
    Sent,
    /// The query of the last `Sent` was answered.
    Answered,
    /// A new connection attempt began.
    ConnectStarted,
    /// The new connection was accepted, its session started and an empty query answered.
    Connected,
    /// The open session ended; the next new connection replaces it.
    SessionLost,
}

/// Tracks whether the request path hangs, and whether it accepts connections.
pub struct Liveness {
    last_event_at: Micros,
    unanswered_since: Option<Micros>,
    connecting_since: Option<Micros>,
    /// Whether the heartbeat has an open session, so that the path can be checked without a new connection.
    session_open: bool,
    session_lost_at: Micros,
    ever_answered: bool,
    observation_missed_since: Option<Micros>,
    command_age: Micros,
    sessions_full: bool,
    hung: bool,
    /// Since when nothing was overdue and the heartbeat could show progress.
    healthy_since: Micros,
    relapses: u32,
    hung_at: Micros,
    accepts: bool,
}

impl Liveness {
    /// The state before the first heartbeat.
    pub fn new(now: Micros) -> Liveness {
        Liveness {
            last_event_at: now,
            unanswered_since: None,
            connecting_since: None,
            session_open: false,
            session_lost_at: 0,
            ever_answered: false,
            observation_missed_since: None,
            command_age: 0,
            sessions_full: false,
            hung: false,
            healthy_since: now,
            relapses: 0,
            hung_at: 0,
            accepts: true,
        }
    }

    /// Advances the time. Heartbeats and connection attempts that are outstanding do not age while this thread itself
    /// was not running, so that a process that was stopped as a whole does not count as hung when it continues.
    pub fn advance(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        if gap > STALL_THRESHOLD {
            for since in [
                &mut self.unanswered_since,
                &mut self.connecting_since,
                &mut self.observation_missed_since,
            ] {
                *since = since.map(|at| at.saturating_add(gap).min(now));
            }
            self.command_age = 0;
        }
    }

    /// Records an event of the heartbeat.
    pub fn heartbeat(&mut self, now: Micros, beat: Heartbeat) {
        match beat {
            Heartbeat::Sent => self.unanswered_since = self.unanswered_since.or(Some(now)),
            Heartbeat::Answered => self.unanswered_since = None,
            Heartbeat::ConnectStarted => {
                self.connecting_since = self.connecting_since.or(Some(now))
            }
            Heartbeat::Connected => (self.connecting_since, self.session_open) = (None, true),
            // An answer that was outstanding cannot arrive any more; the next connection shows whether the path works.
            Heartbeat::SessionLost => {
                (
                    self.unanswered_since,
                    self.session_open,
                    self.session_lost_at,
                ) = (None, false, now)
            }
        }
        self.ever_answered |= matches!(beat, Heartbeat::Answered | Heartbeat::Connected);
    }

    /// Records that the core was observed, and whether no further session can be accepted.
    pub fn observed(&mut self, sessions_full: bool) {
        self.observation_missed_since = None;
        self.sessions_full = sessions_full;
    }

    /// Records that the core could not be observed because its lock was held.
    pub fn observation_missed(&mut self, now: Micros) {
        self.observation_missed_since = self.observation_missed_since.or(Some(now));
    }

    /// Records the age of the oldest command that no session has received, microseconds.
    pub fn oldest_command_age(&mut self, age: Micros) {
        self.command_age = age;
    }

    /// Whether any heartbeat has been answered.
    pub fn has_answered(&self) -> bool {
        self.ever_answered
    }

    /// Whether the request path hangs.
    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// Whether new connections are accepted.
    pub fn accepts(&self) -> bool {
        self.accepts
    }

    /// Updates whether the path hangs and whether it accepts connections.
    pub fn evaluate(&mut self, now: Micros, options: &HealthOptions) {
        let bound = options.hung_after();
        let overdue =
            |since: Option<Micros>| since.is_some_and(|at| now.saturating_sub(at) >= bound);
        // A connection attempt that waits while all sessions are in use indicates load. One that waits although
        // sessions are free, while the heartbeat has no open session, indicates a hang.
        let not_accepted = overdue(self.connecting_since.map(|at| at.max(self.session_lost_at)))
            && !self.session_open
            && !self.sessions_full
            && self.ever_answered;
        let no_progress = overdue(self.unanswered_since)
            || overdue(self.observation_missed_since)
            || self.command_age >= bound
            || not_accepted;
        self.accepts = !overdue(self.connecting_since);
        if no_progress {
            if !self.hung {
                let is_relapse =
                    now.saturating_sub(self.hung_at) < RELAPSE_WINDOW && self.hung_at > 0;
                self.relapses = if is_relapse {
                    self.relapses.saturating_add(1)
                } else {
                    0
                };
                self.hung_at = now;
            }
            self.hung = true;
            self.healthy_since = now;
        } else if self.hung
            && (self
                .unanswered_since
                .is_some_and(|at| at < self.healthy_since)
                || !self.session_open)
        {
            // Nothing is overdue any more, but no heartbeat has shown progress yet.
            self.healthy_since = now;
        }
        let recovery_time = options
            .recover_after()
            .saturating_mul(1 << self.relapses.min(8))
            .min(MAX_RECOVERY_TIME);
        if self.hung && now.saturating_sub(self.healthy_since) >= recovery_time {
            self.hung = false;
        }
    }
}

/// Estimates the age of the oldest command that no session has received, from counts alone. Commands are received
/// roughly in the order in which they were sent, so the oldest is at least as old as the first sample whose count of
/// sent commands exceeds the count received now.
#[derive(Default)]
pub struct CommandAge {
    /// Time of each sample and the count of sent commands then.
    samples: std::collections::VecDeque<(Micros, u64)>,
}

impl CommandAge {
    /// Adds a sample of the counts and returns the age of the oldest command, microseconds.
    pub fn sample(&mut self, now: Micros, sent: u64, received: u64) -> Micros {
        while self
            .samples
            .front()
            .is_some_and(|(_, sent)| *sent <= received)
        {
            self.samples.pop_front();
        }
        // A sample with the same count adds no information; keeping it would fill the queue while nothing is received.
        if sent > received
            && self.samples.back().is_none_or(|(_, last)| *last < sent)
            && self.samples.len() < MAX_SAMPLES
        {
            self.samples.push_back((now, sent));
        }
        self.samples
            .front()
            .map_or(0, |(at, _)| now.saturating_sub(*at))
    }
}

#[cfg(test)]
mod tests;
