//! How many clients may come back to a gateway now, and when to tell the others to come again.
//!
//! When a gateway dies or restarts, its clients arrive at it or at the others together, and each costs a handshake and
//! connections at databases that all gateways share. A fleet has a budget of new sessions a second; each gateway takes
//! its part, by how many have a seat in the fleet's log just now, or by how many there are at all where it can't tell.
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
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        let within = |key, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
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
        let own = self.places.get(&from).and_then(|places| places.front()).copied();
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
        while self.places.get(&from).and_then(|places| places.front()).is_some_and(|place| *place < old) {
            self.give_up(from);
        }
        if self.taken >= PLACES || self.row_until < old {
            self.places.values_mut().for_each(|places| places.retain(|place| *place >= old));
            self.places.retain(|_, places| !places.is_empty());
            self.taken = self.places.values().map(VecDeque::len).sum();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cmp::Reverse;
    use std::collections::BinaryHeap;
    use std::net::Ipv4Addr;

    const SECOND: Micros = 1_000_000;

    fn address(number: u32) -> IpAddr {
        IpAddr::V4(Ipv4Addr::from(0x0A00_0000 + number))
    }

    fn knobs() -> Knobs {
        Knobs { sessions_per_s: 500.0, burst: 20.0, longest_ms: 20_000 }
    }

    /// Clients of one address each that come within 100 ms, and again when told, or every 50 ms where they don't listen.
    /// When each was admitted.
    fn storm(gateways: usize, clients: u32, deaf: impl Fn(u32) -> bool) -> Vec<(u32, Micros)> {
        let mut rng = fastrand::Rng::with_seed(3);
        let mut all: Vec<Readmission> =
            (0..gateways).map(|n| Readmission::new(knobs(), gateways as u32, n as u64)).collect();
        let mut next = BinaryHeap::new();
        (0..clients).for_each(|client| next.push(Reverse((SECOND + rng.u64(0..SECOND / 10), client))));
        let mut admitted = Vec::new();
        while let Some(Reverse((now, client))) = next.pop() {
            assert!(now < 120 * SECOND, "{} of {clients} admitted", admitted.len());
            // The front layer sends a client back to where it was.
            match all[client as usize % gateways].arrive(now, address(client)) {
                Answer::Admit => admitted.push((client, now)),
                Answer::ComeAgain(wait) => {
                    next.push(Reverse((now + if deaf(client) { SECOND / 20 } else { wait }, client)));
                }
            }
        }
        admitted
    }

    #[test]
    fn a_storm_is_spread_within_the_budget_and_everybody_comes_in() {
        for gateways in [1, 2, 5, 9] {
            for share in [0, 5] {
                let admitted = storm(gateways, 2_000, |client| client % 10 < share);
                let times: Vec<Micros> = admitted.iter().map(|(_, at)| *at).collect();
                // In any second: the budget, and a burst of each gateway once.
                for (n, at) in times.iter().enumerate() {
                    let within = times[n..].iter().take_while(|other| **other < at + SECOND).count();
                    let most = 500.0 + 20.0 * gateways as f64 + 1.0;
                    assert!(within as f64 <= most, "{gateways} gateways, {share} deaf: {within} in a second");
                }
                // 2000 clients at 500 a second, and the jitter of a place.
                let last = times.last().copied().unwrap_or(0) - SECOND;
                assert!(last < 6 * SECOND, "{gateways} gateways, {share} deaf: the last after {last} us");
            }
        }
    }

    #[test]
    fn whoever_asks_early_keeps_its_place_and_one_not_taken_up_lapses() {
        let mut door = Readmission::new(knobs(), 1, 1);
        let mut crowd = 0;
        while door.arrive(SECOND, address(1_000 + crowd)) == Answer::Admit {
            crowd += 1;
        }
        assert_eq!(crowd, 20, "a burst");
        let Answer::ComeAgain(wait) = door.arrive(SECOND, address(1)) else {
            panic!("admitted beyond the burst")
        };
        // Others queue behind it; it asks early, again and again.
        for n in 0..100 {
            door.arrive(SECOND, address(5_000 + n));
        }
        for n in 1..9 {
            door.arrive(SECOND + n, address(1));
        }
        assert_eq!(door.arrive(SECOND + wait, address(1)), Answer::Admit, "at its time");
        // Long after, with nobody there, all is as at the start.
        assert_eq!(door.arrive(100 * SECOND, address(2)), Answer::Admit);
        assert_eq!((door.taken, door.places.len()), (0, 0), "what was not taken up has lapsed");
    }

    #[test]
    fn the_row_is_bounded_and_no_wait_is_longer_than_told() {
        let mut door = Readmission::new(Knobs { sessions_per_s: 10.0, ..knobs() }, 1, 1);
        for n in 0..50_000 {
            if let Answer::ComeAgain(wait) = door.arrive(SECOND, address(n)) {
                assert!(wait <= 20 * SECOND + 100_000, "{wait}");
            }
        }
        assert!(door.taken <= 200, "{} places within the longest wait", door.taken);
        // An address that asks without end holds so many places at most.
        let mut door = Readmission::new(Knobs { sessions_per_s: 100_000.0, ..knobs() }, 1, 1);
        for _ in 0..10_000 {
            door.arrive(SECOND, address(1));
        }
        assert!(door.taken <= PLACES_EACH);
    }

    #[test]
    fn a_part_follows_how_many_share_and_is_never_none() {
        let rate = |gateways: u32| {
            let mut door = Readmission::new(knobs(), 5, 1);
            door.share(gateways);
            let came = (0..100_000).map(|n| door.arrive(SECOND + n * 100, address(7)));
            came.filter(|answer| *answer == Answer::Admit).count()
        };
        // Ten seconds of one who asks all the time: the part, and a burst.
        let (alone, five) = (rate(1), rate(5));
        assert!((4_000..=5_030).contains(&alone), "{alone}");
        assert!((800..=1_030).contains(&five), "{five}");
    }

    #[test]
    fn bad_knobs_name_their_key() {
        assert_eq!(knobs().check(), Ok(()));
        let key = |knobs: Knobs| knobs.check().map_err(|(key, _)| key);
        assert_eq!(key(Knobs { sessions_per_s: 0.0, ..knobs() }), Err("sessions_per_s"));
        assert_eq!(key(Knobs { sessions_per_s: f64::NAN, ..knobs() }), Err("sessions_per_s"));
        assert_eq!(key(Knobs { burst: 0.5, ..knobs() }), Err("burst"));
        assert_eq!(key(Knobs { longest_ms: 0, ..knobs() }), Err("longest_ms"));
    }
}
