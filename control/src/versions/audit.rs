//! Audit of who acted on which version: sums by gateway, incarnation, topic and version.
//!
//! Invariant: each report counts once, in the order of its incarnation's sequence. The audit is bounded: the entries of the
//! oldest versions and the reports of the oldest incarnations are dropped first. It decides nothing about versions.

use super::{NodeIdentity, Topic};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Incarnations of one gateway whose last report is known.
const MAX_INCARNATIONS_PER_GATEWAY: usize = 8;
/// Entries that are kept, of about 80 bytes each.
const MAX_ENTRIES: usize = 4_096;
/// Spans in one report: each topic, with three versions while the report could not be sent.
pub(crate) const MAX_SPANS_PER_REPORT: usize = 16;

/// The actions of a gateway under one version, from one moment to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Span {
    /// The topic.
    pub topic: Topic,
    /// The number of the version.
    pub number: u64,
    /// The first action, microseconds on the gateway's own clock.
    pub from: Micros,
    /// The last action, microseconds on the gateway's own clock.
    pub until: Micros,
    /// How many actions.
    pub count: u64,
}

impl Span {
    /// Adds `count` actions at a time, microseconds on the gateway's own clock.
    pub fn add(&mut self, at: Micros, count: u64) {
        self.from = self.from.min(at);
        self.until = self.until.max(at);
        self.count = self.count.saturating_add(count);
    }
}

/// The actions of one incarnation of a gateway under one version, from all of its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The gateway.
    pub who: NodeIdentity,
    /// Its actions.
    pub span: Span,
}

/// The audit's sums, part of the replicated table: the same log gives the same entries at every control member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Audit {
    #[serde(rename = "rows")]
    entries: Vec<AuditEntry>,
    /// By gateway, the sequence of the last report of each of its latest incarnations, the latest last.
    reports: BTreeMap<u32, Vec<(u32, u64)>>,
}

impl Audit {
    /// The sums, oldest first.
    pub fn entries(&self) -> &[AuditEntry] {
        &self.entries
    }

    /// The sequence of an incarnation's last report that was counted; 0 before the first.
    pub fn last_sequence(&self, who: NodeIdentity) -> u64 {
        let incarnations = self.reports.get(&who.gateway);
        let incarnation = incarnations.and_then(|incarnations| {
            incarnations
                .iter()
                .find(|(incarnation, _)| *incarnation == who.incarnation)
        });
        incarnation.map_or(0, |(_, last)| *last)
    }

    /// Counts a report; false where it is not the next one of its incarnation, or too long, and nothing changes.
    pub fn report(&mut self, who: NodeIdentity, sequence: u64, spans: &[Span]) -> bool {
        if sequence != self.last_sequence(who) + 1 || spans.len() > MAX_SPANS_PER_REPORT {
            return false;
        }
        let incarnations = self.reports.entry(who.gateway).or_default();
        match incarnations
            .iter_mut()
            .find(|(incarnation, _)| *incarnation == who.incarnation)
        {
            Some((_, last)) => *last = sequence,
            None => {
                if incarnations.len() == MAX_INCARNATIONS_PER_GATEWAY {
                    incarnations.remove(0);
                }
                incarnations.push((who.incarnation, sequence));
            }
        }
        for span in spans {
            let same = |entry: &&mut AuditEntry| {
                entry.who == who
                    && (entry.span.topic, entry.span.number) == (span.topic, span.number)
            };
            match self.entries.iter_mut().find(same) {
                Some(entry) => {
                    entry.span.add(span.from, 0);
                    entry.span.add(span.until, span.count);
                }
                None => self.entries.push(AuditEntry { who, span: *span }),
            }
        }
        let excess = self.entries.len().saturating_sub(MAX_ENTRIES);
        self.entries.drain(..excess);
        true
    }

    /// The actions counted under a version.
    pub fn count(&self, topic: Topic, number: u64) -> u64 {
        let of = self
            .entries
            .iter()
            .filter(|entry| (entry.span.topic, entry.span.number) == (topic, number));
        of.map(|entry| entry.span.count).sum()
    }
}

#[cfg(test)]
mod tests;
