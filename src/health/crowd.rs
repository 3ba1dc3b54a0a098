//! Who may hold a connection to the health fronts: a crowd must cost neither the request path a descriptor nor a
//! balancer its check.

use crate::interface::Micros;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How long a connection may be between two checks before others may have its place. Ours.
const RESTED: Micros = 250_000;

/// What to do with a connection that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Serve it, under this number.
    Take(u64),
    /// Close the other, which has waited for longest, and serve this one under the first number.
    Replace(u64, u64),
    /// Close it.
    TurnAway,
}

#[derive(Clone, Copy)]
struct Guest {
    from: IpAddr,
    since: Micros,
}

/// The connections of all health fronts.
pub struct Crowd {
    allow: Vec<IpNet>,
    most: usize,
    guests: BTreeMap<u64, Guest>,
    next: u64,
}

impl Crowd {
    /// At most `most` connections, from these networks only; none named allows all.
    pub fn new(allow: Vec<IpNet>, most: usize) -> Crowd {
        Crowd {
            allow,
            most,
            guests: BTreeMap::new(),
            next: 0,
        }
    }

    /// Other networks from now on; who is there stays until its check is done.
    pub fn allow(&mut self, allow: Vec<IpNet>) {
        self.allow = allow;
    }

    /// Decides on a connection from an address.
    pub fn comes(&mut self, now: Micros, from: IpAddr) -> Verdict {
        let from = from.to_canonical();
        if !self.allow.is_empty() && !self.allow.iter().any(|net| net.contains(&from)) {
            return Verdict::TurnAway;
        }
        let number = self.next;
        if self.guests.len() < self.most {
            self.next += 1;
            self.guests.insert(number, Guest { from, since: now });
            return Verdict::Take(number);
        }
        // The address that holds most gives up its oldest, so that one that floods displaces itself; where all hold
        // alike, whoever has rested longest does, and one that has only just come keeps its place.
        let mut held: BTreeMap<IpAddr, (usize, Micros, u64)> = BTreeMap::new();
        for (id, guest) in &self.guests {
            let entry = held.entry(guest.from).or_insert((0, guest.since, *id));
            entry.0 += 1;
            if guest.since < entry.1 {
                (entry.1, entry.2) = (guest.since, *id);
            }
        }
        let mine = held.get(&from).map_or(0, |entry| entry.0);
        let Some((_, &(most, since, oldest))) = held
            .iter()
            .max_by_key(|(_, (count, since, _))| (*count, std::cmp::Reverse(*since)))
        else {
            return Verdict::TurnAway;
        };
        if most <= mine + 1 && now.saturating_sub(since) < RESTED {
            return Verdict::TurnAway;
        }
        self.guests.remove(&oldest);
        self.next += 1;
        self.guests.insert(number, Guest { from, since: now });
        Verdict::Replace(number, oldest)
    }

    /// A connection was asked something: it counts as new.
    pub fn asks(&mut self, now: Micros, number: u64) {
        self.guests
            .entry(number)
            .and_modify(|guest| guest.since = now);
    }

    /// A connection has ended.
    pub fn leaves(&mut self, number: u64) {
        self.guests.remove(&number);
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.guests.len()
    }
}

#[cfg(test)]
mod tests;
