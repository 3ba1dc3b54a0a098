//! What a fleet of fronts may spend at members that all of them share, and what part of it falls to one front.
//!
//! It decides, from the size of the fleet alone, how far apart in time this front does what each front does at
//! every member. It never asks who the other fronts are or what they do.

use crate::interface::{Micros, Settings};

/// Fronts that may each keep a pace at one member; a larger fleet shares what these would do. Ours.
const FRONTS_AT_PACE: f64 = 8.0;

/// The fleet, as seen from one of its fronts.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    fronts: f64,
}

impl Fleet {
    /// A fleet of so many fronts.
    pub fn new(fronts: u32) -> Fleet {
        Fleet { fronts: f64::from(fronts) }
    }

    /// How many times the fleet exceeds what each front may do at its own pace; 1 for a small one.
    pub fn sharing(self) -> f64 {
        (self.fronts / FRONTS_AT_PACE).max(1.0)
    }

    /// Whether traffic is spread over so many fronts that each hears little of a member.
    pub fn is_large(self) -> bool {
        self.sharing() > 1.0
    }

    /// A time, microseconds, stretched so that a large fleet does not multiply what each front does at a member.
    pub fn pace(self, alone: Micros) -> Micros {
        (alone as f64 * self.sharing()) as Micros
    }
}

/// The share of its capacity that a member started at a time, 0 for long ago, has at least.
pub fn warmth(settings: &Settings, started: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started);
    if started == 0 || age >= settings.cold_for {
        return 1.0;
    }
    let ramp = age as f64 / settings.cold_for.max(1) as f64;
    (settings.cold_share + (1.0 - settings.cold_share) * ramp).min(1.0)
}

/// Sends saved up for a cold member.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdCredit {
    credit: f64,
    at: Micros,
}

impl ColdCredit {
    /// Some credit to start with, less than a whole send: drawn, so that fronts do not all start with one.
    pub fn starting(credit: f64, at: Micros) -> ColdCredit {
        ColdCredit { credit, at }
    }

    /// What is saved up at a time, earning so many sends a microsecond, spent within a span.
    pub fn saved(&self, now: Micros, per_micro: f64, span: Micros) -> f64 {
        let earned = now.saturating_sub(self.at) as f64 * per_micro;
        let (credit, burst) = (self.credit + earned, per_micro * span as f64 / 2.0);
        // A whole credit of a thin front lapses, or all fronts would save one up and spend it together.
        if credit.max(0.0).fract() > burst {
            credit.fract()
        } else {
            credit.min(burst.max(1.0))
        }
    }
}
