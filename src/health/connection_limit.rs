//! Limits the connections to the health fronts, so that a flood of them neither uses up the file descriptors of the
//! request path nor keeps a balancer's checks from being served.

use crate::interface::Micros;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How long a connection must be idle before another may replace it, microseconds; it does not protect an address that
/// has at least two connections more than that of the new one.
const MIN_IDLE_TIME: Micros = 250_000;

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Serve the connection under this number.
    Admit(u64),
    /// Serve the new connection under the first number and close the idle connection with the second number.
    Replace(u64, u64),
    /// Close the new connection.
    Reject,
}

#[derive(Clone, Copy)]
struct Connection {
    address: IpAddr,
    last_active: Micros,
}

/// Tracks the open connections of all health fronts.
pub struct ConnectionLimiter {
    allow: Vec<IpNet>,
    max_connections: usize,
    connections: BTreeMap<u64, Connection>,
    next_number: u64,
}

impl ConnectionLimiter {
    /// Allows at most `max_connections`, only from the networks in `allow`; an empty list allows all addresses.
    pub fn new(allow: Vec<IpNet>, max_connections: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            allow,
            max_connections,
            connections: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Replaces the allowed networks; connections that are open stay until their check is done.
    pub fn allow(&mut self, allow: Vec<IpNet>) {
        self.allow = allow;
    }

    /// Decides on a connection from an address.
    pub fn admit(&mut self, now: Micros, address: IpAddr) -> Admission {
        let address = address.to_canonical();
        if !self.allow.is_empty() && !self.allow.iter().any(|net| net.contains(&address)) {
            return Admission::Reject;
        }
        if self.connections.len() < self.max_connections {
            return Admission::Admit(self.insert(now, address));
        }
        // The address with the most connections loses its longest idle one, so that an address that floods displaces
        // only its own connections. Among addresses with equally many, the longest idle connection is closed, and one
        // that was active within the minimum idle time is kept.
        let mut by_address: BTreeMap<IpAddr, (usize, Micros, u64)> = BTreeMap::new();
        for (id, connection) in &self.connections {
            let entry =
                by_address
                    .entry(connection.address)
                    .or_insert((0, connection.last_active, *id));
            entry.0 += 1;
            if connection.last_active < entry.1 {
                (entry.1, entry.2) = (connection.last_active, *id);
            }
        }
        let own_count = by_address.get(&address).map_or(0, |entry| entry.0);
        let Some((_, &(largest_count, last_active, oldest))) = by_address
            .iter()
            .max_by_key(|(_, (count, last_active, _))| (*count, std::cmp::Reverse(*last_active)))
        else {
            return Admission::Reject;
        };
        if largest_count <= own_count + 1 && now.saturating_sub(last_active) < MIN_IDLE_TIME {
            return Admission::Reject;
        }
        self.connections.remove(&oldest);
        Admission::Replace(self.insert(now, address), oldest)
    }

    /// Adds a connection and returns its number.
    fn insert(&mut self, now: Micros, address: IpAddr) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let connection = Connection {
            address,
            last_active: now,
        };
        self.connections.insert(number, connection);
        number
    }

    /// Marks a connection as active because it has sent a request.
    pub fn touch(&mut self, now: Micros, number: u64) {
        self.connections
            .entry(number)
            .and_modify(|connection| connection.last_active = now);
    }

    /// Removes a connection that has ended.
    pub fn release(&mut self, number: u64) {
        self.connections.remove(&number);
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests;
