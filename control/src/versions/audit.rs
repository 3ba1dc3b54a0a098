//! Audit of which gateway acted on which version: action counts by gateway, incarnation, topic and version.
//!
//! Invariant: each report counts once, in the order in which its incarnation numbered it. The audit is bounded: the
//! entries of the oldest versions and the reports of the oldest incarnations are dropped first. Decisions about versions do
//! not depend on it.

use super::{NodeIdentity, Topic};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of incarnations per gateway whose last report number is kept.
const MAX_INCARNATIONS_PER_GATEWAY: usize = 8;
/// Maximum number of entries that are kept, of about 80 bytes each.
const MAX_ENTRIES: usize = 4_096;
/// Maximum number of spans in one report: enough for three versions of each topic, which can add up while no report can be
/// sent.
pub(crate) const MAX_SPANS_PER_REPORT: usize = 16;

/// The actions of a gateway under one version within a period of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The topic that the version belongs to.
    pub topic: Topic,
    /// The number of the version.
    pub number: u64,
    /// The time of the first action, microseconds on the gateway's own clock.
    pub from: Micros,
    /// The time of the last action, microseconds on the gateway's own clock.
    pub until: Micros,
    /// The number of actions.
    pub count: u64,
}

impl Span {
    /// Adds `count` actions at the time `at`, microseconds on the gateway's own clock.
    pub fn add(&mut self, at: Micros, count: u64) {
        self.from = self.from.min(at);
        self.until = self.until.max(at);
        self.count = self.count.saturating_add(count);
    }
}

/// The actions of one incarnation of a gateway under one version, from all of its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The gateway and its incarnation.
    #[serde(rename = "who")]
    pub identity: NodeIdentity,
    /// The incarnation's actions under the version, summed over its reports.
    pub span: Span,
}

/// The audit, which is part of the replicated table: the same log gives the same entries at every control member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Audit {
    #[serde(rename = "rows")]
    entries: Vec<AuditEntry>,
    /// By gateway, its incarnations with the number of the last report of each, the most recent incarnation last.
    reports: BTreeMap<u32, Vec<(u32, u64)>>,
}

impl Audit {
    /// The entries, oldest first.
    pub fn entries(&self) -> &[AuditEntry] {
        &self.entries
    }

    /// The number of an incarnation's last counted report; 0 before the first.
    pub fn last_sequence(&self, identity: NodeIdentity) -> u64 {
        let incarnations = self.reports.get(&identity.gateway);
        let incarnation = incarnations.and_then(|incarnations| {
            incarnations
                .iter()
                .find(|(incarnation, _)| *incarnation == identity.incarnation)
        });
        incarnation.map_or(0, |(_, last)| *last)
    }

    /// Counts a report. Returns false, and changes nothing, if it is not the next one of its incarnation or has too many
    /// spans.
    pub fn record_report(&mut self, identity: NodeIdentity, sequence: u64, spans: &[Span]) -> bool {
        if sequence != self.last_sequence(identity) + 1 || spans.len() > MAX_SPANS_PER_REPORT {
            return false;
        }
        let incarnations = self.reports.entry(identity.gateway).or_default();
        match incarnations
            .iter_mut()
            .find(|(incarnation, _)| *incarnation == identity.incarnation)
        {
            Some((_, last)) => *last = sequence,
            None => {
                if incarnations.len() == MAX_INCARNATIONS_PER_GATEWAY {
                    incarnations.remove(0);
                }
                incarnations.push((identity.incarnation, sequence));
            }
        }
        for span in spans {
            let same = |entry: &&mut AuditEntry| {
                entry.identity == identity
                    && (entry.span.topic, entry.span.number) == (span.topic, span.number)
            };
            match self.entries.iter_mut().find(same) {
                Some(entry) => {
                    entry.span.add(span.from, 0);
                    entry.span.add(span.until, span.count);
                }
                None => self.entries.push(AuditEntry {
                    identity,
                    span: *span,
                }),
            }
        }
        let excess = self.entries.len().saturating_sub(MAX_ENTRIES);
        self.entries.drain(..excess);
        true
    }

    /// The number of actions counted under a version, over all gateways.
    pub fn count(&self, topic: Topic, number: u64) -> u64 {
        let matching = self
            .entries
            .iter()
            .filter(|entry| (entry.span.topic, entry.span.number) == (topic, number));
        matching.map(|entry| entry.span.count).sum()
    }
}

#[cfg(test)]
mod tests;
