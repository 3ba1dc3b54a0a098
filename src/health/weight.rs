//! Weights under load: steps down and up, and a ramp that falls at once and rises slowly.

use super::{HealthOptions, FULL};
use crate::interface::Micros;
use std::collections::VecDeque;

/// Weights of the steps above the floor.
const STEPS: [u8; 4] = [100, 75, 50, 25];
/// Utilization of capacity from which a step down is due, and up to which a step up is allowed.
const UTILIZATION_HIGH: f64 = 0.9;
const UTILIZATION_LOW: f64 = 0.7;
/// Time between two steps down, microseconds: the effect of one must show before the next.
const STEP_INTERVAL: Micros = 300_000;
/// The span over which flaps are bounded.
const FLAP_SPAN: Micros = 60_000_000;

/// Steps down under overload and up again after a calm time; between the two thresholds it stays.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightSteps {
    step: usize,
    moved_at: Micros,
    overloaded_at: Micros,
}

impl WeightSteps {
    /// Takes in the share of requests that were rejected, failed or late, where enough ended to tell, and the utilization
    /// of capacity.
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
            self.overloaded_at = now;
        }
        let rested = now.saturating_sub(self.moved_at);
        if high && self.step < STEPS.len() && rested >= STEP_INTERVAL {
            (self.step, self.moved_at) = (self.step + 1, now);
        } else if low
            && self.step > 0
            && now.saturating_sub(self.overloaded_at) >= options.calm()
            && rested >= options.rise_every()
        {
            (self.step, self.moved_at) = (self.step - 1, now);
        }
    }

    /// The weight of the step it stands on; the floor is the last.
    pub fn weight(&self, options: &HealthOptions) -> u8 {
        STEPS
            .get(self.step)
            .map_or(options.floor, |step| (*step).max(options.floor))
    }
}

/// A weight that falls at once and rises slowly, with a bound on how often it turns.
#[derive(Clone, Debug)]
pub struct WeightRamp {
    weight: u8,
    moved_at: Micros,
    fell: bool,
    /// When it turned from falling to rising, within the span.
    turns: VecDeque<Micros>,
}

impl WeightRamp {
    /// Stands at a weight.
    pub fn new(weight: u8, now: Micros) -> WeightRamp {
        WeightRamp {
            weight,
            moved_at: now,
            fell: false,
            turns: VecDeque::new(),
        }
    }

    /// The weight it shows.
    pub fn weight(&self) -> u8 {
        self.weight
    }

    /// Moves towards a target.
    pub fn move_towards(&mut self, now: Micros, target: u8, options: &HealthOptions) {
        let target = target.min(FULL);
        while self
            .turns
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= FLAP_SPAN)
        {
            self.turns.pop_front();
        }
        if target < self.weight {
            (self.weight, self.moved_at, self.fell) = (target, now, true);
            return;
        }
        if target == self.weight || now.saturating_sub(self.moved_at) < options.rise_every() {
            return;
        }
        if self.fell {
            // Up again after a fall: a flap, and only so many of them in a minute.
            if self.turns.len() >= options.flaps_per_minute as usize {
                return;
            }
            self.turns.push_back(now);
            self.fell = false;
        }
        // From nothing, the floor is the first step.
        let next = self
            .weight
            .saturating_add(options.rise_step)
            .max(options.floor);
        (self.weight, self.moved_at) = (next.min(target), now);
    }
}
