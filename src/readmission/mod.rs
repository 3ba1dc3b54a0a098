//! Admission pacing: how many clients may reconnect to a gateway now, and when the others should retry.
//!
//! When a gateway crashes or restarts, its clients reconnect to it or to other gateways together, and each of them costs a
//! handshake and connections to the databases that all gateways share. The fleet has a budget of new sessions a second, which
//! is divided by the number of gateways that are registered in the fleet's log or, if that is unknown, by the size of the
//! fleet. Within the gateway's share a client is admitted at once. Beyond it, the client gets a retry-after time of its own:
//! the next free slot of a queue that is as dense as the budget allows, so that retries are spread over time.
//!
//! Invariants: admissions never exceed the budget and one burst; every client is answered at once; the share of a gateway is
//! never zero. A slot belongs to the client's address: a client that retries early keeps the slots of its address, and a slot
//! that is not used lapses. The caller passes in the time; nothing here opens sockets.

use crate::interface::Micros;
use asterreel_control::settings::SettingError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// The most slots of one address; further clients of the address get a retry-after time without a slot.
const MAX_SLOTS_PER_ADDRESS: usize = 1_024;
/// The most slots of all addresses. At 16 bytes for each slot and about 100 for each address they take half a mebibyte.
const MAX_SLOTS: usize = 16_384;
const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MS: Micros = 1_000;

/// The options of admission pacing in the operator's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// `expecting` keeps the type name in serde's error messages, which stays when this type is renamed.
#[serde(deny_unknown_fields, expecting = "struct Knobs")]
pub struct Options {
    /// New sessions a second that the whole fleet may admit; 1 to 100000.
    pub sessions_per_s: f64,
    /// Sessions that each gateway may admit at once after a time without new ones; 1 to 10000, default 32.
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// The longest retry-after time, milliseconds; 100 to 60000, default 10000.
    #[serde(default = "default_longest_ms")]
    pub longest_ms: u64,
}

fn default_burst() -> f64 {
    32.0
}

fn default_longest_ms() -> u64 {
    10_000
}

impl Options {
    /// Checks the range of each value.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check(&self) -> Result<(), SettingError> {
        within("sessions_per_s", self.sessions_per_s, 1.0, 100_000.0)?;
        within("burst", self.burst, 1.0, 10_000.0)?;
        within("longest_ms", self.longest_ms as f64, 100.0, 60_000.0)
    }
}

fn within(key: &str, value: f64, min: f64, max: f64) -> Result<(), SettingError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let fault = format!("{value} is not within {min} to {max}");
    Err(SettingError::new(key, fault))
}

/// Whether a client that connects is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The client is admitted now.
    Admit,
    /// The client should retry after this time, microseconds.
    RetryAfter(Micros),
}

/// The admission pacing of one gateway.
pub struct Readmission {
    options: Options,
    rng: fastrand::Rng,
    /// The number of gateways that share the budget, at least 1.
    gateways: u32,
    /// When the budget has covered all admissions so far. The next admission is due then, or earlier by a burst at most.
    budget_spent_until: Micros,
    /// The time of the last slot in the queue.
    queue_end: Micros,
    /// The times of the slots of each address, in ascending order.
    slots: BTreeMap<IpAddr, VecDeque<Micros>>,
    /// The number of slots of all addresses.
    slot_count: usize,
}

impl Readmission {
    /// Creates the pacing of one of `gateways` gateways that share the fleet's budget.
    pub fn new(options: Options, gateways: u32, seed: u64) -> Readmission {
        Readmission {
            options,
            rng: fastrand::Rng::with_seed(seed),
            gateways: gateways.max(1),
            budget_spent_until: 0,
            queue_end: 0,
            slots: BTreeMap::new(),
            slot_count: 0,
        }
    }

