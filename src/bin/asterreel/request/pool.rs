//! Connections to databases: opened, kept while idle, and never more than the descriptors allow.

use crate::postgres::{self as pg, sqlstate, Answer, QueryResult};
use crate::request::attempt::{exchange, Stop};
use crate::runtime::net::Stream;
use crate::runtime::timer::Timer;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use nix::errno::Errno;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub(crate) struct Pool {
    pub clock: Clock,
    pub timer: Arc<Timer>,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    open: Arc<AtomicUsize>,
    most: usize,
    idle_for: Micros,
    pub connect_timeout: Micros,
}

/// A connection to a database that is ready for a query.
pub(crate) struct Connection {
    pub stream: Stream,
    _place: Place,
}

/// One of the descriptors set aside for databases.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

struct Idle {
    connection: Connection,
    since: Micros,
}

/// Why there is no connection. In every case nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// All descriptors set aside for databases are in use, or this machine is out of something that connections need.
    NoRoom,
    /// The database holds too many.
    TurnedAway,
    /// Refused, not up in time, or broken.
    Failed,
}

impl Pool {
    pub(crate) fn new(
        clock: Clock,
        timer: Arc<Timer>,
        most: usize,
        closes: Micros,
        connect: Micros,
    ) -> Pool {
        Pool {
            clock,
            timer,
            idle: Mutex::default(),
            open: Arc::default(),
            most,
            // The database closes an idle connection at the latest after `closes`, and what is written to a
            // dying one may have run: retire it well before.
            idle_for: closes * 2 / 3,
            connect_timeout: connect,
        }
    }

    fn idle<T>(&self, work: impl FnOnce(&mut HashMap<SocketAddr, Vec<Idle>>) -> T) -> T {
        work(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// An idle connection that has not been closed from the other side.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.retire();
        loop {
            let idle = self.idle(|idle| idle.get_mut(&address).and_then(Vec::pop))?;
            let mut connection = idle.connection;
            // An end, an error or bytes nobody asked for: a write into it would be a reset that may have run.
            if matches!(connection.stream.read_now(), Ok(None))
                && connection.stream.buffer.data().is_empty()
            {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next query.
    pub(crate) fn keep(&self, address: SocketAddr, connection: Connection) {
        let since = self.clock.now();
        self.idle(|idle| {
            idle.entry(address)
                .or_default()
                .push(Idle { connection, since })
        });
        self.retire();
    }

    /// Closes what has been idle for too long.
    pub(crate) fn retire(&self) {
        let now = self.clock.now();
        let old = |idle: &mut Idle| now.saturating_sub(idle.since) >= self.idle_for;
        self.idle(|idle| {
            idle.values_mut()
                .for_each(|kept| kept.retain_mut(|one| !old(one)));
            idle.retain(|_, kept| !kept.is_empty());
        });
    }

    fn place(&self) -> Option<Place> {
        if self.open.load(Ordering::Acquire) >= self.most {
            // Room for a connection that is wanted now is made by one that nobody uses.
            self.idle(|idle| {
                let longest = idle.values_mut().filter(|kept| !kept.is_empty());
                longest
                    .min_by_key(|kept| kept[0].since)
                    .map(|kept| kept.remove(0))
            });
        }
        let taken = self.open.fetch_add(1, Ordering::AcqRel);
        let place = Place(self.open.clone());
        (taken < self.most).then_some(place)
    }

    /// Opens a connection; it must be ready by the connect timeout, and by `until`.
    pub(crate) fn open(
        &self,
        address: SocketAddr,
        until: Micros,
    ) -> Result<Connection, NoConnection> {
        let place = self.place().ok_or(NoConnection::NoRoom)?;
        let now = self.clock.now();
        let until = until.min(now + self.connect_timeout);
        let within = until.saturating_sub(now);
        let stream =
            Stream::connect(address, within, &self.timer).map_err(|error| blame(&error))?;
        let mut connection = Connection {
            stream,
            _place: place,
        };
        let mut answer = Answer::default();
        let stop = Stop::at(until);
        let end = exchange(
            &mut connection.stream,
            &pg::startup(),
            &mut answer,
            &stop,
            self.clock,
        );
        match (end, answer.result) {
            (Ok(()), None) => Ok(connection),
            (_, Some(QueryResult::Error(code))) if code == sqlstate::TOO_MANY_CONNECTIONS => {
                Err(NoConnection::TurnedAway)
            }
            _ => Err(NoConnection::Failed),
        }
    }
}

/// What `socket` and `connect` fail with where this machine has run out of something, or has no route for a moment.
const OWN_ERRORS: [Errno; 8] = [
    Errno::EMFILE,
    Errno::ENFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EADDRNOTAVAIL,
    Errno::EAGAIN,
    Errno::ENETDOWN,
    Errno::ENETUNREACH,
];

/// Errors of this machine are not the database's.
fn blame(error: &std::io::Error) -> NoConnection {
    let code = error.raw_os_error().map(Errno::from_raw);
    match code {
        Some(code) if OWN_ERRORS.contains(&code) => NoConnection::NoRoom,
        _ => NoConnection::Failed,
    }
}

#[cfg(test)]
mod tests;
