//! How far a weight should fall under load, and how a weight moves.

use super::{Knobs, FULL};
use crate::interface::Micros;
use std::collections::VecDeque;

/// Weights of the steps above the floor. Ours: quarters are steps that a balancer's spread shows.
const STEPS: [u8; 4] = [100, 75, 50, 25];
/// Share of room taken above which there is too little, and below which there is enough. Ours.
const ROOM_HIGH: f64 = 0.9;
const ROOM_LOW: f64 = 0.7;
/// Time between two steps down: a step must show before the next. Ours.
const STEP_EVERY: Micros = 300_000;
/// The span over which flaps are bounded.
const FLAP_SPAN: Micros = 60_000_000;

/// Steps down under strain and up again once it has been calm; between the two thresholds it stays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ladder {
    step: usize,
    moved: Micros,
    strained: Micros,
}

impl Ladder {
    /// Takes in the share of requests that fared badly, where enough ended to tell, and the share of room taken.
    pub fn strain(&mut self, now: Micros, share: Option<f64>, taken: f64, knobs: &Knobs) {
        let high = share.is_some_and(|share| share >= knobs.strain_high) || taken >= ROOM_HIGH;
        let low = share.is_none_or(|share| share <= knobs.strain_low) && taken <= ROOM_LOW;
        if !low {
            self.strained = now;
        }
        let rested = now.saturating_sub(self.moved);
        if high && self.step < STEPS.len() && rested >= STEP_EVERY {
            (self.step, self.moved) = (self.step + 1, now);
        } else if low
            && self.step > 0
            && now.saturating_sub(self.strained) >= knobs.calm()
            && rested >= knobs.rise_every()
        {
            (self.step, self.moved) = (self.step - 1, now);
        }
    }

    /// The weight of the step it stands on; the floor is the last.
    pub fn weight(&self, knobs: &Knobs) -> u8 {
        STEPS
            .get(self.step)
            .map_or(knobs.floor, |step| (*step).max(knobs.floor))
    }
}

/// A weight that falls at once and rises slowly, with a bound on how often it turns.
#[derive(Clone, Debug)]
pub struct Mover {
    weight: u8,
    moved: Micros,
    fell: bool,
    /// When it turned from falling to rising, within the span.
    turns: VecDeque<Micros>,
}

impl Mover {
    /// Stands at a weight.
    pub fn new(weight: u8, now: Micros) -> Mover {
        Mover {
            weight,
            moved: now,
            fell: false,
            turns: VecDeque::new(),
        }
    }

    /// The weight it shows.
    pub fn weight(&self) -> u8 {
        self.weight
    }

    /// Moves towards a target.
    pub fn aim(&mut self, now: Micros, target: u8, knobs: &Knobs) {
        let target = target.min(FULL);
        while self
            .turns
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= FLAP_SPAN)
        {
            self.turns.pop_front();
        }
        if target < self.weight {
            (self.weight, self.moved, self.fell) = (target, now, true);
            return;
        }
        if target == self.weight || now.saturating_sub(self.moved) < knobs.rise_every() {
            return;
        }
        if self.fell {
            // Up again after a fall: a flap, and only so many of them in a minute.
            if self.turns.len() >= knobs.flaps_per_minute as usize {
                return;
            }
            self.turns.push_back(now);
            self.fell = false;
        }
        // From nothing, the floor is the first step.
        let next = self.weight.saturating_add(knobs.rise_step).max(knobs.floor);
        (self.weight, self.moved) = (next.min(target), now);
    }
}
