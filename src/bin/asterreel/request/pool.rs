//! The pool of connections to servers. Connections are opened on demand and kept while idle, within a limit.
//!
//! The caller that acquires a connection owns it. Only a connection whose last answer is complete may be released to
//! the pool; any other is dropped, which closes it and frees its permit. No lock is held across a wait.

use crate::postgres::{self as pg, sqlstate, Answer, QueryResult};
use crate::request::cancellation::CancellationToken;
use crate::request::round_trip::{round_trip, ConnectionError};
use crate::request::write_gate::UntilStopped;
use crate::runtime::net::Stream;
use crate::runtime::sync::lock;
use crate::runtime::timer::Timer;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use nix::errno::Errno;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// Connections to all servers.
pub(crate) struct Pool {
    /// The clock for deadlines and idle times.
    pub clock: Clock,
    /// Wakes coroutines at the deadlines of their waits for servers.
    pub timer: Arc<Timer>,
    /// How long it may take until a new connection is ready for a query.
    pub connect_timeout: Micros,
    idle: Mutex<IdleConnections>,
    open_connections: Arc<AtomicUsize>,
    max_connections: usize,
    max_idle_time: Micros,
}

/// Idle connections by server, the one that has been idle for longest first.
type IdleConnections = HashMap<SocketAddr, Vec<IdleConnection>>;

struct IdleConnection {
    connection: Connection,
    since: Micros,
}

/// A connection to a server that is ready for a query.
pub(crate) struct Connection {
    /// The connection's socket and read buffer.
    pub stream: Stream,
    _permit: ConnectionPermit,
}

