//! Who acted on which version: sums by gateway, incarnation, topic and version, from reports that count once.

use super::{NodeIdentity, Topic};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lives of one gateway whose reports are told apart; a report of an older incarnation is refused. Ours.
const INCARNATIONS_KEPT: usize = 8;
/// Rows kept; the oldest versions' go first. About 80 bytes each, so 320 KiB. Ours.
const ROWS: usize = 4_096;
/// Spans that one report may hold. Ours: four topics, and three versions each while it could not be sent.
pub(crate) const MAX_SPANS_PER_REPORT: usize = 16;

/// What a gateway did under one version, from one moment to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Span {
    /// Of what.
    pub topic: Topic,
    /// The version.
    pub number: u64,
    /// The first action, microseconds on the gateway's own clock.
    pub from: Micros,
    /// The last action, microseconds on the gateway's own clock.
    pub until: Micros,
    /// How many.
    pub count: u64,
}

impl Span {
    /// Takes in actions at a time.
    pub fn add(&mut self, at: Micros, count: u64) {
        self.from = self.from.min(at);
        self.until = self.until.max(at);
        self.count = self.count.saturating_add(count);
    }
}

/// What one incarnation of a gateway did under one version, by all of its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Who.
    pub who: NodeIdentity,
    /// What it did.
    pub span: Span,
}

/// The audit's sums. Deterministic: the same entries give the same rows on every gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Audit {
    rows: Vec<Row>,
    /// By gateway, the last report of each of its latest incarnations, the latest last.
    reports: BTreeMap<u32, Vec<(u32, u64)>>,
}

impl Audit {
    /// The sums, oldest first.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// The last report of an incarnation that was counted; 0 before the first.
    pub fn last(&self, who: NodeIdentity) -> u64 {
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
        if sequence != self.last(who) + 1 || spans.len() > MAX_SPANS_PER_REPORT {
            return false;
        }
        let incarnations = self.reports.entry(who.gateway).or_default();
        match incarnations
            .iter_mut()
            .find(|(incarnation, _)| *incarnation == who.incarnation)
        {
            Some((_, last)) => *last = sequence,
            None => {
                if incarnations.len() == INCARNATIONS_KEPT {
                    incarnations.remove(0);
                }
                incarnations.push((who.incarnation, sequence));
            }
        }
        for span in spans {
            let same = |row: &&mut Row| {
                row.who == who && (row.span.topic, row.span.number) == (span.topic, span.number)
            };
            match self.rows.iter_mut().find(same) {
                Some(row) => {
                    row.span.add(span.from, 0);
                    row.span.add(span.until, span.count);
                }
                None => self.rows.push(Row { who, span: *span }),
            }
        }
        let over = self.rows.len().saturating_sub(ROWS);
        self.rows.drain(..over);
        true
    }

    /// The actions counted under a version.
    pub fn count(&self, topic: Topic, number: u64) -> u64 {
        let of = self
            .rows
            .iter()
            .filter(|row| (row.span.topic, row.span.number) == (topic, number));
        of.map(|row| row.span.count).sum()
    }
}

#[cfg(test)]
mod tests;
