//! Commands of the router for open requests, and the mailboxes that receive them.

use asterreel::interface::{AttemptNo, MemberId, Micros};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// An attempt that the router dispatches.
#[derive(Debug)]
pub(crate) struct Dispatch {
    /// The member that it is sent to.
    pub member: MemberId,
    /// The address on which that member listens.
    pub address: SocketAddr,
    /// When the attempt stops waiting for its answer.
    pub deadline: Micros,
    /// When the attempt ends if it has not been sent by then.
    pub send_by: Micros,
}

/// A command of the router for one request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Cancel an attempt.
    CancelAttempt(AttemptNo),
    /// Final answer: rejected. If there is a delay, a retry before it is unlikely to succeed.
    Reject { retry_after: Option<Micros> },
    /// Final answer: failed.
    Fail,
}

/// The receiver of the router's commands for a request.
pub(crate) trait CommandMailbox: Send + Sync {
    /// Queues a command. Called while the router's lock is held, so it must not wait.
    fn send(&self, command: Command);
}

/// Counts the commands sent to mailboxes, and those that have left them, received by their session or discarded. The
/// liveness check reads the counts without a lock.
#[derive(Default)]
pub(crate) struct CommandCounters {
    /// Commands sent to mailboxes.
    pub sent: AtomicU64,
    /// Commands that have left their mailbox.
    pub received: AtomicU64,
}

impl CommandCounters {
    /// The numbers sent and received. The number sent is never the smaller one.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let received = self.received.load(Ordering::Acquire);
        (self.sent.load(Ordering::Acquire), received)
    }
}
