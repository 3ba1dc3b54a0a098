//! Weights under load: [`WeightSteps`] lowers and raises a weight in steps, and [`WeightRamp`] follows a falling target
//! at once and a rising one slowly.

use super::{HealthOptions, MAX_WEIGHT};
use crate::interface::Micros;
use std::collections::VecDeque;

/// The weight of each step; the step after the last has the weight of the floor.
const STEPS: [u8; 4] = [100, 75, 50, 25];
/// Utilization of capacity at which the weight is lowered by a step.
const UTILIZATION_HIGH: f64 = 0.9;
/// Utilization of capacity up to which the load counts as low.
const UTILIZATION_LOW: f64 = 0.7;
/// Least time between two steps down, microseconds, so that the effect of one is visible before the next.
const STEP_INTERVAL: Micros = 300_000;
/// The window within which the changes from falling to rising are bounded, microseconds.
const FLAP_WINDOW: Micros = 60_000_000;

/// Steps the weight down under overload, and up again after a time of low load. It stays while the load is between the
/// two thresholds.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightSteps {
    step: usize,
    stepped_at: Micros,
    /// When the load was last above the lower threshold.
    not_low_at: Micros,
}

impl WeightSteps {
    /// Updates the step from the share of requests that were rejected, failed or late, `None` if too few ended, and
    /// from the utilization of capacity.
    pub fn update(
        &mut self,
        now: Micros,
        overload_share: Option<f64>,
        utilization: f64,
        options: &HealthOptions,
    ) {
        let high = overload_share
            .is_some_and(|overload_share| overload_share >= options.strain_high)
            || utilization >= UTILIZATION_HIGH;
        let low = overload_share.is_none_or(|overload_share| overload_share <= options.strain_low)
            && utilization <= UTILIZATION_LOW;
        if !low {
            self.not_low_at = now;
        }
        let since_step = now.saturating_sub(self.stepped_at);
        if high && self.step < STEPS.len() && since_step >= STEP_INTERVAL {
            (self.step, self.stepped_at) = (self.step + 1, now);
        } else if low
            && self.step > 0
            && now.saturating_sub(self.not_low_at) >= options.calm()
            && since_step >= options.rise_every()
        {
            (self.step, self.stepped_at) = (self.step - 1, now);
        }
    }

    /// The weight of the current step, at least the floor.
    pub fn weight(&self, options: &HealthOptions) -> u8 {
        STEPS
            .get(self.step)
            .map_or(options.floor, |step| (*step).max(options.floor))
    }
}

/// A weight that falls at once and rises slowly, with a bound on how often it changes from falling to rising.
#[derive(Clone, Debug)]
pub struct WeightRamp {
    weight: u8,
    moved_at: Micros,
    /// Whether the last change was a fall.
    falling: bool,
    /// When the weight changed from falling to rising, within the window.
    flaps: VecDeque<Micros>,
}

impl WeightRamp {
    /// A ramp that starts at `weight`.
    pub fn new(weight: u8, now: Micros) -> WeightRamp {
        WeightRamp {
            weight,
            moved_at: now,
            falling: false,
            flaps: VecDeque::new(),
        }
    }

    /// The weight that the ramp has reached, percent, 0 to [`MAX_WEIGHT`].
    pub fn weight(&self) -> u8 {
        self.weight
    }

    /// Lowers the weight to the target at once, or raises it towards the target by one step.
    pub fn move_towards(&mut self, now: Micros, target: u8, options: &HealthOptions) {
        let target = target.min(MAX_WEIGHT);
        while self
            .flaps
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= FLAP_WINDOW)
        {
            self.flaps.pop_front();
        }
        if target < self.weight {
            (self.weight, self.moved_at, self.falling) = (target, now, true);
            return;
        }
        if target == self.weight || now.saturating_sub(self.moved_at) < options.rise_every() {
            return;
        }
        if self.falling {
            // A rise after a fall is a flap; only `flaps_per_minute` of them are allowed.
            if self.flaps.len() >= options.flaps_per_minute as usize {
                return;
            }
            self.flaps.push_back(now);
            self.falling = false;
        }
        // The first rise from 0 goes to the floor at least.
        let next = self
            .weight
            .saturating_add(options.rise_step)
            .max(options.floor);
        (self.weight, self.moved_at) = (next.min(target), now);
    }
}
