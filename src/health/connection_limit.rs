//! Who may hold a connection to the health fronts: a limiter must cost neither the request path a descriptor nor a
//! balancer its check.

use crate::interface::Micros;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How long a connection must be idle before another one may replace it, microseconds.
const MIN_IDLE_TIME: Micros = 250_000;

/// What to do with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Serve it under this number.
    Admit(u64),
    /// Close the other, which has been idle for longest, and serve this one under the first number.
    Replace(u64, u64),
    /// Close it.
    Reject,
}

#[derive(Clone, Copy)]
struct Connection {
    address: IpAddr,
    last_active: Micros,
}

/// The connections of all health fronts.
pub struct ConnectionLimiter {
    allow: Vec<IpNet>,
    most: usize,
    connections: BTreeMap<u64, Connection>,
    next: u64,
}

impl ConnectionLimiter {
    /// At most `most` connections, from these networks only; none named allows all.
    pub fn new(allow: Vec<IpNet>, most: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            allow,
            most,
            connections: BTreeMap::new(),
            next: 0,
        }
    }

    /// Other networks from now on; who is there stays until its check is done.
    pub fn allow(&mut self, allow: Vec<IpNet>) {
        self.allow = allow;
    }

    /// Decides on a connection from an address.
    pub fn admit(&mut self, now: Micros, address: IpAddr) -> Admission {
        let address = address.to_canonical();
        if !self.allow.is_empty() && !self.allow.iter().any(|net| net.contains(&address)) {
            return Admission::Reject;
        }
        if self.connections.len() < self.most {
            return Admission::Admit(self.insert(now, address));
        }
        // The address that holds most gives up its oldest, so that one that floods displaces itself; where all hold
        // alike, whoever has rested longest does, and one that has only just come keeps its place.
        let mut held: BTreeMap<IpAddr, (usize, Micros, u64)> = BTreeMap::new();
        for (id, connection) in &self.connections {
            let entry = held
                .entry(connection.address)
                .or_insert((0, connection.last_active, *id));
            entry.0 += 1;
            if connection.last_active < entry.1 {
                (entry.1, entry.2) = (connection.last_active, *id);
            }
        }
        let mine = held.get(&address).map_or(0, |entry| entry.0);
        let Some((_, &(most, last_active, oldest))) = held
            .iter()
            .max_by_key(|(_, (count, last_active, _))| (*count, std::cmp::Reverse(*last_active)))
        else {
            return Admission::Reject;
        };
        if most <= mine + 1 && now.saturating_sub(last_active) < MIN_IDLE_TIME {
            return Admission::Reject;
        }
        self.connections.remove(&oldest);
        Admission::Replace(self.insert(now, address), oldest)
    }

    /// Adds a connection and returns its number.
    fn insert(&mut self, now: Micros, address: IpAddr) -> u64 {
        let number = self.next;
        self.next += 1;
        let connection = Connection {
            address,
            last_active: now,
        };
        self.connections.insert(number, connection);
        number
    }

    /// A connection has sent a request: it counts as active.
    pub fn touch(&mut self, now: Micros, number: u64) {
        self.connections
            .entry(number)
            .and_modify(|connection| connection.last_active = now);
    }

    /// A connection has ended.
    pub fn release(&mut self, number: u64) {
        self.connections.remove(&number);
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests;
