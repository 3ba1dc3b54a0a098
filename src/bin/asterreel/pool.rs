//! Connections to databases: opened, kept while idle, and never more than the descriptors allow.

use crate::attempt::{exchange, Stop};
use crate::clock::Clock;
use crate::net::Stream;
use crate::pg::{self, Answer, Verdict};
use crate::timer::Timer;
use asterreel::interface::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub struct Pool {
    pub clock: Clock,
    pub timer: Arc<Timer>,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    open: Arc<AtomicUsize>,
    most: usize,
    idle_for: Micros,
    pub connect_timeout: Micros,
}

/// A connection to a database that is ready for a query.
pub struct Connection {
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
pub enum NoConnection {
    /// All descriptors set aside for databases are in use.
    NoRoom,
    /// The database holds too many.
    TurnedAway,
    /// Refused, not up in time, or broken.
    Failed,
}

impl Pool {
    pub fn new(clock: Clock, timer: Arc<Timer>, most: usize, closes: Micros, connect: Micros) -> Pool {
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
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.retire();
        loop {
            let idle = self.idle(|idle| idle.get_mut(&address).and_then(Vec::pop))?;
            let mut connection = idle.connection;
            // An end, an error or bytes nobody asked for: a write into it would be a reset that may have run.
            if matches!(connection.stream.read_now(), Ok(None)) && connection.stream.buffer.data().is_empty()
            {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next query.
    pub fn keep(&self, address: SocketAddr, connection: Connection) {
        let since = self.clock.now();
        self.idle(|idle| idle.entry(address).or_default().push(Idle { connection, since }));
        self.retire();
    }

    /// Closes what has been idle for too long.
    pub fn retire(&self) {
        let now = self.clock.now();
        let old = |idle: &mut Idle| now.saturating_sub(idle.since) >= self.idle_for;
        self.idle(|idle| {
            idle.values_mut().for_each(|kept| kept.retain_mut(|one| !old(one)));
            idle.retain(|_, kept| !kept.is_empty());
        });
    }

    fn place(&self) -> Option<Place> {
        if self.open.load(Ordering::Acquire) >= self.most {
            // Room for a connection that is wanted now is made by one that nobody uses.
            self.idle(|idle| {
                let longest = idle.values_mut().filter(|kept| !kept.is_empty());
                longest.min_by_key(|kept| kept[0].since).map(|kept| kept.remove(0))
            });
        }
        let taken = self.open.fetch_add(1, Ordering::AcqRel);
        let place = Place(self.open.clone());
        (taken < self.most).then_some(place)
    }

    /// Opens a connection; it must be ready by the connect timeout, and by `until`.
    pub fn open(&self, address: SocketAddr, until: Micros) -> Result<Connection, NoConnection> {
        let place = self.place().ok_or(NoConnection::NoRoom)?;
        let now = self.clock.now();
        let until = until.min(now + self.connect_timeout);
        let within = until.saturating_sub(now);
        let stream = Stream::connect(address, within, &self.timer).map_err(|error| blame(&error))?;
        let mut connection = Connection { stream, _place: place };
        let mut answer = Answer::default();
        let stop = Stop::at(until);
        let end = exchange(&mut connection.stream, &pg::startup(), &mut answer, &stop, self.clock);
        match (end, answer.verdict) {
            (Ok(()), None) => Ok(connection),
            (_, Some(Verdict::Error(code))) if &code == b"53300" => Err(NoConnection::TurnedAway),
            _ => Err(NoConnection::Failed),
        }
    }
}

/// Errors of this process, which has run out of something, are not the database's.
fn blame(error: &std::io::Error) -> NoConnection {
    match error.raw_os_error() {
        Some(EMFILE | ENFILE | EADDRNOTAVAIL) => NoConnection::NoRoom,
        _ => NoConnection::Failed,
    }
}

/// Linux's codes for too many open files, here or on the machine, and for no free port.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// Runs as a coroutine and hands back what came of it.
    fn in_coroutine<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
        may::config().set_workers(1).set_worker_pin(false);
        may::go!(work).join().expect("no panic")
    }

    /// A pool of so many places, and a database that accepts one connection and closes it when told.
    fn pool(most: usize) -> (Arc<Pool>, SocketAddr, std::sync::mpsc::Sender<()>) {
        let clock = Clock::start();
        let timer = Timer::new(clock);
        let pool = Arc::new(Pool::new(clock, timer, most, 15_000_000, 20_000_000));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (close, told) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            use std::io::{Read, Write};
            let (mut client, _) = listener.accept().expect("a client");
            let mut startup = vec![0; pg::startup().len()];
            client.read_exact(&mut startup).expect("a startup message");
            client.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").expect("ready");
            let _ = told.recv();
        });
        (pool, address, close)
    }

    #[test]
    fn a_connection_that_the_database_has_closed_is_never_used_again() {
        let (pool, address, close) = pool(4);
        let again = in_coroutine(move || {
            let until = pool.clock.now() + 20_000_000;
            let connection = pool.open(address, until).expect("opened");
            pool.keep(address, connection);
            let mut kept = pool.take(address).expect("still good");
            drop(close);
            // The end has arrived once it can be read; only then is the connection given back.
            while matches!(kept.stream.read_now(), Ok(None)) {
                kept.stream.wait();
            }
            pool.keep(address, kept);
            pool.take(address).is_none()
        });
        assert!(again);
    }

    #[test]
    fn descriptors_in_use_are_counted_and_an_idle_connection_makes_room() {
        let (pool, address, _close) = pool(1);
        let (elsewhere, other, _close_other) = super::tests::pool(1);
        drop(elsewhere);
        let outcomes = in_coroutine(move || {
            let until = pool.clock.now() + 20_000_000;
            let held = pool.open(address, until).expect("opened");
            let full = pool.open(other, until).err();
            pool.keep(address, held);
            (full, pool.open(other, until).is_ok(), pool.take(address).is_none())
        });
        assert_eq!(outcomes, (Some(NoConnection::NoRoom), true, true));
    }

    #[test]
    fn running_out_of_descriptors_is_not_blamed_on_the_database() {
        let error = std::io::Error::from_raw_os_error;
        assert_eq!(blame(&error(EMFILE)), NoConnection::NoRoom);
        assert_eq!(blame(&error(111)), NoConnection::Failed);
    }
}
