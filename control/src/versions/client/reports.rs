//! Audit reports: actions are added up by version and reported at intervals. One report at a time is sent, and repeated
//! until it is counted.

use super::is_send_due;
use crate::lease::NodeIdentity;
use crate::versions::{Span, ToControl, Topic, MAX_SPANS_PER_REPORT};
use crate::Micros;

/// Minimum number of renewal intervals between two reports of one gateway, so that the audit takes a small part of the log.
pub(super) const REPORT_INTERVAL_RENEWALS: u64 = 10;

/// A report that is not known to be counted yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingReport {
    spans: Vec<Span>,
    last_sent_at: Option<Micros>,
}

/// The audit reports of one incarnation of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Reports {
    /// Actions that are in no report yet.
    unreported: Vec<Span>,
    pending: Option<PendingReport>,
    /// The number of the last report. The first has number 1.
    sequence: u64,
    last_report_at: Micros,
}

impl Reports {
    /// Adds actions begun under a version.
    pub(super) fn add(&mut self, now: Micros, topic: Topic, number: u64, count: u64) {
        let same = |span: &&mut Span| (span.topic, span.number) == (topic, number);
        match self.unreported.iter_mut().find(same) {
            Some(span) => span.add(now, count),
            None => self.unreported.push(Span {
                topic,
                number,
                from: now,
                until: now,
                count,
            }),
        }
    }

    /// Ends the pending report, if it is the one that was counted.
    pub(super) fn acknowledge(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.pending = None;
        }
    }

    /// Makes the pending report due again, as messages on a former link may be lost.
    pub(super) fn mark_unsent(&mut self) {
        if let Some(report) = &mut self.pending {
            report.last_sent_at = None;
        }
    }

    /// The report that is to be sent now, if there is one.
    pub(super) fn take_due(
        &mut self,
        now: Micros,
        renew_us: Micros,
        identity: NodeIdentity,
    ) -> Option<ToControl> {
        self.begin_report(now, renew_us);
        let sequence = self.sequence;
        let report = self.pending.as_mut()?;
        if !is_send_due(report.last_sent_at, now, renew_us) {
            return None;
        }
        report.last_sent_at = Some(now);
        Some(ToControl::Report {
            identity,
            sequence,
            spans: report.spans.clone(),
        })
    }

    /// Begins the next report if the last one was counted and the interval has passed.
    fn begin_report(&mut self, now: Micros, renew_us: Micros) {
        let interval_us = REPORT_INTERVAL_RENEWALS * renew_us;
        let due = now >= self.last_report_at.saturating_add(interval_us);
        if self.pending.is_some() || self.unreported.is_empty() || !due {
            return;
        }
        let spans = self.unreported.len().min(MAX_SPANS_PER_REPORT);
        self.sequence += 1;
        self.pending = Some(PendingReport {
            spans: self.unreported.drain(..spans).collect(),
            last_sent_at: None,
        });
        self.last_report_at = now;
    }
}
