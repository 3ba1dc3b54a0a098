//! How many clients may come back to a gateway now, and when to tell the others to come again.
//!
//! When a gateway dies or restarts, its clients arrive at it or at the others together, and each costs a handshake and
//! connections at databases that all gateways share. A fleet has a budget of new sessions a second; each gateway takes
//! its part, by how many have a registration in the fleet's log just now, or by how many there are at all where it can't tell.
//! Within it a client is admitted at once. Beyond it, it is told at once when to come again, at a time of its own: the
//! next free one of a row that is as dense as the budget allows, so that returns come spread. It never holds a client
//! back silently, never admits none, and never more than the budget and one burst.
//!
//! A place in the row belongs to the client's address: whoever asks early keeps the places that its address has, and one
//! that is not taken up lapses. [`Readmission`] is the one door; time is an argument, and it opens no sockets.

use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// Places that one address may have, and all together: beyond them clients are told a time, and have no place. Ours: at
/// 16 bytes a place and about 100 an address, half a mebibyte at most.
const PLACES_EACH: usize = 1_024;
const PLACES: usize = 16_384;

/// What an operator sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Knobs {
    /// New sessions a second that the whole fleet may take; 1 to 100000.
    pub sessions_per_s: f64,
    /// Sessions that each gateway may take at once after a quiet time; 1 to 10000, default 32.
    #[serde(default = "burst")]
    pub burst: f64,
    /// The longest time that a client is told to stay away, milliseconds; 100 to 60000, default 10000.
    #[serde(default = "longest_ms")]
    pub longest_ms: u64,
}

fn burst() -> f64 {
    32.0
}

fn longest_ms() -> u64 {
    10_000
}

impl Knobs {
    /// Whether they make sense; a fault names the key.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let within = |key, value: f64, least: f64, most: f64| match (least..=most).contains(&value)
        {
            true => Ok(()),
            false => Err((key, format!("{value} is not within {least} to {most}"))),
        };
        within("sessions_per_s", self.sessions_per_s, 1.0, 100_000.0)?;
        within("burst", self.burst, 1.0, 10_000.0)?;
        within("longest_ms", self.longest_ms as f64, 100.0, 60_000.0)
    }
}

/// What a client that comes is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Come in.
    Admit,
    /// Come again after so long, microseconds.
    ComeAgain(Micros),
}

/// The clients that come to one gateway.
pub struct Readmission {
    knobs: Knobs,
    rng: fastrand::Rng,
    /// Gateways that share the budget.
    gateways: u32,
    /// When the bucket is empty of what was admitted: a new admission is due from there, a burst early at most.
    spent_until: Micros,
    /// The last place in the row.
    row_until: Micros,
    places: BTreeMap<IpAddr, VecDeque<Micros>>,
    taken: usize,
}

impl Readmission {
    /// With the budget of a fleet of so many gateways.
    pub fn new(knobs: Knobs, gateways: u32, seed: u64) -> Readmission {
        Readmission {
            knobs,
            rng: fastrand::Rng::with_seed(seed),
            gateways: gateways.max(1),
            spent_until: 0,
            row_until: 0,
            places: BTreeMap::new(),
            taken: 0,
        }
    }

    /// So many gateways share the budget from now on. Places that were given stay: each was told its time.
    pub fn share(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// The time between two admissions of this gateway's part, microseconds.
    fn apart(&self) -> f64 {
        1e6 * f64::from(self.gateways) / self.knobs.sessions_per_s
    }

    fn longest(&self) -> Micros {
        self.knobs.longest_ms * 1_000
    }

    /// A client has come from an address.
    pub fn arrive(&mut self, now: Micros, from: IpAddr) -> Answer {
        self.lapse(now, from);
        let early = (self.apart() * (self.knobs.burst - 1.0)) as Micros;
        let due = self.spent_until.saturating_sub(early);
        let own = self
            .places
            .get(&from)
            .and_then(|places| places.front())
            .copied();
        let in_turn = own.is_some_and(|place| place <= now);
        if (in_turn || now >= self.row_until) && now >= due {
            if in_turn {
                self.give_up(from);
            }
            self.spent_until = self.spent_until.max(now) + self.apart() as Micros;
            return Answer::Admit;
        }
        if in_turn {
            // It is its turn, but many came late together: a moment more, and the place stays.
            return self.again(due - now);
        }
        self.queue(now, from, own)
    }

    /// A time to come again, with jitter of one place: clocks and links would bunch exact ones.
    fn again(&mut self, wait: Micros) -> Answer {
        Answer::ComeAgain(wait.max(1) + self.rng.u64(0..=self.apart() as Micros))
    }

    /// Gives a client the next place in the row, or none where that is too far off.
    fn queue(&mut self, now: Micros, from: IpAddr, own: Option<Micros>) -> Answer {
        let place = self.row_until.max(self.spent_until).max(now) + self.apart() as Micros;
        let held = self.places.get(&from).map_or(0, VecDeque::len);
        if place - now > self.longest() || held >= PLACES_EACH || self.taken >= PLACES {
            let wait = own.map_or(self.longest() / 2, |own| own - now);
            let spread = self.rng.u64(0..=self.longest() / 2);
            return Answer::ComeAgain((wait + spread).min(self.longest()));
        }
        self.row_until = place;
        self.places.entry(from).or_default().push_back(place);
        self.taken += 1;
        self.again(place - now)
    }

    fn give_up(&mut self, from: IpAddr) {
        if let Some(places) = self.places.get_mut(&from) {
            self.taken -= usize::from(places.pop_front().is_some());
            if places.is_empty() {
                self.places.remove(&from);
            }
        }
    }

    /// Places that were not taken up within the longest wait lapse; all of them, now and then, or of this address.
    fn lapse(&mut self, now: Micros, from: IpAddr) {
        let old = now.saturating_sub(self.longest());
        while self
            .places
            .get(&from)
            .and_then(|places| places.front())
            .is_some_and(|place| *place < old)
        {
            self.give_up(from);
        }
        if self.taken >= PLACES || self.row_until < old {
            self.places
                .values_mut()
                .for_each(|places| places.retain(|place| *place >= old));
            self.places.retain(|_, places| !places.is_empty());
            self.taken = self.places.values().map(VecDeque::len).sum();
        }
    }
}

#[cfg(test)]
mod tests;
