//! Admission pacing: how many clients may reconnect to a gateway now, and when the others should retry.
//!
//! When a gateway dies or restarts, its clients arrive at it or at the others together, and each costs a handshake and
//! connections at databases that all gateways share. A fleet has a budget of new sessions a second; each gateway takes its
//! share, by how many have a registration in the fleet's log just now, or by how many there are at all where it can't
//! tell. Within its share a client is admitted at once. Beyond it, the client is told at once when to retry, at a time of
//! its own: the next free slot of a queue that is as dense as the budget allows, so that retries come spread.
//!
//! Invariants: admissions never exceed the budget and one burst; every client is answered at once; a gateway
//! never has a share of none. A slot belongs to the client's address: whoever retries early keeps the slots of its address,
//! and a slot that is not used lapses. Time is an argument, and nothing here opens sockets.

use crate::interface::Micros;
use asterreel_control::settings::SettingError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// The most slots of one address; beyond them clients are told a time, and have no slot.
const MAX_SLOTS_PER_ADDRESS: usize = 1_024;
/// The most slots in all: at 16 bytes a slot and about 100 an address, half a mebibyte.
const MAX_SLOTS: usize = 16_384;
const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MS: Micros = 1_000;

/// What an operator sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// The error message of an operator's file names the type that it expected.
#[serde(deny_unknown_fields, expecting = "struct Knobs")]
pub struct Options {
    /// New sessions a second that the whole fleet may take; 1 to 100000.
    pub sessions_per_s: f64,
    /// Sessions that each gateway may take at once after a quiet time; 1 to 10000, default 32.
    #[serde(default = "default_burst")]
    pub burst: f64,
    /// The longest time after which a client is told to retry, milliseconds; 100 to 60000, default 10000.
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
    /// Checks each value.
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

fn within(key: &str, value: f64, least: f64, most: f64) -> Result<(), SettingError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let fault = format!("{value} is not within {least} to {most}");
    Err(SettingError::new(key, fault))
}

/// The answer to a client that connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is admitted.
    Admit,
    /// It should retry after so long, microseconds.
    RetryAfter(Micros),
}

/// The admission pacing of one gateway.
pub struct Readmission {
    options: Options,
    rng: fastrand::Rng,
    /// Gateways that share the budget.
    gateways: u32,
    /// When all that was admitted is paid for by the budget; the next admission is due then, a burst early at most.
    spent_until: Micros,
    /// The last slot in the queue.
    queue_end: Micros,
    /// The slots of each address, in order.
    slots: BTreeMap<IpAddr, VecDeque<Micros>>,
    /// Slots of all addresses.
    slot_count: usize,
}

impl Readmission {
    /// The pacing of one of so many gateways, with the fleet's budget.
    pub fn new(options: Options, gateways: u32, seed: u64) -> Readmission {
        Readmission {
            options,
            rng: fastrand::Rng::with_seed(seed),
            gateways: gateways.max(1),
            spent_until: 0,
            queue_end: 0,
            slots: BTreeMap::new(),
            slot_count: 0,
        }
    }

    /// So many gateways share the budget from now on. Slots that were given stay: each client was told its time.
    pub fn set_gateway_count(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// A client has come from an address.
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
            self.spent_until = self.spent_until.max(now) + self.interval_us();
            return Answer::Admit;
        }
        if has_turn {
            // Many came late together: it keeps its slot, and retries in a moment.
            return self.retry_after(due_at - now);
        }
        self.enqueue(now, from, own_slot)
    }

    /// The time between two admissions of this gateway's share, microseconds.
    fn interval(&self) -> f64 {
        MICROS_PER_SECOND * f64::from(self.gateways) / self.options.sessions_per_s
    }

    fn interval_us(&self) -> Micros {
        self.interval() as Micros
    }

    fn longest_wait_us(&self) -> Micros {
        self.options.longest_ms * MICROS_PER_MS
    }

    /// The earliest time that the budget and its burst allow the next admission.
    fn admission_due_at(&self) -> Micros {
        let burst_us = (self.interval() * (self.options.burst - 1.0)) as Micros;
        self.spent_until.saturating_sub(burst_us)
    }

    /// A retry with a jitter of one interval, as clocks and links would bunch exact times.
    fn retry_after(&mut self, wait: Micros) -> Answer {
        let jitter = self.rng.u64(0..=self.interval_us());
        Answer::RetryAfter(wait.max(1) + jitter)
    }

    /// Gives a client the next slot in the queue, or none where that is too far off.
    fn enqueue(&mut self, now: Micros, from: IpAddr, own_slot: Option<Micros>) -> Answer {
        let slot = self.queue_end.max(self.spent_until).max(now) + self.interval_us();
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

    /// A retry at the address's own slot, or else spread over the later half of the longest wait.
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

    /// Slots that were not used within the longest wait lapse: those of this address, and all of them where there are too
    /// many or the whole queue has passed.
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
