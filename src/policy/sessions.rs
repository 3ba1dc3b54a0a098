//! The last commit of each session, which its session reads must see (read your writes).
//!
//! Memory is bounded: the oldest sessions are dropped, and their last commit becomes a floor for every session that is
//! not known. So a dropped session may wait for more than its own writes, never for less.

use crate::interface::{Micros, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// The most commits that are remembered.
const MAX_REMEMBERED_COMMITS: usize = 50_000;

/// The last commits of the most recent sessions.
#[derive(Default)]
pub(crate) struct SessionCommits {
    last: BTreeMap<SessionId, Micros>,
    in_order: VecDeque<(SessionId, Micros)>,
    floor: Micros,
}

impl SessionCommits {
    /// The log position that a read of this session must see.
    pub(crate) fn required_position(&self, session: Option<SessionId>) -> Micros {
        let last = session.and_then(|session| self.last.get(&session));
        last.copied().unwrap_or(self.floor)
    }

    /// Records a commit of a session.
    pub(crate) fn record(&mut self, session: SessionId, commit: Micros) {
        let last = self.last.entry(session).or_insert(0);
        *last = commit.max(*last);
        self.in_order.push_back((session, commit));
        if self.in_order.len() > MAX_REMEMBERED_COMMITS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((oldest, commit)) = self.in_order.pop_front() else {
            return;
        };
        if self.last.get(&oldest).is_some_and(|last| *last <= commit) {
            self.last.remove(&oldest);
            self.floor = self.floor.max(commit);
        }
    }
}

#[cfg(test)]
mod tests;
