//! Which word on a member's role may be believed.
//!
//! Decides from what a member has shown of itself and when each word was asked for. It neither marks a member nor sends
//! anything: [`crate::policy`] does.

use crate::interface::{ConsistencyLevel, Micros, Outcome, Role};

/// How long a member that turned a write away, or noted in an answer that it is a replica, is not taken for the primary on
/// a word that may be older. One that drains hands over within a second, and a write may ask it again before; load reports
/// are refreshed some times a second and arrive late. Ours.
const DOUBT: Micros = 500_000;

/// How a word on a member's role came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// In a load report, made some time before it was answered.
    Report,
    /// In the note of an answer, made as it was answered.
    Answer,
    /// The same, of a write that went through: it leaves no doubt who is the primary.
    ServedWrite,
    /// The same, of a write that was turned away, whatever the note says.
    MissedWrite,
}

impl Source {
    /// That of an attempt's note.
    pub fn of(consistency: ConsistencyLevel, outcome: Outcome) -> Source {
        match (consistency, outcome) {
            (ConsistencyLevel::Write, Outcome::Served) => Source::ServedWrite,
            (ConsistencyLevel::Write, Outcome::Misrouted) => Source::MissedWrite,
            _ => Source::Answer,
        }
    }
}

/// Until when word that a member is the primary is not believed, by when it was asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    /// Of any kind: it turned a write away.
    any_until: Micros,
    /// In a load report: an answer has shown it to be a replica.
    report_until: Micros,
}

impl Doubt {
    /// Takes in a word that was asked for at some time. The role that the member has by it; none where the word says none,
    /// or may be older than what the member has shown since.
    pub fn hear(
        &mut self,
        told: Option<Role>,
        asked: Micros,
        source: Source,
        now: Micros,
    ) -> Option<Role> {
        match (source, told) {
            (Source::MissedWrite, _) => {
                *self = Doubt {
                    any_until: now.saturating_add(DOUBT),
                    report_until: now.saturating_add(DOUBT),
                };
                Some(Role::Replica)
            }
            (Source::Answer | Source::ServedWrite, Some(Role::Replica)) => {
                self.report_until = now.saturating_add(DOUBT);
                told
            }
            (Source::Report, Some(Role::Primary))
                if asked < self.any_until.max(self.report_until) =>
            {
                None
            }
            (Source::Answer, Some(Role::Primary)) if asked < self.any_until => None,
            _ => told,
        }
    }
}

#[cfg(test)]
mod tests;
