//! Selects sessions to close when the limits on clients are near.
//!
//! Sessions are only asked to close here. Each closes between requests, after it has checked once more that no request
//! has arrived.

use super::gateway::Gateway;
use super::mailbox::{ClientWait, Mailbox, ReadState};
use super::sessions::SessionMap;
use asterreel::interface::Micros;

/// How long a connection may be silent in its opening before it is among the first to be closed.
const OPENING_IDLE_LIMIT_US: Micros = 50_000;
/// How long a connection may be idle between requests, or take over a message, before its priority for a close rises.
const IDLE_LIMIT_US: Micros = 2_000_000;
/// Sessions are closed before the limit is reached, so that new clients need not wait for a close: one in this many of
/// [`ClientLimits::max_sessions`](super::gateway::ClientLimits::max_sessions) is kept free.
const SESSION_HEADROOM_DIVISOR: usize = 16;
/// Sessions that have completed their opening are closed before their limit is reached, too: one in this many of
/// [`ClientLimits::max_served`](super::gateway::ClientLimits::max_served) is kept free.
const SERVED_HEADROOM_DIVISOR: usize = 4;

/// Which limits on clients are near.
#[derive(Clone, Copy)]
struct Pressure {
    /// The limit on open sessions.
    sessions: bool,
    /// The limit on sessions that have completed their opening.
    served: bool,
}

impl Pressure {
    fn any(self) -> bool {
        self.sessions || self.served
    }
}

/// A session that waits for its client and can be asked to close.
struct Candidate<'a> {
    rank: u8,
    wait: ClientWait,
    mailbox: &'a Mailbox,
}

/// The order in which sessions are closed: lowest rank first, and within a rank the one that has waited longest.
fn rank(state: ReadState, waited: Micros) -> u8 {
    match (state, waited) {
        (ReadState::Opening, OPENING_IDLE_LIMIT_US..) => 0,
        (ReadState::Message, IDLE_LIMIT_US..) => 0,
        (ReadState::Idle, IDLE_LIMIT_US..) => 1,
        (ReadState::Opening, _) => 2,
        (ReadState::Idle, _) => 3,
        (ReadState::Message, _) => 4,
    }
}

impl Gateway {
    /// Asks sessions to close when a limit is near: first those that connected and sent nothing, then those that have
    /// been idle for longest, so that neither keep out clients that send requests.
    pub(super) fn shed(&self) {
        self.sessions.with_open(|sessions| {
            // Ranking visits every session, and this runs at every accept: far from the limits that would be quadratic
            // in the number of sessions for no benefit.
            if self.pressure(sessions.len(), sessions.len()).any() {
                self.shed_by_rank(sessions);
            }
        });
    }

    fn pressure(&self, sessions: usize, served: usize) -> Pressure {
        Pressure {
            sessions: sessions + self.limits.max_sessions / SESSION_HEADROOM_DIVISOR
                >= self.limits.max_sessions,
            served: served + self.limits.max_served / SERVED_HEADROOM_DIVISOR
                >= self.limits.max_served,
        }
    }

    fn shed_by_rank(&self, sessions: &SessionMap) {
        let now = self.core.clock.now();
        let (mut remaining, mut served, mut candidates) = (0, 0, Vec::new());
        for mailbox in sessions
            .values()
            .filter(|mailbox| !mailbox.is_close_requested())
        {
            let wait = mailbox.client_wait();
            remaining += 1;
            served += usize::from(!wait.is_some_and(|wait| wait.state == ReadState::Opening));
            if let Some(wait) = wait {
                candidates.push(Candidate {
                    rank: rank(wait.state, now.saturating_sub(wait.since)),
                    wait,
                    mailbox,
                });
            }
        }
        candidates.sort_unstable_by_key(|candidate| (candidate.rank, candidate.wait.since));
        for Candidate { wait, mailbox, .. } in candidates {
            let pressure = self.pressure(remaining, served);
            if !pressure.any() {
                break;
            }
            if !pressure.sessions && wait.state != ReadState::Idle {
                continue;
            }
            remaining -= 1;
            served -= usize::from(wait.state != ReadState::Opening);
            mailbox.set_close_requested(true);
            mailbox.waker.wakeup();
        }
    }
}
