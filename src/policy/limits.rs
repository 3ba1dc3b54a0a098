//! The adaptive concurrency limit of a member.
//!
//! Decides how many of this gateway's attempts may be in flight at a member, from the latency of its answers as a
//! share of the latency objective (the pressure).

use super::estimates::update_mean;
use crate::interface::Micros;

/// Pressure above which a limit shrinks and load shedding stops easing.
pub(crate) const HIGH_PRESSURE: f64 = 0.6;
/// The limit of a newly listed member, attempts in flight.
const INITIAL_LIMIT: f64 = 8.0;
/// The least limit after a reduction, attempts in flight.
const MIN_LIMIT: f64 = 2.0;
/// The factor by which a reduction lowers the limit.
const REDUCTION_FACTOR: f64 = 0.9;
/// The least time between two reductions, microseconds: answers must first show the effect of the last one.
const REDUCTION_INTERVAL: Micros = 100_000;
/// Share of [`HIGH_PRESSURE`] below which a limit grows.
const GROWTH_PRESSURE_SHARE: f64 = 0.75;
/// Share of the limit that must be in use for it to grow.
const GROWTH_UTILIZATION: f64 = 0.5;

/// The number of this gateway's attempts in flight that keeps a member's latency within the objective.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// The most attempts of this gateway in flight.
    pub max_in_flight: f64,
    /// The running mean of latency as a share of the objective.
    pub pressure: f64,
    reduced_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            max_in_flight: INITIAL_LIMIT,
            pressure: 0.0,
            reduced_at: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Lowers the limit to `max_in_flight` if it is higher; it may grow again from there.
    pub(crate) fn lower_to(&mut self, max_in_flight: f64) {
        self.max_in_flight = self.max_in_flight.min(max_in_flight);
    }

    /// Records an answer's latency as a share of the objective, with `in_flight` other attempts still in flight.
    pub(crate) fn record(&mut self, latency_ratio: f64, in_flight: u32, now: Micros) {
        update_mean(&mut self.pressure, latency_ratio);
        let reached = f64::from(in_flight + 1);
        let may_reduce = now.saturating_sub(self.reduced_at) > REDUCTION_INTERVAL;
        let in_use = reached >= self.max_in_flight * GROWTH_UTILIZATION;
        if self.pressure > HIGH_PRESSURE && may_reduce {
            self.max_in_flight =
                (self.max_in_flight.min(reached) * REDUCTION_FACTOR).max(MIN_LIMIT);
            self.reduced_at = now;
        } else if self.pressure < HIGH_PRESSURE * GROWTH_PRESSURE_SHARE && in_use {
            self.max_in_flight += 1.0 / self.max_in_flight.max(1.0);
        }
    }
}