    /// Sets the number of gateways that share the budget. Existing slots stay, as their clients know their times.
    pub fn set_gateway_count(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Decides on a client that connects from an address.
    pub fn arrive(&mut self, now: Micros, from: IpAddr) -> Answer {
        self.drop_lapsed_slots(now, from);
        let own_slot = self.first_slot(from);
        let has_turn = own_slot.is_some_and(|slot| slot <= now);
        let due_at = self.admission_due_at();
        let is_queue_empty = now >= self.queue_end;
        if (has_turn || is_queue_empty) && now >= due_at {
            if has_turn {
                self.remove_first_slot(from);
            }
            self.budget_spent_until = self.budget_spent_until.max(now) + self.interval_us();
            return Answer::Admit;
        }
        if has_turn {
            // Several clients retried late at the same time: this one keeps its slot and retries when the budget allows.
            return self.retry_after(due_at - now);
        }
        self.enqueue(now, from, own_slot)
    }

    /// The time between two admissions within this gateway's share, microseconds.
    fn interval(&self) -> f64 {
        MICROS_PER_SECOND * f64::from(self.gateways) / self.options.sessions_per_s
    }

    fn interval_us(&self) -> Micros {
        self.interval() as Micros
    }

    fn longest_wait_us(&self) -> Micros {
        self.options.longest_ms * MICROS_PER_MS
    }

    /// The earliest time at which the budget and its burst allow the next admission.
    fn admission_due_at(&self) -> Micros {
        let burst_us = (self.interval() * (self.options.burst - 1.0)) as Micros;
        self.budget_spent_until.saturating_sub(burst_us)
    }

    /// A retry-after time with a jitter of up to one interval: clients that were given exact times would bunch, because of
    /// differences between clocks and links.
    fn retry_after(&mut self, wait: Micros) -> Answer {
        let jitter = self.rng.u64(0..=self.interval_us());
        Answer::RetryAfter(wait.max(1) + jitter)
    }

    /// Gives a client the next slot in the queue, or none if that is beyond the longest wait or too many are in use.
    fn enqueue(&mut self, now: Micros, from: IpAddr, own_slot: Option<Micros>) -> Answer {
        let slot = self.queue_end.max(self.budget_spent_until).max(now) + self.interval_us();
        let own_slots = self.slots.get(&from).map_or(0, VecDeque::len);
        let is_full = own_slots >= MAX_SLOTS_PER_ADDRESS || self.slot_count >= MAX_SLOTS;
        if is_full || slot - now > self.longest_wait_us() {
            return self.retry_without_slot(now, own_slot);
        }
        self.queue_end = slot;
        self.slots.entry(from).or_default().push_back(slot);
        self.slot_count += 1;
        self.retry_after(slot - now)
    }

    /// A retry-after time at the address's own slot, or else one in the later half of the longest wait.
    fn retry_without_slot(&mut self, now: Micros, own_slot: Option<Micros>) -> Answer {
        let longest = self.longest_wait_us();
        let wait = own_slot.map_or(longest / 2, |slot| slot - now);
        let jitter = self.rng.u64(0..=longest / 2);
        Answer::RetryAfter((wait + jitter).min(longest))
    }

    fn first_slot(&self, from: IpAddr) -> Option<Micros> {
        self.slots.get(&from)?.front().copied()
    }

    fn remove_first_slot(&mut self, from: IpAddr) {
        if let Some(slots) = self.slots.get_mut(&from) {
            self.slot_count -= usize::from(slots.pop_front().is_some());
            if slots.is_empty() {
                self.slots.remove(&from);
            }
        }
    }

    /// Removes slots that were not used within the longest wait: those of this address, and those of all addresses if there
    /// are too many or the whole queue has passed.
    fn drop_lapsed_slots(&mut self, now: Micros, from: IpAddr) {
        let oldest = now.saturating_sub(self.longest_wait_us());
        while self.first_slot(from).is_some_and(|slot| slot < oldest) {
            self.remove_first_slot(from);
        }
        if self.slot_count >= MAX_SLOTS || self.queue_end < oldest {
            self.slots
                .values_mut()
                .for_each(|slots| slots.retain(|slot| *slot >= oldest));
            self.slots.retain(|_, slots| !slots.is_empty());
            self.slot_count = self.slots.values().map(VecDeque::len).sum();
        }
    }
}

#[cfg(test)]
mod tests;
