//! Whose session makes room when clients come close to what they may hold.

use super::gateway::Gateway;
use super::mailbox::{Mailbox, Stage};
use asterreel::interface::Micros;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// How long a connection is silent in its opening before others may have its place, and how long between
/// requests, for as long as there is somebody else to close.
const SILENT: Micros = 50_000;
const RESTED: Micros = 2_000_000;
/// Room is made ahead, as a client that has to wait for another's close is kept out by every crowd: this part of all
/// sessions, and of those that clients hold for requests.
const AHEAD_OF_ALL: usize = 16;
const AHEAD_OF_SERVED: usize = 4;

/// Which of the bounds on clients are close.
#[derive(Clone, Copy)]
struct Pressure {
    /// That on all sessions.
    all: bool,
    /// That on sessions past their opening.
    served: bool,
}

/// Who is closed first: the lowest, and of equals whoever has waited for longest.
fn rank(stage: Stage, waited: Micros) -> u8 {
    match (stage, waited) {
        (Stage::Opening, SILENT..) => 0,
        (Stage::Message, RESTED..) => 0,
        (Stage::Idle, RESTED..) => 1,
        (Stage::Opening, _) => 2,
        (Stage::Idle, _) => 3,
        (Stage::Message, _) => 4,
    }
}

impl Gateway {
    /// Asks sessions to make room: first those that opened and said nothing, then those that have been
    /// between requests for longest. Whoever connects and says nothing must not take the place of clients that are
    /// served, nor whoever asks once and stays.
    pub(super) fn shed(&self) {
        self.sessions(|sessions| {
            // Ranking looks at every session, and this runs at every accept: a gateway that could not be close to a bound
            // whatever its sessions do is not ranked, or filling it would cost the square of its sessions.
            let most = self.pressure(sessions.len(), sessions.len());
            if most.all || most.served {
                self.shed_by_rank(sessions);
            }
        });
    }

    fn pressure(&self, sessions: usize, served: usize) -> Pressure {
        Pressure {
            all: sessions + self.most_sessions / AHEAD_OF_ALL >= self.most_sessions,
            served: served + self.most_served / AHEAD_OF_SERVED >= self.most_served,
        }
    }

    fn shed_by_rank(&self, sessions: &BTreeMap<u32, Arc<Mailbox>>) {
        let now = self.core.clock.now();
        let (mut stay, mut served, mut ranked) = (0, 0, Vec::new());
        for mailbox in sessions
            .values()
            .filter(|mailbox| !mailbox.close.load(Ordering::Acquire))
        {
            let stage = mailbox.stage();
            stay += 1;
            served += usize::from(!matches!(stage, Some((Stage::Opening, _))));
            if let Some((stage, since)) = stage {
                ranked.push((
                    rank(stage, now.saturating_sub(since)),
                    since,
                    stage,
                    mailbox,
                ));
            }
        }
        ranked.sort_unstable_by_key(|(rank, since, ..)| (*rank, *since));
        for (_, _, stage, mailbox) in ranked {
            let pressure = self.pressure(stay, served);
            if !pressure.all && !pressure.served {
                break;
            }
            if !pressure.all && stage != Stage::Idle {
                continue;
            }
            stay -= 1;
            served -= usize::from(stage != Stage::Opening);
            mailbox.close.store(true, Ordering::Release);
            mailbox.waker.wakeup();
        }
    }
}
