//! What is asked before bytes of a message are written to a server, each time again.
//!
//! A write may be held up by a server that does not read, and whatever allowed it may have ended by the time when the
//! socket takes more bytes.

use crate::request::cancellation::CancellationToken;
use asterreel::cells;
use asterreel::interface::{Micros, SendRefusal};
use asterreel_control::clock::Clock;
use thiserror::Error;

/// Why bytes of a message must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum WriteRefusal {
    /// The wait was cancelled, or its deadline has passed.
    #[error("cancelled, or the deadline has passed")]
    Stopped,
    /// The server took too long to take the message, and the time that it tells the server is outdated.
    #[error("the server did not take the message in time")]
    Stalled,
    /// The client has closed its connection.
    #[error("the client has disconnected")]
    ClientGone,
    /// The tenant's cell does not allow the send.
    #[error("{}", .0.reason.message().0)]
    Cell(cells::SendRefusal),
    /// A rule of the router forbids the send.
    #[error(transparent)]
    Rule(#[from] SendRefusal),
}

/// Judges whether bytes of a message may be written now.
pub(crate) trait WriteGate {
    /// Whether bytes of a message that was composed at `composed_at` may be written now. Asked before each write to the
    /// socket.
    ///
    /// # Errors
    ///
    /// Why not; none of the bytes that are left is written then.
    fn check(&self, composed_at: Micros) -> Result<(), WriteRefusal>;

    /// When the last byte of a message that was composed at `composed_at` must have been written.
    fn write_by(&self, composed_at: Micros) -> Micros;
}

/// The gate for messages that run nothing, such as a startup message: only their deadline and a cancellation count.
pub(crate) struct UntilStopped<'a> {
    /// Stops the writes.
    pub token: &'a CancellationToken,
    /// The clock of the token's deadline.
    pub clock: Clock,
}

impl WriteGate for UntilStopped<'_> {
    fn check(&self, _composed_at: Micros) -> Result<(), WriteRefusal> {
        if self.token.is_active(self.clock) {
            Ok(())
        } else {
            Err(WriteRefusal::Stopped)
        }
    }

    fn write_by(&self, _composed_at: Micros) -> Micros {
        self.token.deadline
    }
}
