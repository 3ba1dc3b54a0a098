//! Which sessions are closed when clients come close to the connections they may hold.
//!
//! Sessions are only asked to close here; each does so between requests, after a last look for one that has come.

use super::gateway::Gateway;
use super::mailbox::{ClientWait, Mailbox, ReadState};
use super::sessions::SessionMap;
use asterreel::interface::Micros;

/// How long a connection may be silent in its opening before it is closed first.
const OPENING_SILENCE_US: Micros = 50_000;
/// How long a connection may wait between requests, or inside a message, before it is closed first.
const IDLE_SILENCE_US: Micros = 2_000_000;
/// Capacity is freed ahead, so that new clients need not wait for a close: this part of all sessions.
const HEADROOM_OF_ALL: usize = 16;
/// The same of the sessions past their opening.
const HEADROOM_OF_SERVED: usize = 4;

/// Which of the limits on clients are close.
#[derive(Clone, Copy)]
struct Pressure {
    /// That on all sessions.
    all: bool,
    /// That on sessions past their opening.
    served: bool,
}

impl Pressure {
    fn any(self) -> bool {
        self.all || self.served
    }
}

/// A session that could be closed.
struct Candidate<'a> {
    rank: u8,
    wait: ClientWait,
    mailbox: &'a Mailbox,
}

/// Which session is closed first: the lowest rank, and of equals the one that has waited for longest.
fn rank(state: ReadState, waited: Micros) -> u8 {
    match (state, waited) {
        (ReadState::Opening, OPENING_SILENCE_US..) => 0,
        (ReadState::Message, IDLE_SILENCE_US..) => 0,
        (ReadState::Idle, IDLE_SILENCE_US..) => 1,
        (ReadState::Opening, _) => 2,
        (ReadState::Idle, _) => 3,
        (ReadState::Message, _) => 4,
    }
}

impl Gateway {
    /// Asks sessions to close where capacity runs out: first those that connected and sent nothing, then those that
    /// have been idle for longest. Neither may keep out clients that send requests.
    pub(super) fn shed(&self) {
        self.sessions.with_open(|sessions| {
            // Ranking looks at every session, at every accept: far from the limits it would cost the square of the
            // sessions for nothing.
            if self.pressure(sessions.len(), sessions.len()).any() {
                self.shed_by_rank(sessions);
            }
        });
    }

    fn pressure(&self, sessions: usize, served: usize) -> Pressure {
        Pressure {
            all: sessions + self.limits.max_sessions / HEADROOM_OF_ALL >= self.limits.max_sessions,
            served: served + self.limits.max_served / HEADROOM_OF_SERVED >= self.limits.max_served,
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
            if !pressure.all && wait.state != ReadState::Idle {
                continue;
            }
            remaining -= 1;
            served -= usize::from(wait.state != ReadState::Opening);
            mailbox.set_close_requested(true);
            mailbox.waker.wakeup();
        }
    }
}
