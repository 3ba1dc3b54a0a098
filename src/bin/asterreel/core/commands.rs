//! Commands of the router for open requests, and the mailboxes they go to.

use asterreel::interface::{AttemptNo, MemberId, Micros};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// An attempt that the router wants made.
#[derive(Debug)]
pub(crate) struct Dispatch {
    /// The member it goes to.
    pub member: MemberId,
    /// Where that member listens.
    pub address: SocketAddr,
    /// Until when its answer is waited for.
    pub deadline: Micros,
}

/// What the router wants done for one request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Cancel an attempt.
    CancelAttempt(AttemptNo),
    /// Final answer: rejected; a retry makes sense after the delay at best.
    Reject { retry_after: Option<Micros> },
    /// Final answer: failed.
    Fail,
}

/// Where the router's commands for a request go.
pub(crate) trait CommandMailbox: Send + Sync {
    /// Takes a command; called under the router's lock, so it must not wait.
    fn send(&self, command: Command);
}

/// How many commands were sent to mailboxes, and how many sessions have received or will never receive. Read without a
/// lock, by the liveness check.
#[derive(Default)]
pub(crate) struct CommandCounters {
    /// Commands that mailboxes were sent.
    pub sent: AtomicU64,
    /// Commands that left their mailbox.
    pub received: AtomicU64,
}

impl CommandCounters {
    /// How many were sent and received; never fewer sent.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let received = self.received.load(Ordering::Acquire);
        (self.sent.load(Ordering::Acquire), received)
    }
}