/// The right to one of at most `max_connections` connections, returned on drop.
struct ConnectionPermit(Arc<AtomicUsize>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Why no connection could be acquired. Nothing of the statement was sent in any of these cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum AcquireError {
    /// All connections that the limit allows are in use, or the machine lacks descriptors, ports,
    /// memory or a route.
    #[error("no capacity for another connection")]
    NoCapacity,
    /// The server rejected the connection because it has too many.
    #[error("the server has too many connections")]
    Rejected,
    /// The server refused the connection, did not get it ready in time, or broke it.
    #[error("connecting failed")]
    ConnectFailed,
}

impl Pool {
    /// An empty pool of at most `max_connections` connections, idle ones included. `server_idle_timeout` is how long a
    /// server keeps an idle connection open, `connect_timeout` how long opening one may take.
    pub(crate) fn new(
        clock: Clock,
        timer: Arc<Timer>,
        max_connections: usize,
        server_idle_timeout: Micros,
        connect_timeout: Micros,
    ) -> Pool {
        Pool {
            clock,
            timer,
            connect_timeout,
            idle: Mutex::default(),
            open_connections: Arc::default(),
            max_connections,
            // A query written to a connection that the server is closing may have run, so an idle connection is closed
            // here well before the server closes it.
            max_idle_time: server_idle_timeout * 2 / 3,
        }
    }

    fn with_idle<T>(&self, work: impl FnOnce(&mut IdleConnections) -> T) -> T {
        work(&mut lock(&self.idle))
    }

    /// An idle connection to a server, or a new one, which must be ready within the connect timeout and by `deadline`.
    ///
    /// # Errors
    ///
    /// Without a permit, and where the server rejects the connection or does not get it ready in time.
    pub(crate) fn acquire(
        &self,
        address: SocketAddr,
        deadline: Micros,
    ) -> Result<Connection, AcquireError> {
        self.take_idle(address)
            .map_or_else(|| self.open(address, deadline), Ok)
    }

    /// The idle connection to a server that was used last and that the server has not closed.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.close_idle();
        loop {
            let idle = self.with_idle(|idle| idle.get_mut(&address).and_then(Vec::pop))?;
            let mut connection = idle.connection;
            // A query on a connection that has ended, failed or received unsolicited bytes could run and its answer be
            // lost.
            if matches!(connection.stream.read_now(), Ok(None))
                && connection.stream.buffer.data().is_empty()
            {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool as idle.
    pub(crate) fn release(&self, address: SocketAddr, connection: Connection) {
        let since = self.clock.now();
        self.with_idle(|idle| {
            idle.entry(address)
                .or_default()
                .push(IdleConnection { connection, since })
        });
        self.close_idle();
    }

    /// Returns a connection to the pool if its answer is complete or nothing was written to it, and closes it otherwise.
    pub(crate) fn release_if_complete(
        &self,
        address: SocketAddr,
        connection: Connection,
        ended: Result<(), ConnectionError>,
        answer: &Answer,
    ) {
        let is_reusable = match ended {
            Ok(()) => answer.result.is_some(),
            Err(ConnectionError::Refused { begun, .. }) => !begun,
            Err(_) => false,
        };
        if is_reusable && connection.stream.buffer.data().is_empty() {
            self.release(address, connection);
        }
    }

    /// Closes connections that have been idle for [`Pool::max_idle_time`] or longer.
    fn close_idle(&self) {
        let now = self.clock.now();
        let is_expired =
            |idle: &mut IdleConnection| now.saturating_sub(idle.since) >= self.max_idle_time;
        self.with_idle(|idle| {
            idle.values_mut()
                .for_each(|connections| connections.retain_mut(|idle| !is_expired(idle)));
            idle.retain(|_, connections| !connections.is_empty());
        });
    }

    /// A permit for one more connection; `None` at the limit. At the limit, the connection that has been idle for
    /// longest is closed first.
    fn reserve(&self) -> Option<ConnectionPermit> {
        if self.open_connections.load(Ordering::Acquire) >= self.max_connections {
            self.with_idle(|idle| {
                let servers = idle
                    .values_mut()
                    .filter(|connections| !connections.is_empty());
                servers
                    .min_by_key(|connections| connections[0].since)
                    .map(|connections| connections.remove(0))
            });
        }
        let in_use = self.open_connections.fetch_add(1, Ordering::AcqRel);
        let permit = ConnectionPermit(self.open_connections.clone());
        (in_use < self.max_connections).then_some(permit)
    }

    /// Opens a connection, which must be ready within the connect timeout and by `deadline`.
    fn open(&self, address: SocketAddr, deadline: Micros) -> Result<Connection, AcquireError> {
        let permit = self.reserve().ok_or(AcquireError::NoCapacity)?;
        let now = self.clock.now();
        let deadline = deadline.min(now + self.connect_timeout);
        let timeout = deadline.saturating_sub(now);
        let stream = Stream::connect(address, timeout, &self.timer)
            .map_err(|error| classify_error(&error))?;
        let mut connection = Connection {
            stream,
            _permit: permit,
        };
        let mut answer = Answer::default();
        let token = CancellationToken::new(deadline);
        let gate = UntilStopped {
            token: &token,
            clock: self.clock,
        };
        let ended = round_trip(
            &mut connection.stream,
            pg::startup(),
            &gate,
            &mut answer,
            &token,
            self.clock,
        );
        match (ended, answer.result) {
            (Ok(()), None) => Ok(connection),
            (_, Some(QueryResult::Error(sqlstate::TOO_MANY_CONNECTIONS))) => {
                Err(AcquireError::Rejected)
            }
            _ => Err(AcquireError::ConnectFailed),
        }
    }
}

/// Errors of socket(2) and connect(2) that mean that this machine has run out of a resource, or has no route at the
/// moment.
const LOCAL_ERRORS: [Errno; 8] = [
    Errno::EMFILE,
    Errno::ENFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EADDRNOTAVAIL,
    Errno::EAGAIN,
    Errno::ENETDOWN,
    Errno::ENETUNREACH,
];

/// Separates errors of this machine from those of the server.
fn classify_error(error: &std::io::Error) -> AcquireError {
    let code = error.raw_os_error().map(Errno::from_raw);
    match code {
        Some(code) if LOCAL_ERRORS.contains(&code) => AcquireError::NoCapacity,
        _ => AcquireError::ConnectFailed,
    }
}

#[cfg(test)]
mod tests;
