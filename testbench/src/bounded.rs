//! Waits that end: for something to come true, for a connection, for the end of a process.
//!
//! A blocking `accept` or `wait` has no time limit of its own, so what never comes would hold a test or an experiment up
//! for good.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, ExitStatus};
use std::thread;
use std::time::{Duration, Instant};

/// Wait between two looks.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// Looks until something is found, for at most so long, and once at least.
pub fn until<T>(within: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + within;
    loop {
        if let Some(found) = look() {
            return Some(found);
        }
        if Instant::now() >= end {
            return None;
        }
        thread::sleep(LOOK_AGAIN);
    }
}

/// The next connection that comes to a listener, blocking; the listener is left non-blocking.
///
/// # Errors
///
/// `TimedOut` where none comes in time, and whatever accepting one fails with.
pub fn accept(listener: &TcpListener, within: Duration) -> io::Result<TcpStream> {
    listener.set_nonblocking(true)?;
    let accepted = until(within, || match listener.accept() {
        Ok((stream, _)) => Some(Ok(stream)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        Err(error) => Some(Err(error)),
    });
    let stream = accepted.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    stream.set_nonblocking(false)?;
    Ok(stream)
}

/// How a process ends.
///
/// # Errors
///
/// `TimedOut` where it goes on, and whatever asking for its status fails with.
pub fn exit(child: &mut Child, within: Duration) -> io::Result<ExitStatus> {
    let ended = until(within, || child.try_wait().transpose());
    ended.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
