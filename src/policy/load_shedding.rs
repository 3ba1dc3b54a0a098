//! Load shedding: which fraction of arriving reads a gateway admits.
//!
//! A gateway that has few attempts in flight at a member can't protect it by a concurrency limit. Instead it derives
//! from late answers and rejections which fraction of arriving reads to admit.

use super::estimates::update_mean;
use super::limits::HIGH_PRESSURE;
use crate::interface::Outcome;

/// Pressure above which late answers show load rather than a fault of single members.
pub(crate) const LOADED_PRESSURE: f64 = 0.35;
/// The share by which a late answer or a rejection lowers the admitted fraction.
const FRACTION_LOSS: f64 = 0.15;
/// How much an answer adds to the admitted fraction if its latency, as a share of the objective, is below
/// [`HIGH_PRESSURE`].
const FRACTION_GAIN: f64 = 0.02;
/// The least admitted fraction.
const MIN_FRACTION: f64 = 0.2;

/// The conditions under which an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct AnswerConditions {
    /// The measured latency is valid: this process was not stalled.
    pub is_timing_valid: bool,
    /// So few attempts are in flight at each member that limits can't act.
    pub has_low_traffic: bool,
}

/// The fraction of reads that is admitted to some members, from the ends of this gateway's attempts at all of them.
pub(crate) struct AdmittedFraction {
    /// The fraction of arriving reads that is admitted, from 0 to 1.
    pub fraction: f64,
    /// The running mean of the latency of answers as a share of the objective.
    pub pressure: f64,
}

impl Default for AdmittedFraction {
    fn default() -> AdmittedFraction {
        AdmittedFraction {
            fraction: 1.0,
            pressure: 0.0,
        }
    }
}

impl AdmittedFraction {
    /// Records how an attempt ended, and its latency as a share of the objective.
    pub(crate) fn record(
        &mut self,
        outcome: Outcome,
        latency_ratio: f64,
        conditions: AnswerConditions,
    ) {
        let AnswerConditions {
            is_timing_valid,
            has_low_traffic,
        } = conditions;
        let served = outcome == Outcome::Served;
        if served && is_timing_valid {
            update_mean(&mut self.pressure, latency_ratio);
        }
        let late = outcome == Outcome::TimedOut || served && latency_ratio >= 1.0;
        let overloaded = late && self.pressure > LOADED_PRESSURE || outcome == Outcome::Rejected;
        if served && latency_ratio < HIGH_PRESSURE {
            self.fraction = (self.fraction + FRACTION_GAIN).min(1.0);
        } else if has_low_traffic && is_timing_valid && overloaded {
            self.fraction = (self.fraction * (1.0 - FRACTION_LOSS)).max(MIN_FRACTION);
        }
    }
}
