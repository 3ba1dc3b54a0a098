//! Waits with a time limit: for a condition, for a connection, for the exit of a process.
//!
//! A blocking `accept` or `wait` has no time limit of its own, so a test or an experiment would hang if the event never
//! occurred.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, ExitStatus};
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Polls until `look` returns a value or the time limit has passed; polls at least once.
pub fn until<T>(within: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + within;
    loop {
        if let Some(found) = look() {
            return Some(found);
        }
        if Instant::now() >= end {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Accepts the next connection of a listener. The stream is blocking; the listener is left non-blocking.
///
/// # Errors
///
/// `TimedOut` if no connection arrives in time, or the error of `accept`.
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

/// Waits for a process to exit and returns its status.
///
/// # Errors
///
/// `TimedOut` if it is still running after the time limit, or the error of `try_wait`.
pub fn exit(child: &mut Child, within: Duration) -> io::Result<ExitStatus> {
    let ended = until(within, || child.try_wait().transpose());
    ended.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
