//! Role arbitration: which report of a member's role is current.
//!
//! Decides by a member's earlier answers and by when each report was requested. It never promotes or demotes a member:
//! [`super::primary`] does.

use crate::interface::{ConsistencyLevel, Micros, Outcome, Role};

/// How long reports that a member is the primary are distrusted after it rejected a write or answered as a replica,
/// microseconds. A draining primary hands over within a second, and another write may be sent to it before; load
/// reports are refreshed several times a second and arrive late.
const DISTRUST_PERIOD: Micros = 500_000;

/// Where a report of a member's role came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleSource {
    /// A load report, made some time before it arrived.
    LoadReport,
    /// An answer, with the role that the member had when it answered.
    Answer,
    /// The answer to a write that was served: proof of a primary.
    ServedWrite,
    /// The rejection of a write for the member's role: proof of a replica, whatever it reports.
    MisroutedWrite,
}

impl RoleSource {
    /// The source of the report in an answer.
    pub(crate) fn of_answer(consistency: ConsistencyLevel, outcome: Outcome) -> RoleSource {
        match (consistency, outcome) {
            (ConsistencyLevel::Write, Outcome::Served) => RoleSource::ServedWrite,
            (ConsistencyLevel::Write, Outcome::Misrouted) => RoleSource::MisroutedWrite,
            _ => RoleSource::Answer,
        }
    }
}

/// Reports that a member is the primary are distrusted if they were requested before these times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoleArbitration {
    /// Until when reports of any kind are distrusted, because the member rejected a write.
    all_reports_until: Micros,
    /// Until when load reports are distrusted, because an answer showed that the member is a replica.
    load_reports_until: Micros,
}

impl RoleArbitration {
    /// Evaluates a report that was requested at `requested_at`. Returns the role that it shows, or `None` if it names
    /// none or may be older than an answer that contradicts it.
    pub(crate) fn observe(
        &mut self,
        reported: Option<Role>,
        requested_at: Micros,
        source: RoleSource,
        now: Micros,
    ) -> Option<Role> {
        let distrust_until = now.saturating_add(DISTRUST_PERIOD);
        match (source, reported) {
            (RoleSource::MisroutedWrite, _) => {
                self.all_reports_until = distrust_until;
                self.load_reports_until = distrust_until;
                Some(Role::Replica)
            }
            (RoleSource::Answer | RoleSource::ServedWrite, Some(Role::Replica)) => {
                self.load_reports_until = distrust_until;
                reported
            }
            (RoleSource::LoadReport, Some(Role::Primary))
                if requested_at < self.all_reports_until.max(self.load_reports_until) =>
            {
                None
            }
            (RoleSource::Answer, Some(Role::Primary)) if requested_at < self.all_reports_until => {
                None
            }
            _ => reported,
        }
    }
}

#[cfg(test)]
mod tests;
